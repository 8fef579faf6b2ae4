//! The record in the platform KV of who leads a database group.
//!
//! A term belongs to whoever wrote it there first: the record is only ever replaced by
//! compare-and-swap, and only by one of a higher term or by the same term with its server
//! filled in. So two proxies never promote at the same term (`docs/DESIGN.md`, "Failover").

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Error;

/// Who leads a group, or who is about to promote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The term; it never goes down.
    pub term: u64,
    /// The server that leads at this term; `None` while the claimant has yet to promote one.
    pub server: Option<SocketAddr>,
    /// The proxy that claimed the term.
    pub claimant: String,
    /// The servers that may hold an acknowledged commit that no other has, listed in the bundle in
    /// force or not; empty in a record of a proxy that kept no such list.
    pub members: Vec<SocketAddr>,
}

/// The JSON shape of a record.
#[derive(Debug, Deserialize, Serialize)]
pub struct Wire {
    pub term: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<SocketAddr>,
    pub claimant: String,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<SocketAddr>,
}

impl Record {
    /// Reads a record from a KV value.
    pub fn parse(value: &[u8]) -> Result<Self, Error> {
        let wire: Wire =
            serde_json::from_slice(value).map_err(|error| Error::KvAnswer(error.to_string()))?;
        Ok(Self::from(wire))
    }

    /// The record as a KV value.
    pub fn to_value(&self) -> Vec<u8> {
        serde_json::to_vec(&Wire::from(self)).expect("a record is plain JSON")
    }
}

impl From<Wire> for Record {
    fn from(wire: Wire) -> Self {
        Self {
            term: wire.term,
            server: wire.server,
            claimant: wire.claimant,
            members: wire.members,
        }
    }
}

impl From<&Record> for Wire {
    fn from(record: &Record) -> Self {
        Self {
            term: record.term,
            server: record.server,
            claimant: record.claimant.clone(),
            members: record.members.clone(),
        }
    }
}

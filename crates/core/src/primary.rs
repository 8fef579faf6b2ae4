//! The primary record of a database group in the platform KV.
//!
//! A proxy claims a term by writing a record with it. Two proxies never promote in the same term,
//! because a record is replaced only by compare-and-swap, and only by one of a higher term or one
//! of the same term that adds the server (`docs/DESIGN.md`, "Failover").

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Error;

/// The primary of a group, or the proxy that is about to promote one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The term, which never decreases.
    pub term: u64,
    /// The primary of this term; `None` until the claimant has promoted one.
    pub server: Option<SocketAddr>,
    /// The proxy that claimed the term.
    pub claimant: String,
    /// Servers that may have an acknowledged commit that no other server has, whether or not the
    /// current bundle lists them. Empty if the proxy that wrote the record tracks no members.
    pub members: Vec<SocketAddr>,
}

/// JSON representation of a [`Record`].
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
    /// Parses a KV value.
    pub fn parse(value: &[u8]) -> Result<Self, Error> {
        let wire: Wire =
            serde_json::from_slice(value).map_err(|error| Error::KvAnswer(error.to_string()))?;
        Ok(Self::from(wire))
    }

    /// Serializes the record as a KV value.
    pub fn to_value(&self) -> Vec<u8> {
        serde_json::to_vec(&Wire::from(self)).expect("a record always serializes to JSON")
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

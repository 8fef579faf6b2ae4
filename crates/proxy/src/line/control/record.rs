//! The record of a group in the store: who promoted last, and which servers count.

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{era, registry::Incarnation, time::Moment};
use dandelionpitch_platform::store::Item;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::line::journal;

/// The prefix of the records of promotions.
pub const RECORD_PREFIX: &str = "dandelionpitch/group/";

/// Why an attempt did not promote a server.
#[derive(Debug, Display)]
pub enum Failure {
    #[display("only {fenced} of {quorum} members are held")]
    NoCandidate { fenced: usize, quorum: usize },
    #[display("a server has come that is not held")]
    MemberAdded,
    #[display("{server} has started again since it was held")]
    Restarted { server: Incarnation },
    #[display("only {confirmed} of {quorum} say that they are still held")]
    NoQuorum { confirmed: usize, quorum: usize },
    #[display("the duty is no longer held")]
    LeadershipLost,
    #[display("the store says that the duty is another's, or the record changed")]
    Conflict,
    #[display("the store did not take the record: {_0}")]
    Store(String),
    #[display("the server to be promoted is not running")]
    NotRunning,
    #[display("the platform has no time for the promotion")]
    Refused,
    #[display("whether {server} is promoted is not known: {why}")]
    Unconfirmed { server: Incarnation, why: String },
}

/// The record of a promotion in the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Record {
    pub holder: String,
    pub token: u64,
    /// The server promoted last; empty while none was.
    pub server: String,
    /// When this was written for a promotion, its number: others wait for a while after it.
    pub promotions: u64,
    /// The servers that count for a promotion, present or vanished.
    pub members: Vec<Incarnation>,
}

impl Record {
    /// Reads a record; `None` if the item is none, as other writers use the same store.
    pub fn decode(item: &Item) -> Option<Self> {
        serde_json::from_slice(&item.value)
            .inspect_err(|error| journal::trouble("record", &format!("{}: {error}", item.key)))
            .ok()
    }

    /// This record, read from a store that came back from a copy, with what `known` of before has beyond it.
    ///
    /// Failure: the copy is from before a promotion, or from before a server confirmed its first commit; by
    /// what it says, the replaced primary leads and that server does not count. Guard: the record of the
    /// later promotion stays, and whoever counted by either counts.
    fn merge_lost(mut self, known: &Self) -> Self {
        let known_members = known.members.iter();
        let missing = known_members.filter(|id| !self.members.contains(id));
        let members = self.members.iter().chain(missing).cloned().collect();
        if known.promotions > self.promotions {
            self = known.clone();
        }
        Self { members, ..self }
    }

    /// Whether it was written in the era of its `revision`, by a holder who knew of the copy.
    pub fn is_in_era_of(&self, revision: u64) -> bool {
        era::of(self.token) == era::of(revision)
    }

    /// The server that was promoted last, or is about to be.
    pub fn promoted(&self) -> Option<&str> {
        Some(self.server.as_str()).filter(|server| !server.is_empty())
    }
}

/// A record and when this process saw it.
#[derive(Clone, Debug)]
pub struct StoredRecord {
    pub record: Record,
    pub revision: u64,
    /// When the last promotion was first seen here.
    pub promotion_seen_at: Moment,
}

impl StoredRecord {
    /// Reads a record into `known`, if the item is one.
    pub fn insert_item(item: &Item, known: &mut Map<String, Self>, now: Moment) {
        let Some(service) = item.key.strip_prefix(RECORD_PREFIX) else {
            return;
        };
        if let Some(record) = Record::decode(item) {
            Self::insert(service, record, item.revision, known, now);
        }
    }

    /// Notes a record at `revision`, unless a later one is known.
    pub fn insert(
        service: &str,
        record: Record,
        revision: u64,
        known: &mut Map<String, Self>,
        now: Moment,
    ) {
        let old = known.get(service);
        if old.is_some_and(|old| old.revision >= revision) {
            return;
        }
        let restored = old.filter(|old| era::of(old.revision) < era::of(revision));
        let record = match restored {
            Some(old) => record.merge_lost(&old.record),
            None => record,
        };
        let same = old.filter(|old| old.record.promotions == record.promotions);
        let promotion_seen_at = same.map_or(now, |old| old.promotion_seen_at);
        let stored = Self {
            record,
            revision,
            promotion_seen_at,
        };
        known.insert(service.to_owned(), stored);
    }

    /// Notes that the store came back from a copy. What it does not hold any more is written as if nothing
    /// had been there.
    pub fn note_store_restored(&mut self, current: u64) {
        if era::of(self.revision) < era::of(current) {
            self.revision = 0;
        }
    }
}

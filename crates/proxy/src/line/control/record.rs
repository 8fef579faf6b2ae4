//! The record of a group in the store: the last promotion, and the servers that count for promotions.

use std::sync::Arc;

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{
    era,
    registry::Incarnation,
    roster::{self, Addresses},
    time::Moment,
};
use dandelionpitch_platform::store::Item;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::line::{journal, view::Voters};

/// The prefix of the records' keys, followed by the name of the group.
pub const RECORD_PREFIX: &str = "dandelionpitch/group/";

/// Why a failover attempt failed, or a record was not written.
#[derive(Debug, Display)]
pub enum Failure {
    #[display(
        "no server can be promoted safely: {fenced} of {quorum} required members are fenced"
    )]
    NoCandidate { fenced: usize, quorum: usize },
    #[display("a server that is not held has registered")]
    MemberAdded,
    #[display("{server} is no longer fenced or its log has changed")]
    MemberChanged { server: Incarnation },
    #[display(
        "only {confirmed} of {quorum} required members confirmed that they are still fenced"
    )]
    NoQuorum { confirmed: usize, quorum: usize },
    #[display("this process is no longer the failover leader")]
    LeadershipLost,
    #[display("the leader's key or the group's record has changed in the store")]
    Conflict,
    #[display("could not write the record: {_0}")]
    Store(String),
    #[display("the server to promote is not running or not in the group")]
    NotRunning,
    #[display("the platform is overloaded or unavailable and refused the promotion")]
    Refused,
    #[display("unknown whether {server} was promoted: {why}")]
    Unconfirmed { server: Incarnation, why: String },
}

/// The record of a group, in JSON.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Record {
    /// The name of the failover leader that wrote the record.
    pub holder: String,
    /// Its fencing token.
    pub token: u64,
    /// The id of the server promoted last, or about to be promoted; empty before the first promotion.
    pub server: String,
    /// The number of recorded promotions. Other processes start no attempt for a while after it grows.
    pub promotions: u64,
    /// The servers that count for promotions, whether still registered or not.
    pub members: Vec<Incarnation>,
    /// Where these run or ran, as far as it is known.
    #[serde(default)]
    pub addresses: Addresses,
}

impl Record {
    /// Decodes a record. Returns `None` if it is invalid, as other programs write to the same store.
    pub fn decode(item: &Item) -> Option<Self> {
        serde_json::from_slice(&item.value)
            .inspect_err(|error| journal::trouble("record", &format!("{}: {error}", item.key)))
            .ok()
    }

    /// Merges `known`, the record from before a restore of the store, into this restored record.
    ///
    /// The backup may predate a promotion, or the addition of a server that has confirmed commits
    /// since. So the record with the later promotion is used, with the members of both.
    fn merge_known(mut self, known: &Self) -> Self {
        let members = roster::union(&self.members, &known.members);
        let mut addresses = known.addresses.clone();
        addresses.extend(std::mem::take(&mut self.addresses));
        if known.promotions > self.promotions {
            self = known.clone();
        }
        Self {
            members,
            addresses,
            ..self
        }
    }

    /// Whether the record was written in the era of its `revision`, by a leader that knew of the store's
    /// last restore.
    pub fn is_in_era_of(&self, revision: u64) -> bool {
        era::of(self.token) == era::of(revision)
    }

    /// The server promoted last or about to be promoted, if any.
    pub fn promoted(&self) -> Option<&str> {
        Some(self.server.as_str()).filter(|server| !server.is_empty())
    }
}

/// A record as read from the store or written to it.
#[derive(Clone, Debug)]
pub struct StoredRecord {
    pub record: Record,
    pub revision: u64,
    /// When this process first saw the last promotion.
    pub promotion_seen_at: Moment,
}

/// The records of all groups.
#[derive(Debug, Default)]
pub struct Records {
    stored: Map<String, StoredRecord>,
    /// The servers that count for promotions, by group.
    voters: Arc<Voters>,
}

impl Records {
    /// The record of a group.
    pub fn get(&self, service: &str) -> Option<&StoredRecord> {
        self.stored.get(service)
    }

    /// The servers that count for promotions, for the groups that have a record.
    pub fn voters(&self) -> &Arc<Voters> {
        &self.voters
    }

    /// Inserts an item of the store, if it is a record.
    pub fn insert_item(&mut self, item: &Item, now: Moment) {
        let Some(service) = item.key.strip_prefix(RECORD_PREFIX) else {
            return;
        };
        if let Some(record) = Record::decode(item) {
            self.insert(service, record, item.revision, now);
        }
    }

    /// Inserts the record at `revision`, unless a later one is known.
    pub fn insert(&mut self, service: &str, record: Record, revision: u64, now: Moment) {
        let old = self.stored.get(service);
        if old.is_some_and(|old| old.revision >= revision) {
            return;
        }
        let restored = old.filter(|old| era::of(old.revision) < era::of(revision));
        let record = match restored {
            Some(old) => record.merge_known(&old.record),
            None => record,
        };
        let same = old.filter(|old| old.record.promotions == record.promotions);
        let promotion_seen_at = same.map_or(now, |old| old.promotion_seen_at);
        if old.is_none_or(|old| old.record.members != record.members) {
            let members = record.members.as_slice().into();
            Arc::make_mut(&mut self.voters).insert(service.into(), members);
        }
        let stored = StoredRecord {
            record,
            revision,
            promotion_seen_at,
        };
        self.stored.insert(service.to_owned(), stored);
    }

    /// Notes that the store was restored from a backup and is now at the revision `current`. A
    /// record that has not been read since is missing from the store, so the next write has to
    /// create it.
    pub fn note_store_restored(&mut self, current: u64) {
        for stored in self.stored.values_mut() {
            if era::of(stored.revision) < era::of(current) {
                stored.revision = 0;
            }
        }
    }
}

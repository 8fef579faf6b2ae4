//! The state of the stand-in KV: keys with revisions, leases with deadlines, and the feed
//! that watches read.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use dandelionpitch_core::{
    hash::Map,
    kv::{Event, EventType, KeyValue},
};
use tokio::sync::broadcast;

/// How many changes a slow watcher may fall behind before its watch is closed.
const FEED_DEPTH: usize = 1024;

/// One granted lease.
#[derive(Debug)]
struct Lease {
    ttl: Duration,
    deadline: Instant,
}

/// How often a copy is made, and how many are kept.
const COPY_EVERY: Duration = Duration::from_millis(100);
const COPIES: usize = 200;

/// Leases have numbers that say nothing of revisions, and are far larger.
const FIRST_LEASE: i64 = 1 << 60;

/// What the store held at some moment.
#[derive(Debug)]
struct Copy {
    made: Instant,
    revision: u64,
    keys: BTreeMap<String, KeyValue>,
}

/// Keys, leases and the change feed, behind one lock in [`crate::kv::State`].
#[derive(Debug)]
pub struct Store {
    /// How often it has come back from a copy.
    era: u64,
    copies: VecDeque<Copy>,
    revision: u64,
    keys: BTreeMap<String, KeyValue>,
    leases: Map<i64, Lease>,
    next_lease: i64,
    feed: broadcast::Sender<Event>,
}

impl Store {
    /// An empty store at revision 1, as etcd starts.
    pub fn new() -> Self {
        Self {
            era: 0,
            copies: VecDeque::new(),
            revision: 1,
            keys: BTreeMap::new(),
            leases: Map::default(),
            next_lease: FIRST_LEASE,
            feed: broadcast::channel(FEED_DEPTH).0,
        }
    }

    /// The current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// How often it has come back from a copy.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Makes a copy if it is time to.
    pub fn copy(&mut self, now: Instant) {
        if self
            .copies
            .back()
            .is_some_and(|last| last.made + COPY_EVERY > now)
        {
            return;
        }
        self.copies.push_back(Copy {
            made: now,
            revision: self.revision,
            keys: self.keys.clone(),
        });
        if self.copies.len() > COPIES {
            self.copies.pop_front();
        }
    }

    /// Comes back from the newest copy of at least this `age`, without leases and what lay under them. Ends
    /// all watches.
    pub fn restore(&mut self, age: Duration) {
        while self.copies.len() > 1 && self.copies.back().is_some_and(|c| c.made.elapsed() < age) {
            self.copies.pop_back();
        }
        let Some(copy) = self.copies.back() else {
            return;
        };
        self.revision = copy.revision;
        self.keys = copy.keys.clone();
        self.keys.retain(|_, kv| kv.lease == 0);
        self.leases.clear();
        self.next_lease = FIRST_LEASE;
        self.feed = broadcast::channel(FEED_DEPTH).0;
        self.era += 1;
    }

    /// A new subscription to the change feed.
    pub fn subscribe(&self) -> broadcast::Receiver<Event> {
        self.feed.subscribe()
    }

    /// The keys from `start` up to `end` (exclusive), or `start` alone.
    pub fn range(&self, start: &str, end: Option<&str>) -> Vec<KeyValue> {
        match end {
            None => self.keys.get(start).cloned().into_iter().collect(),
            Some(end) => self
                .keys
                .range(start.to_owned()..end.to_owned())
                .map(|(_, kv)| kv.clone())
                .collect(),
        }
    }

    /// The last revision that wrote `key`, zero when it does not exist.
    pub fn mod_revision(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |kv| kv.mod_revision)
    }

    /// Writes a key; a lease that does not exist makes the put fail, as in etcd.
    pub fn put(&mut self, key: String, value: Vec<u8>, lease: i64) -> Result<u64, String> {
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err(format!("lease {lease} not found"));
        }
        self.revision += 1;
        let old = self.keys.get(&key);
        let kv = KeyValue {
            key: key.clone(),
            value,
            create_revision: old.map_or(self.revision, |kv| kv.create_revision),
            mod_revision: self.revision,
            version: old.map_or(1, |kv| kv.version + 1),
            lease,
        };
        self.keys.insert(key, kv.clone());
        let _ = self.feed.send(Event {
            kind: EventType::Put,
            kv,
        });
        Ok(self.revision)
    }

    /// Grants a lease of `ttl` seconds.
    pub fn grant(&mut self, ttl: u64) -> i64 {
        let id = self.next_lease;
        self.next_lease += 1;
        let ttl = Duration::from_secs(ttl.max(1));
        let deadline = Instant::now() + ttl;
        self.leases.insert(id, Lease { ttl, deadline });
        id
    }

    /// Renews a lease; zero when it had already expired.
    pub fn keepalive(&mut self, id: i64) -> u64 {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.deadline = Instant::now() + lease.ttl;
                lease.ttl.as_secs()
            }
            None => 0,
        }
    }

    /// Makes the lease of `key`, if it has one, run out at the next sweep.
    pub fn end_lease(&mut self, key: &str) {
        let lease = self.keys.get(key).map(|kv| kv.lease);
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.deadline = Instant::now();
        }
    }

    /// Drops expired leases and the keys tied to them.
    pub fn expire(&mut self, now: Instant) {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .keys
                .values()
                .filter(|kv| kv.lease == id)
                .map(|kv| kv.key.clone())
                .collect();
            for key in keys {
                self.delete(&key);
            }
        }
    }

    fn delete(&mut self, key: &str) {
        let Some(mut kv) = self.keys.remove(key) else {
            return;
        };
        self.revision += 1;
        kv.mod_revision = self.revision;
        kv.value.clear();
        let _ = self.feed.send(Event {
            kind: EventType::Delete,
            kv,
        });
    }
}

//! State of the fake KV: keys with revisions, leases with deadlines, and the channel of changes
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

/// Number of changes that a watch may fall behind before it is closed.
const WATCH_BUFFER_EVENTS: usize = 1024;

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    deadline: Instant,
}

const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(100);
const MAX_SNAPSHOTS: usize = 200;

/// Lease ids are unrelated to revisions and start far above them.
const FIRST_LEASE_ID: i64 = 1 << 60;

/// Contents of the store at one point in time, without its leases.
#[derive(Debug)]
struct Snapshot {
    taken_at: Instant,
    revision: u64,
    keys: BTreeMap<String, KeyValue>,
}

/// Keys, leases and the channel of changes.
#[derive(Debug)]
pub struct Store {
    /// Number of restores from a snapshot.
    era: u64,
    snapshots: VecDeque<Snapshot>,
    revision: u64,
    keys: BTreeMap<String, KeyValue>,
    leases: Map<i64, Lease>,
    next_lease_id: i64,
    event_tx: broadcast::Sender<Event>,
}

impl Store {
    /// Creates an empty store at revision 1, like etcd.
    pub fn new() -> Self {
        Self {
            era: 0,
            snapshots: VecDeque::new(),
            revision: 1,
            keys: BTreeMap::new(),
            leases: Map::default(),
            next_lease_id: FIRST_LEASE_ID,
            event_tx: broadcast::channel(WATCH_BUFFER_EVENTS).0,
        }
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of restores from a snapshot; sent in every response header.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Takes a snapshot if the last one is older than [`SNAPSHOT_INTERVAL`].
    pub fn snapshot(&mut self, now: Instant) {
        if self
            .snapshots
            .back()
            .is_some_and(|last| last.taken_at + SNAPSHOT_INTERVAL > now)
        {
            return;
        }
        self.snapshots.push_back(Snapshot {
            taken_at: now,
            revision: self.revision,
            keys: self.keys.clone(),
        });
        if self.snapshots.len() > MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }

    /// Restores the newest snapshot that is at least `age` old, or the oldest one. Drops all leases
    /// and the keys attached to them, and closes all watches.
    pub fn restore(&mut self, age: Duration) {
        while self.snapshots.len() > 1
            && self
                .snapshots
                .back()
                .is_some_and(|last| last.taken_at.elapsed() < age)
        {
            self.snapshots.pop_back();
        }
        let Some(snapshot) = self.snapshots.back() else {
            return;
        };
        self.revision = snapshot.revision;
        self.keys = snapshot.keys.clone();
        self.keys.retain(|_, kv| kv.lease == 0);
        self.leases.clear();
        self.next_lease_id = FIRST_LEASE_ID;
        self.event_tx = broadcast::channel(WATCH_BUFFER_EVENTS).0;
        self.era += 1;
    }

    /// Subscribes to changes of all keys.
    pub fn subscribe(&self) -> broadcast::Receiver<Event> {
        self.event_tx.subscribe()
    }

    /// Returns the keys in `start..end`, or only `start` if there is no `end`.
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

    /// The revision of the last write to `key`, or 0 if it does not exist.
    pub fn mod_revision(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |kv| kv.mod_revision)
    }

    /// Writes a key and returns the new revision. Fails if the lease does not exist, like etcd;
    /// lease 0 means none.
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
        let _ = self.event_tx.send(Event {
            kind: EventType::Put,
            kv,
        });
        Ok(self.revision)
    }

    /// Grants a lease of `ttl` seconds, at least 1, and returns its id.
    pub fn grant(&mut self, ttl: u64) -> i64 {
        let id = self.next_lease_id;
        self.next_lease_id += 1;
        let ttl = Duration::from_secs(ttl.max(1));
        let deadline = Instant::now() + ttl;
        self.leases.insert(id, Lease { ttl, deadline });
        id
    }

    /// Renews a lease and returns its TTL in seconds, or 0 if it does not exist.
    pub fn keepalive(&mut self, id: i64) -> u64 {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.deadline = Instant::now() + lease.ttl;
                lease.ttl.as_secs()
            }
            None => 0,
        }
    }

    /// Makes the lease of `key`, if it has one, expire at the next [`Store::expire_leases`].
    pub fn expire_lease(&mut self, key: &str) {
        let lease = self.keys.get(key).map(|kv| kv.lease);
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.deadline = Instant::now();
        }
    }

    /// Removes expired leases and the keys attached to them.
    pub fn expire_leases(&mut self, now: Instant) {
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
        let _ = self.event_tx.send(Event {
            kind: EventType::Delete,
            kv,
        });
    }
}

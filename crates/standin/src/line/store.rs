//! The platform's store: keys with revisions, a change history for watches, and leases.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// A key with its value, revisions and lease (0 if it has none).
#[derive(Clone, Debug)]
pub struct Item {
    pub key: String,
    pub value: Vec<u8>,
    pub rev: u64,
    pub created: u64,
    pub lease: u64,
}

/// A change of one key.
#[derive(Clone, Debug)]
pub enum Event {
    Written(Item),
    Removed { key: String, rev: u64 },
}

impl Event {
    fn key(&self) -> &str {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }

    fn rev(&self) -> u64 {
        match self {
            Self::Written(item) => item.rev,
            Self::Removed { rev, .. } => *rev,
        }
    }
}

const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(100);
const MAX_SNAPSHOTS: usize = 100;

/// Added to a revision to form a lease id, so that lease ids are far above all revisions.
const LEASE_ID_BASE: u64 = 1 << 50;

/// Contents of the store at one point in time, without its leases.
#[derive(Debug)]
struct Snapshot {
    taken_at: Instant,
    rev: u64,
    items: BTreeMap<String, Item>,
}

#[derive(Debug, Default)]
pub struct Store {
    /// Number of restores from a snapshot.
    pub era: u64,
    snapshots: VecDeque<Snapshot>,
    pub rev: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    /// Changes up to this revision are no longer in the history.
    compacted_rev: u64,
    /// Deadline and TTL by lease id.
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// Fault: every call fails with 503.
    pub down: bool,
    /// Number of watch calls so far.
    pub watches: usize,
}

/// Reason a transaction was not applied.
#[derive(Debug)]
pub enum TxnError {
    /// A key is not at its expected revision.
    Conflict,
    LeaseNotFound,
}

impl Store {
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Returns all items whose keys start with `prefix`.
    pub fn list(&self, prefix: &str) -> Vec<Item> {
        let items = self.items.values();
        items
            .filter(|item| item.key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Returns the changes under `prefix` after revision `after`, or `None` if the history does not
    /// cover them or the revision does not exist.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<Vec<Event>> {
        if after < self.compacted_rev || after > self.rev {
            return None;
        }
        let events = self.history.iter();
        let wanted = events.filter(|event| event.rev() > after && event.key().starts_with(prefix));
        Some(wanted.cloned().collect())
    }

    /// Applies all writes and removals at one new revision, which it returns, or none of them. A
    /// write is a key, a value and a lease. Every key in `expected` must be at the given revision,
    /// 0 meaning that it does not exist.
    pub fn txn(
        &mut self,
        expected: &[(String, u64)],
        writes: &[(String, Vec<u8>, u64)],
        remove: &[String],
    ) -> Result<u64, TxnError> {
        let is_current =
            |(key, rev): &(String, u64)| self.get(key).map_or(0, |item| item.rev) == *rev;
        if !expected.iter().all(is_current) {
            return Err(TxnError::Conflict);
        }
        if writes
            .iter()
            .any(|(_, _, lease)| *lease != 0 && !self.leases.contains_key(lease))
        {
            return Err(TxnError::LeaseNotFound);
        }
        self.rev += 1;
        for (key, value, lease) in writes {
            self.write(key, value.clone(), *lease);
        }
        for key in remove {
            self.remove(key);
        }
        Ok(self.rev)
    }

    /// Writes one key without a lease at a new revision, unless it already has this value.
    pub fn put(&mut self, key: &str, value: Vec<u8>) {
        if self.get(key).is_some_and(|item| item.value == value) {
            return;
        }
        self.rev += 1;
        self.write(key, value, 0);
    }

    /// Removes one key at a new revision, if it exists.
    pub fn delete(&mut self, key: &str) {
        if self.items.contains_key(key) {
            self.rev += 1;
            self.remove(key);
        }
    }

    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let rev = self.rev;
        let created = self.get(key).map_or(rev, |item| item.created);
        let item = Item {
            key: key.to_owned(),
            value,
            rev,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Event::Written(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let (key, rev) = (key.to_owned(), self.rev);
            self.history.push(Event::Removed { key, rev });
        }
    }

    /// Takes a snapshot if the last one is older than [`SNAPSHOT_INTERVAL`].
    pub fn snapshot(&mut self) {
        let taken_at = Instant::now();
        if self
            .snapshots
            .back()
            .is_some_and(|last| last.taken_at + SNAPSHOT_INTERVAL > taken_at)
        {
            return;
        }
        self.snapshots.push_back(Snapshot {
            taken_at,
            rev: self.rev,
            items: self.items.clone(),
        });
        if self.snapshots.len() > MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }

    /// Restores the newest snapshot that is at least `age` old, or the oldest one. Drops all
    /// leases, the keys attached to them, and the change history.
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
        self.rev = snapshot.rev;
        self.items = snapshot.items.clone();
        self.items.retain(|_, item| item.lease == 0);
        self.leases.clear();
        self.compact();
        self.era += 1;
    }

    /// Discards the change history.
    pub fn compact(&mut self) {
        self.compacted_rev = self.rev;
        self.history.clear();
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, ttl: Duration) -> u64 {
        self.rev += 1;
        let lease = LEASE_ID_BASE + self.rev;
        self.leases.insert(lease, (Instant::now() + ttl, ttl));
        lease
    }

    /// Renews a lease for its TTL; `false` if it does not exist.
    pub fn renew(&mut self, lease: u64) -> bool {
        let Some((deadline, ttl)) = self.leases.get_mut(&lease) else {
            return false;
        };
        *deadline = Instant::now() + *ttl;
        true
    }

    /// Removes a lease and the keys attached to it.
    pub fn revoke(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .values()
            .filter(|item| item.lease == lease)
            .map(|item| item.key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
    }

    /// Revokes the leases whose deadline has passed.
    pub fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (deadline, _))| *deadline <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
            self.revoke(lease);
        }
    }
}

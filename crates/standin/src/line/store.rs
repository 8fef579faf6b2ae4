//! The store: keys with revisions, a history for watches, and leases.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// A key's value.
#[derive(Clone, Debug)]
pub struct Item {
    pub key: String,
    pub value: Vec<u8>,
    pub rev: u64,
    pub created: u64,
    pub lease: u64,
}

/// A change: the item as written, or its key and revision if it was removed.
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

/// How often a copy is made, and how many are kept.
const COPY_EVERY: Duration = Duration::from_millis(100);
const COPIES: usize = 100;

/// Leases have numbers that say nothing of revisions, and are far larger.
const FIRST_LEASE: u64 = 1 << 50;

/// What the store held at some moment.
#[derive(Debug)]
struct Copy {
    made: Instant,
    rev: u64,
    items: BTreeMap<String, Item>,
}

/// The store's state.
#[derive(Debug, Default)]
pub struct Store {
    /// How often it has come back from a copy.
    pub era: u64,
    copies: VecDeque<Copy>,
    pub rev: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    /// Changes up to this revision are forgotten.
    compacted: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// Every call is answered 503.
    pub down: bool,
    /// How many calls waited for changes so far.
    pub watches: usize,
}

/// Why a conditional change was not made.
#[derive(Debug)]
pub enum Refused {
    Conflict,
    NoLease,
}

impl Store {
    /// The item at `key`.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// All items whose keys start with `prefix`.
    pub fn list(&self, prefix: &str) -> Vec<Item> {
        let items = self.items.values();
        items
            .filter(|item| item.key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// The changes after `after` under `prefix`; `None` if they are forgotten.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<Vec<Event>> {
        if after < self.compacted || after > self.rev {
            return None;
        }
        let events = self.history.iter();
        let wanted = events.filter(|event| event.rev() > after && event.key().starts_with(prefix));
        Some(wanted.cloned().collect())
    }

    /// Writes and removes all, or nothing.
    pub fn change(
        &mut self,
        expected: &[(String, u64)],
        writes: &[(String, Vec<u8>, u64)],
        remove: &[String],
    ) -> Result<u64, Refused> {
        let holds = |(key, rev): &(String, u64)| self.get(key).map_or(0, |item| item.rev) == *rev;
        if !expected.iter().all(holds) {
            return Err(Refused::Conflict);
        }
        if writes
            .iter()
            .any(|(_, _, lease)| *lease != 0 && !self.leases.contains_key(lease))
        {
            return Err(Refused::NoLease);
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

    /// Writes one key at a new revision, unless the value is the same.
    pub fn put(&mut self, key: &str, value: Vec<u8>) {
        if self.get(key).is_some_and(|item| item.value == value) {
            return;
        }
        self.rev += 1;
        self.write(key, value, 0);
    }

    /// Removes one key at a new revision.
    pub fn drop_key(&mut self, key: &str) {
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

    /// Makes a copy if it is time to.
    pub fn copy(&mut self) {
        let made = Instant::now();
        if self
            .copies
            .back()
            .is_some_and(|last| last.made + COPY_EVERY > made)
        {
            return;
        }
        self.copies.push_back(Copy {
            made,
            rev: self.rev,
            items: self.items.clone(),
        });
        if self.copies.len() > COPIES {
            self.copies.pop_front();
        }
    }

    /// Comes back from the newest copy of at least this `age`, without leases and what lay under them.
    pub fn restore(&mut self, age: Duration) {
        while self.copies.len() > 1 && self.copies.back().is_some_and(|c| c.made.elapsed() < age) {
            self.copies.pop_back();
        }
        let Some(copy) = self.copies.back() else {
            return;
        };
        self.rev = copy.rev;
        self.items = copy.items.clone();
        self.items.retain(|_, item| item.lease == 0);
        self.leases.clear();
        self.compact();
        self.era += 1;
    }

    /// Forgets the history.
    pub fn compact(&mut self) {
        self.compacted = self.rev;
        self.history.clear();
    }

    /// Takes a lease.
    pub fn grant(&mut self, ttl: Duration) -> u64 {
        self.rev += 1;
        let lease = FIRST_LEASE + self.rev;
        self.leases.insert(lease, (Instant::now() + ttl, ttl));
        lease
    }

    /// Renews a lease; `false` if it has ended.
    pub fn renew(&mut self, lease: u64) -> bool {
        let Some((until, ttl)) = self.leases.get_mut(&lease) else {
            return false;
        };
        *until = Instant::now() + *ttl;
        true
    }

    /// Ends a lease and removes its keys.
    pub fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .values()
            .filter(|item| item.lease == lease)
            .map(|item| item.key.clone())
            .collect();
        for key in keys {
            self.drop_key(&key);
        }
    }

    /// Ends the leases whose time is up.
    pub fn sweep(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in over {
            self.end(lease);
        }
    }
}

//! A copy of what the store holds, kept so that it can be handed on to other proxies.
//!
//! Load pattern: each change of the store wakes every proxy that watches it, so calls grow with proxies
//! times changes. A proxy that has a mirror tells others what changed after the revision that they
//! have reached, as the store itself would (`docs/DESIGN.md`, "Changes of the store").

use std::collections::{BTreeSet, VecDeque};

use dandelionpitch_core::hash::Map;

use crate::era;

/// How many removals are remembered; whoever has missed more is told everything anew.
const MOST_REMOVED: usize = 2_000;

/// A key and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item<V> {
    pub key: String,
    pub value: V,
    /// The store's revision at which the value was written.
    pub revision: u64,
}

/// A key as it now is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change<V> {
    Written(Item<V>),
    Removed { key: String, revision: u64 },
}

impl<V> Change<V> {
    /// The key that changed.
    pub fn key(&self) -> &str {
        match self {
            Self::Written(Item { key, .. }) | Self::Removed { key, .. } => key,
        }
    }

    /// The store's revision at which it changed.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Written(Item { revision, .. }) | Self::Removed { revision, .. } => *revision,
        }
    }
}

/// What somebody who has reached an earlier revision is to be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update<V> {
    /// The revision reached with it.
    pub revision: u64,
    /// Whether these are all keys there are, and others are gone.
    pub is_snapshot: bool,
    pub changes: Vec<Change<V>>,
}

/// The store's content at one revision.
#[derive(Clone, Debug)]
pub struct Mirror<V> {
    values: Map<String, (u64, V)>,
    /// The keys by the revision of their last change.
    order: BTreeSet<(u64, String)>,
    removed: VecDeque<(u64, String)>,
    /// Removals up to this revision are not remembered.
    horizon: u64,
    revision: u64,
}

impl<V> Default for Mirror<V> {
    fn default() -> Self {
        Self {
            values: Map::default(),
            order: BTreeSet::new(),
            removed: VecDeque::new(),
            horizon: 0,
            revision: 0,
        }
    }
}

impl<V: Clone> Mirror<V> {
    /// The revision up to which the mirror has everything; 0 before it has anything.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// A key's value and the revision at which it was written.
    pub fn get(&self, key: &str) -> Option<(u64, &V)> {
        let (revision, value) = self.values.get(key)?;
        Some((*revision, value))
    }

    /// Takes an update that follows the mirror's revision, and returns whether it did.
    ///
    /// Failure: a proxy turns from one source to another that is behind the first, and a
    /// configuration is replaced by an earlier one. Guard: older updates are left out.
    ///
    /// Failure: the store came back from a copy, and what changed since is taken for all there is, beside
    /// keys that are gone. Guard: a later era begins with everything, and so does whoever is told of it.
    pub fn apply(&mut self, update: &Update<V>) -> bool {
        if update.revision < self.revision {
            return false;
        }
        if self.revision != 0 && era::of(update.revision) > era::of(self.revision) {
            if !update.is_snapshot {
                return false;
            }
            *self = Self::default();
        }
        if update.is_snapshot {
            self.drop_missing(update);
        }
        for change in &update.changes {
            match change {
                Change::Written(item) => self.put(&item.key, item.revision, item.value.clone()),
                Change::Removed { key, revision } => self.remove(key, *revision),
            }
        }
        self.revision = update.revision;
        true
    }

    /// What somebody at revision `after` has missed.
    pub fn since(&self, after: u64) -> Update<V> {
        let is_snapshot = after < self.horizon;
        let from = match is_snapshot {
            true => 0,
            false => after + 1,
        };
        let written = self.order.range((from, String::new())..);
        let written = written.filter_map(|(revision, key)| {
            let (_, value) = self.values.get(key)?;
            Some(Change::Written(Item {
                key: key.clone(),
                value: value.clone(),
                revision: *revision,
            }))
        });
        let removed = self.removed.iter();
        let removed = removed.filter(|(revision, _)| !is_snapshot && *revision > after);
        let removed = removed.map(|(revision, key)| Change::Removed {
            key: key.clone(),
            revision: *revision,
        });
        let mut changes: Vec<_> = written.chain(removed).collect();
        changes.sort_by_key(Change::revision);
        Update {
            revision: self.revision,
            is_snapshot,
            changes,
        }
    }

    /// Removes the keys that a complete update does not name. When they went is not known, so they count as
    /// removed with the last of it.
    fn drop_missing(&mut self, update: &Update<V>) {
        if self.revision == 0 {
            self.horizon = update.revision;
        }
        let named: BTreeSet<&str> = update.changes.iter().map(Change::key).collect();
        let gone = self
            .values
            .keys()
            .filter(|key| !named.contains(key.as_str()));
        let gone: Vec<String> = gone.cloned().collect();
        for key in gone {
            self.remove(&key, update.revision);
        }
    }

    fn put(&mut self, key: &str, revision: u64, value: V) {
        if let Some((old, _)) = self.values.insert(key.to_owned(), (revision, value)) {
            self.order.remove(&(old, key.to_owned()));
        }
        self.order.insert((revision, key.to_owned()));
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if let Some((old, _)) = self.values.remove(key) {
            self.order.remove(&(old, key.to_owned()));
        }
        self.removed.push_back((revision, key.to_owned()));
        if self.removed.len() > MOST_REMOVED {
            if let Some((forgotten, _)) = self.removed.pop_front() {
                self.horizon = self.horizon.max(forgotten);
            }
        }
    }
}

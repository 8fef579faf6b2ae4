//! A copy of the store's content, from which changes are relayed to other proxies, so that the
//! store's load does not grow with their number (`docs/DESIGN.md`, "Changes of the store").
//!
//! All revisions in this module are stamps ([`era`]).

use std::collections::{BTreeSet, VecDeque};

use dandelionpitch_core::hash::Map;

use crate::era;

/// Bounds the memory for removed keys. A follower that has missed more removals gets a snapshot.
const MAX_TOMBSTONES: usize = 2_000;

/// A key and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item<V> {
    pub key: String,
    pub value: V,
    /// The store's revision at which the value was written.
    pub revision: u64,
}

/// The latest change of a key.
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

    /// The store's revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Written(Item { revision, .. }) | Self::Removed { revision, .. } => *revision,
        }
    }
}

/// The changes that bring a follower from an earlier revision to `revision`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update<V> {
    /// The revision reached by applying the update.
    pub revision: u64,
    /// Whether `changes` lists every key that exists, so that all other keys are removed.
    pub is_snapshot: bool,
    pub changes: Vec<Change<V>>,
}

/// How much of the content a follower has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Progress {
    /// It has the changes up to this revision; 0 if it has nothing.
    pub after: u64,
    /// While it copies the content in parts: the revision that the relay had reached when it sent the first
    /// part. No key that was removed before is in any part.
    pub copy_start: Option<u64>,
}

impl From<u64> for Progress {
    /// The progress of a follower that has everything up to the revision `after`.
    fn from(after: u64) -> Self {
        Self {
            after,
            copy_start: None,
        }
    }
}

impl Progress {
    /// The progress after a part was applied.
    pub fn advance<V>(&mut self, part: &Part<V>) {
        let start = match self.after {
            // Relays of earlier versions do not tell the revision, and do not accept it.
            0 => Some(part.reached).filter(|reached| *reached != 0),
            _ => self.copy_start,
        };
        self.copy_start = start.filter(|_| part.has_more);
        self.after = self.after.max(part.update.revision);
    }
}

/// The changes that a follower has missed, or as many of the earliest ones as fit into a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part<V> {
    pub update: Update<V>,
    /// The revision that the mirror has reached.
    pub reached: u64,
    /// Whether later changes follow in another part, so that the follower is not up to date yet.
    pub has_more: bool,
}

/// The store's content at one revision, with the removals that followers may have missed.
#[derive(Clone, Debug)]
pub struct Mirror<V> {
    values: Map<String, (u64, V)>,
    /// Each key with the revision of its last write.
    keys_by_revision: BTreeSet<(u64, String)>,
    tombstones: VecDeque<(u64, String)>,
    /// Removals up to this revision are unknown: discarded, or older than the first snapshot.
    compacted_revision: u64,
    revision: u64,
}

/// A change that a follower has missed.
struct Missed<'a, V> {
    key: &'a str,
    revision: u64,
    /// `None` if the key was removed.
    value: Option<&'a V>,
}

impl<V: Clone> Missed<'_, V> {
    fn to_change(&self) -> Change<V> {
        let (key, revision) = (self.key.to_owned(), self.revision);
        match self.value {
            Some(value) => Change::Written(Item {
                key,
                value: value.clone(),
                revision,
            }),
            None => Change::Removed { key, revision },
        }
    }
}

impl<V> Default for Mirror<V> {
    fn default() -> Self {
        Self {
            values: Map::default(),
            keys_by_revision: BTreeSet::new(),
            tombstones: VecDeque::new(),
            compacted_revision: 0,
            revision: 0,
        }
    }
}

impl<V: Clone> Mirror<V> {
    /// Records that removals up to the current revision may be unknown, so that followers from before get
    /// a snapshot.
    pub fn note_history_unknown(&mut self) {
        self.compacted_revision = self.revision;
        self.tombstones.clear();
    }

    /// The revision that the mirror has reached; 0 if it is empty.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// A key's value and the revision at which it was written.
    pub fn get(&self, key: &str) -> Option<(u64, &V)> {
        let (revision, value) = self.values.get(key)?;
        Some((*revision, value))
    }

    /// Applies an update unless it is older than the mirror, and returns whether it was applied.
    ///
    /// An older update, from a source that is behind the previous one, would bring back an older
    /// configuration. The first update of a later era, after the store was restored from a backup,
    /// must be a snapshot: changes alone would leave keys that the restored store does not have.
    /// The mirror is cleared first, so its followers get a snapshot as well.
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
            self.remove_absent(update);
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

    /// The changes after the revision `after`, or a snapshot if removals after it have been
    /// discarded.
    pub fn since(&self, after: u64) -> Update<V> {
        Update {
            revision: self.revision,
            is_snapshot: self.needs_snapshot(after.into()),
            changes: self
                .missed(after.into())
                .map(|change| change.to_change())
                .collect(),
        }
    }

    /// Like [`Self::since`], but for a follower that may be copying the content in parts, and only the
    /// earliest changes that take up to `max_bytes`, or all changes of one revision, which are never split;
    /// `size` returns the size of a key and its value. `None` if a snapshot exceeds that, as a follower must
    /// not apply a part of it.
    ///
    /// Nothing is copied that is not returned: a relay has hundreds of followers, and after an outage
    /// each lacks most of the content.
    pub fn part_since(
        &self,
        progress: Progress,
        max_bytes: usize,
        mut size: impl FnMut(&str, Option<&V>) -> usize,
    ) -> Option<Part<V>> {
        let is_snapshot = self.needs_snapshot(progress);
        let mut used = 0;
        let mut taken: Vec<Missed<'_, V>> = Vec::new();
        let mut has_more = false;
        for change in self.missed(progress) {
            used += size(change.key, change.value);
            if used > max_bytes && is_snapshot {
                return None;
            }
            let begins_revision = taken.last().map(|last| last.revision) != Some(change.revision);
            if used > max_bytes && begins_revision && !taken.is_empty() {
                has_more = true;
                break;
            }
            taken.push(change);
        }
        let revision = match has_more {
            true => taken.last()?.revision,
            false => self.revision,
        };
        let update = Update {
            revision,
            is_snapshot,
            changes: taken.iter().map(Missed::to_change).collect(),
        };
        Some(Part {
            update,
            reached: self.revision,
            has_more,
        })
    }

    /// Whether a follower may have missed removals that have been discarded. An empty follower has nothing
    /// to remove, and one that copies the content has nothing that was removed before it began.
    fn needs_snapshot(&self, progress: Progress) -> bool {
        let known = progress.copy_start.unwrap_or(progress.after);
        known < self.compacted_revision && progress.after != 0
    }

    /// The changes that a follower has missed, by revision.
    fn missed(&self, progress: Progress) -> impl Iterator<Item = Missed<'_, V>> {
        let after = progress.after;
        let (from, known_removals) = match self.needs_snapshot(progress) || after == 0 {
            true => (0, self.tombstones.len()),
            false => {
                let seen = |(revision, _): &(u64, String)| *revision <= after;
                (after + 1, self.tombstones.partition_point(seen))
            }
        };
        let written = self.keys_by_revision.range((from, String::new())..);
        let written = written.filter_map(|(revision, key)| {
            let (_, value) = self.values.get(key)?;
            Some(Missed {
                key,
                revision: *revision,
                value: Some(value),
            })
        });
        let removed = self.tombstones.range(known_removals..);
        let removed = removed.map(|(revision, key)| Missed {
            key,
            revision: *revision,
            value: None,
        });
        let (mut written, mut removed) = (written.peekable(), removed.peekable());
        std::iter::from_fn(move || match (written.peek(), removed.peek()) {
            (Some(write), Some(removal)) if removal.revision < write.revision => removed.next(),
            (Some(_), _) => written.next(),
            (None, _) => removed.next(),
        })
    }

    /// Removes the keys that a snapshot does not list. The revisions of their removal are unknown, so the
    /// snapshot's revision is used.
    fn remove_absent(&mut self, update: &Update<V>) {
        if self.revision == 0 {
            self.compacted_revision = update.revision;
        }
        let present: BTreeSet<&str> = update.changes.iter().map(Change::key).collect();
        let absent = self
            .values
            .keys()
            .filter(|key| !present.contains(key.as_str()));
        let absent: Vec<String> = absent.cloned().collect();
        for key in absent {
            self.remove(&key, update.revision);
        }
    }

    fn put(&mut self, key: &str, revision: u64, value: V) {
        if let Some((old, _)) = self.values.insert(key.to_owned(), (revision, value)) {
            self.keys_by_revision.remove(&(old, key.to_owned()));
        }
        self.keys_by_revision.insert((revision, key.to_owned()));
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if let Some((old, _)) = self.values.remove(key) {
            self.keys_by_revision.remove(&(old, key.to_owned()));
        }
        self.tombstones.push_back((revision, key.to_owned()));
        if self.tombstones.len() > MAX_TOMBSTONES {
            if let Some((compacted, _)) = self.tombstones.pop_front() {
                self.compacted_revision = self.compacted_revision.max(compacted);
            }
        }
    }
}

//! The earlier versions of a value, as the bases of deltas to followers.

use std::collections::VecDeque;

/// The number of versions kept. Followers may be several behind when configurations change in quick
/// succession.
const MAX_VERSIONS: usize = 8;

/// The versions of one key that a copy of the store has had, oldest first.
#[derive(Clone, Debug)]
pub struct History<V> {
    versions: VecDeque<Version<V>>,
}

/// A version of a value and the revisions at which the copy had it.
#[derive(Clone, Debug)]
struct Version<V> {
    written: u64,
    /// The last revision at which the copy is known to have had this version. Between this and the next
    /// version the store may have had others, which the copy has not received.
    last: u64,
    value: V,
}

impl<V> Default for History<V> {
    fn default() -> Self {
        Self {
            versions: VecDeque::new(),
        }
    }
}

impl<V> History<V> {
    /// Records a version that is replaced: it was written at the revision `written`, and the copy still had
    /// it at `last`.
    pub fn record(&mut self, written: u64, last: u64, value: V) {
        let known = self.versions.back().map(|version| version.written);
        if known.is_some_and(|known| known >= written) {
            return;
        }
        self.versions.push_back(Version {
            written,
            last,
            value,
        });
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }

    /// The version that a follower at the revision `reached` has, and the revision at which it was written;
    /// `None` if that is not known for certain.
    pub fn version_at(&self, reached: u64) -> Option<(u64, &V)> {
        let holds = |version: &&Version<V>| (version.written..=version.last).contains(&reached);
        let version = self.versions.iter().rfind(holds)?;
        Some((version.written, &version.value))
    }
}

//! A circuit breaker for one group on one proxy: whether statements are tried on the group's servers from
//! here, or left to another proxy.
//!
//! In a network partition one owner of a group may reach too few of its servers to prove anything, while another
//! reaches enough. If each statement searched for a server until its time was used up, none would be left for
//! the other owner.

use std::time::Duration;

use crate::{catalog::Consistency, session::Effect, time::Moment};

/// How many statements in a row must have found no server. One or two may fail while a primary is replaced,
/// although the next one succeeds.
const THRESHOLD: u32 = 3;

/// How often a statement is tried all the same, to notice that the servers can be reached again. A group is not
/// searched more often either.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// What a statement needs from the servers of a group. Replicas may satisfy reads while there is no primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Need {
    /// A read within a staleness bound.
    StaleRead,
    /// A read that sees every acknowledged commit.
    LatestRead,
    /// A write, or a transaction that may write.
    Write,
}

impl Need {
    /// What a statement with this effect needs, or a transaction that begins with it.
    pub fn new(effect: Effect, consistency: Consistency) -> Self {
        match (effect, consistency) {
            (Effect::Write | Effect::Commit, _) => Self::Write,
            (Effect::Read, Consistency::Latest) => Self::LatestRead,
            (Effect::Read, Consistency::Bounded(_) | Consistency::Session(_)) => Self::StaleRead,
        }
    }
}

/// The breaker of one group for statements with one [`Need`].
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    /// Statements in a row that found no server.
    failures: u32,
    /// When a statement was last tried although the breaker was open.
    probed_at: Moment,
}

impl Breaker {
    /// Whether a statement is tried here at `now`. Counts it as a probe if the breaker is open.
    pub fn admit(&mut self, now: Moment) -> bool {
        if self.failures < THRESHOLD {
            return true;
        }
        let is_probe = now.since(self.probed_at) >= PROBE_INTERVAL;
        if is_probe {
            self.probed_at = now;
        }
        is_probe
    }

    /// Records that a server was found for a statement; returns whether the breaker was open.
    pub fn note_found(&mut self) -> bool {
        std::mem::take(&mut self.failures) >= THRESHOLD
    }

    /// Records that none was found for a statement; returns whether this opened the breaker.
    pub fn note_none_found(&mut self, now: Moment) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.probed_at = now;
        self.failures == THRESHOLD
    }
}

//! Spreads failovers over time and orders them.
//!
//! When a data centre is partitioned, the primaries of a third of all groups are lost at once, and the
//! platform executes only so many promotions per second for all of them. If all failovers started
//! together, most promotions would be refused after their replicas had been held, and every refused
//! failover would hold and release its replicas again.

use std::time::Duration;

use crate::time::Moment;

/// The part of the platform's limit that is used. The rest is for repeated calls, and for those of the
/// previous failover leader.
const USED_PART: f64 = 0.85;

/// How many failovers may start at once after a quiet period, as the time that their starts are worth.
/// A few failures at the same moment are not delayed.
const BURST: Duration = Duration::from_millis(200);

/// Decides when the next failover may start.
#[derive(Clone, Debug)]
pub struct Pacer {
    /// The time between two starts in the long run.
    interval: Duration,
    /// When all failovers started so far are paid off by elapsed time.
    paid_until: Moment,
}

impl Pacer {
    /// A pacer for a platform that executes up to `per_second` promotions per second.
    pub fn new(per_second: f64) -> Self {
        Self {
            interval: Duration::from_secs_f64(1.0 / (per_second * USED_PART)),
            paid_until: Moment::default(),
        }
    }

    /// Whether a failover may start at `now`; counts it if so.
    pub fn try_start(&mut self, now: Moment) -> bool {
        let paid_until = self.paid_until.max(now);
        if paid_until.since(now) >= BURST {
            return false;
        }
        self.paid_until = paid_until + self.interval;
        true
    }
}

/// A group whose primary has to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// When it was first found that it has to be.
    pub since: Moment,
    /// The failovers of the group that have failed since its last success.
    pub failed_attempts: u32,
}

/// The order in which groups get their failovers: those with fewer failed attempts first, as a group that
/// cannot be helped must not delay the others, then those that have waited longest.
pub fn order<T>(waiting: &mut [T], of: impl Fn(&T) -> Waiting) {
    waiting.sort_by_key(|group| {
        let Waiting {
            since,
            failed_attempts,
        } = of(group);
        (failed_attempts, since)
    });
}

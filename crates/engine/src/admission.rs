//! Admission control: whether a statement waits for a connection or is refused immediately.
//!
//! Under overload, a statement that cannot be answered within its route's target also delays every
//! statement queued behind it. It is therefore refused on arrival, with a retry-after time.

use std::time::Duration;

use crate::time::Moment;

/// The state of a server's queue when a statement arrives.
#[derive(Clone, Copy, Debug)]
pub struct Queue {
    /// Statements queued ahead of it.
    pub waiting: usize,
    /// Open connections that serve the queue.
    pub connections: usize,
    /// Mean time for which one statement or transaction recently used a connection.
    pub hold: Duration,
}

/// What to do with an arriving statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Queue the statement; it is expected to wait for `expected`.
    Wait { expected: Duration },
    /// Refuse the statement; the caller may retry after `retry_after`.
    Refuse { retry_after: Duration },
}

/// The fraction of the remaining time that may be spent in the queue; the rest is for execution.
const MAX_WAIT_FRACTION: f64 = 0.7;

/// With a shorter retry-after the caller would find the same queue again.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Decides whether a statement that should be answered within `left` is queued or refused.
pub fn decide(queue: Queue, left: Duration) -> Decision {
    let ahead = (queue.waiting + 1) as f64 / queue.connections.max(1) as f64;
    let expected = queue.hold.mul_f64(ahead);
    match expected <= left.mul_f64(MAX_WAIT_FRACTION) {
        true => Decision::Wait { expected },
        false => Decision::Refuse {
            retry_after: (expected / 2).max(MIN_RETRY_AFTER),
        },
    }
}

/// A statement waiting in the queue.
#[derive(Clone, Copy, Debug)]
pub struct Queued {
    /// When its latency target expires.
    pub due: Moment,
    /// When its timeout expires.
    pub deadline: Moment,
}

/// Which queued statements to run and to refuse when a connection becomes free, as indexes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selection {
    pub next: Option<usize>,
    /// Statements that cannot finish before their deadline and are refused now.
    pub too_late: Vec<usize>,
}

/// Selects the next statement from `entries`, which are in queue order, for connections that are in
/// use for `hold` at a time on average.
///
/// A statement that can still meet its target goes before one that cannot, since otherwise both
/// would be late. One that cannot finish before its deadline is refused now instead of timing out.
/// Execution is estimated at half of `hold`, because the mean includes idle transactions unless they
/// are counted separately. Without this,
/// work whose target has passed was served first, and what could still meet its target became late too.
pub fn select(entries: &[Queued], hold: Duration, now: Moment) -> Selection {
    let done = now + hold / 2;
    let too_late = |queued: &(usize, &Queued)| done > queued.1.deadline;
    let indexed = || entries.iter().enumerate();
    let feasible = indexed().filter(|(_, queued)| done <= queued.deadline);
    let on_time = feasible.clone().find(|(_, queued)| done <= queued.due);
    let next = on_time.or_else(|| feasible.clone().next());
    Selection {
        next: next.map(|(index, _)| index),
        too_late: indexed().filter(too_late).map(|(index, _)| index).collect(),
    }
}

/// A statement may search for a server for 1/n of its route's target.
const SEARCH_TARGET_DIVISOR: u32 = 5;

/// Whether a statement that arrived `waited` ago may keep searching for a server.
///
/// There may be none for a second or more during a failover or a network partition. An early
/// refusal leaves the caller time to try another proxy or to retry.
pub fn may_search(waited: Duration, target: Duration) -> bool {
    waited <= target / SEARCH_TARGET_DIVISOR
}

/// How much longer a statement that arrived `waited` ago may search for a server.
///
/// Limits how long the statement waits for a running search for the primary, which may in turn wait for
/// servers that do not answer.
pub fn remaining_search_time(waited: Duration, target: Duration) -> Duration {
    (target / SEARCH_TARGET_DIVISOR).saturating_sub(waited)
}

/// Why no server accepted a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// No server is known, reachable and fresh enough; this may change at any moment.
    NoServer,
    /// A suitable server exists, but its queue is too long.
    QueueFull,
}

/// Whether a statement that arrived `waited` ago is tried on the servers again.
///
/// A full queue is not retried: under overload further attempts would be refused as well, and only
/// delay the refusal that tells the caller when to retry.
pub fn may_retry(obstacle: Obstacle, waited: Duration, target: Duration) -> bool {
    match obstacle {
        Obstacle::NoServer => may_search(waited, target),
        Obstacle::QueueFull => false,
    }
}

/// An exponentially weighted moving average of durations in which a new sample has a weight of 1/5: it
/// follows a slow server within a handful of statements, and forgets one outlier as fast.
#[derive(Clone, Copy, Debug)]
pub struct Mean(Duration);

impl Mean {
    /// Creates a mean with the initial value `value`.
    pub fn new(value: Duration) -> Self {
        Self(value)
    }

    /// Adds a sample.
    pub fn record(&mut self, value: Duration) {
        self.0 = (self.0 * 4 + value) / 5;
    }

    /// The current mean.
    pub fn value(self) -> Duration {
        self.0
    }
}

//! Whether a statement waits for a connection or is refused at once.
//!
//! Load pattern: a burst, or servers lost or slow, makes more statements wait than connections can
//! serve in time. A statement that will be answered later than its route's target only makes those
//! behind it late as well, so it is refused on arrival, with the time at which to come back.

use std::time::Duration;

use crate::time::Moment;

/// What is known when a statement arrives at a server's queue.
#[derive(Clone, Copy, Debug)]
pub struct Queue {
    /// Statements waiting before it.
    pub waiting: usize,
    /// Connections that serve the queue.
    pub connections: usize,
    /// How long a connection is lately held by one statement or transaction.
    pub hold: Duration,
}

/// What to do with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Wait; `expected` is the forecast.
    Wait { expected: Duration },
    /// Refuse now.
    Refuse { retry_after: Duration },
}

/// The part of the time left that may be spent waiting: the rest is for the work itself.
const WAIT_PART: f64 = 0.7;

/// The shortest time a refused caller is told to stay away: below it, it would meet the same queue.
const SHORTEST_RETURN: Duration = Duration::from_millis(50);

/// Decides for a statement that should be answered within `left`.
pub fn decide(queue: Queue, left: Duration) -> Verdict {
    let ahead = (queue.waiting + 1) as f64 / queue.connections.max(1) as f64;
    let expected = queue.hold.mul_f64(ahead);
    match expected <= left.mul_f64(WAIT_PART) {
        true => Verdict::Wait { expected },
        false => Verdict::Refuse {
            retry_after: (expected / 2).max(SHORTEST_RETURN),
        },
    }
}

/// What a waiting statement was admitted for.
#[derive(Clone, Copy, Debug)]
pub struct Queued {
    /// When it should be answered.
    pub due: Moment,
    /// When it is of no use any more.
    pub deadline: Moment,
}

/// Who is served when a connection becomes free.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selection {
    pub next: Option<usize>,
    /// Those that cannot be served before their deadline, to be refused now.
    pub too_late: Vec<usize>,
}

/// Judges the waiting statements again, which are in order of rank, for connections that are held for
/// `hold`.
///
/// Load pattern: both replicas of a group are behind, its primary has more work than it can
/// do, and what waits is overtaken by what ranks higher. A statement past its target was served
/// before one that could still meet its own, so both were late; and one that had waited until just
/// before its deadline was sent all the same, or refused only then. Half of the mean time is reckoned
/// for the work itself: the mean counts transactions, which rest on their connections.
pub fn select(entries: &[Queued], hold: Duration, now: Moment) -> Selection {
    let done = now + hold / 2;
    let too_late = |queued: &(usize, &Queued)| done > queued.1.deadline;
    let numbered = || entries.iter().enumerate();
    let useful = numbered().filter(|(_, queued)| done <= queued.deadline);
    let on_time = useful.clone().find(|(_, queued)| done <= queued.due);
    let next = on_time.or_else(|| useful.clone().next());
    Selection {
        next: next.map(|(index, _)| index),
        too_late: numbered()
            .filter(too_late)
            .map(|(index, _)| index)
            .collect(),
    }
}

/// The part of a route's target for which a statement may look for a server that can take it.
const LOOKING_PART: u32 = 5;

/// Whether a statement that came `waited` ago and no server could take may go on looking.
///
/// Load pattern: a primary fails, or a data centre is cut off, and for a second or more every
/// statement finds nobody to serve it. Held until its timeout it is late in any case, and its
/// caller cannot try elsewhere; refused at once it can, and comes back when there is a primary
/// again.
pub fn may_search(waited: Duration, target: Duration) -> bool {
    waited <= target / LOOKING_PART
}

/// How much longer a statement that came `waited` ago may look for a server.
///
/// Load pattern: a primary is lost and each search for the next one waits half a second for servers that
/// do not answer. Statements that came while it ran would be refused only when it ends, past half of
/// their target.
pub fn remaining_search_time(waited: Duration, target: Duration) -> Duration {
    (target / LOOKING_PART).saturating_sub(waited)
}

/// Why no server took a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// None is known or reachable, or none has what it must see: that may change any moment.
    NoServer,
    /// Too much waits before it at a server that could.
    QueueFull,
}

/// Whether a statement that came `waited` ago is offered to the servers again.
///
/// Load pattern: both replicas of a group are seconds behind, and its primary has more work
/// than it can do. Offered to all servers again, each read that its queue refuses is only turned away more
/// often. Refused at once its caller comes back sooner.
pub fn may_retry(obstacle: Obstacle, waited: Duration, target: Duration) -> bool {
    match obstacle {
        Obstacle::NoServer => may_search(waited, target),
        Obstacle::QueueFull => false,
    }
}

/// A running mean of durations, new values weighing a fifth: it follows a slow server within a
/// handful of statements and forgets one stray value as fast.
#[derive(Clone, Copy, Debug)]
pub struct Mean(Duration);

impl Mean {
    /// A mean that starts at `value`.
    pub fn new(value: Duration) -> Self {
        Self(value)
    }

    /// Takes one more value in.
    pub fn record(&mut self, value: Duration) {
        self.0 = (self.0 * 4 + value) / 5;
    }

    /// The present mean.
    pub fn value(self) -> Duration {
        self.0
    }
}

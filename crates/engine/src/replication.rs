//! How far a replica has applied the primary's log, and when it is expected to have a position.
//!
//! The estimate only decides where a read is sent, and when: the server itself checks the position
//! that a read requires.

use std::time::Duration;

use dandelionpitch_core::position::Position;

use crate::time::Moment;

/// How long an observation shows that a replica lacks a position. Afterwards one read at a time
/// probes whether it has caught up.
const STALE_AFTER: Duration = Duration::from_millis(500);

/// The shortest time over which a rate of progress is measured. Over a shorter one, the rate depends on
/// single commits.
const MIN_SPAN: Duration = Duration::from_millis(100);

/// The time after which the start of the measurement moves on: the rate is that of the last one to two
/// of these periods, so that it follows a replica that stops or catches up.
const WINDOW: Duration = Duration::from_millis(250);

/// The furthest expected time. Beyond it a rate of progress is no longer a useful estimate.
const HORIZON: Duration = Duration::from_secs(5);

/// The bounds of the time after which a read that found no server may come back. With a shorter time it
/// would find the same state; with a longer one it would use up its deadline on an estimate.
const RETRY_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(1_000));

/// From which delay on a replica counts as behind, and from which on no longer. The former is longer than
/// ordinary replication lag, so that normal operation causes no log lines.
const BEHIND_AFTER: Duration = Duration::from_millis(1_000);
const CAUGHT_UP_BELOW: Duration = Duration::from_millis(500);

/// A position that a server reported, and when its answer arrived.
#[derive(Clone, Copy, Debug)]
struct Sample {
    position: Position,
    at: Moment,
}

/// When a replica is expected to have a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// It has reported the position or a later one.
    Now,
    /// At its rate of progress it reaches the position at this time, which may have passed.
    At(Moment),
    /// Nothing recent is known of it.
    Unknown,
    /// It lacked the position a short time ago and makes no progress towards it.
    NotInSight,
}

/// Whether a read may be sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It has the position.
    Send,
    /// It may have the position; one read at a time is sent to find out.
    Probe,
    /// Another read is finding out.
    AfterProbe,
    /// It is expected to have the position at this time, and not before.
    Wait(Moment),
    /// It lacks the position, and nothing tells when it will have it.
    Skip,
}

impl Turn {
    /// How long the read would wait at `now` until it may be sent.
    pub fn delay(self, now: Moment) -> Duration {
        match self {
            Self::Send | Self::Probe => Duration::ZERO,
            // Waits for a single answer, which takes less than any other wait.
            Self::AfterProbe => Duration::from_millis(1),
            Self::Wait(at) => now.until(at).max(Duration::from_millis(1)),
            Self::Skip => Duration::MAX,
        }
    }
}

/// A change of whether a replica counts as behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    FellBehind,
    CaughtUp,
}

/// What the answers of one incarnation of a replica show of its progress.
#[derive(Clone, Copy, Debug, Default)]
pub struct Replica {
    last: Option<Sample>,
    /// The start of the measurement of its rate of progress, and the start of the next one.
    base: Option<Sample>,
    next_base: Option<Sample>,
    /// The lowest position that it lacked although it had reported one that covers it, and when.
    denied: Option<Sample>,
    is_probed: bool,
    is_behind: bool,
}

impl Replica {
    /// Records the position in an answer to a request sent at `asked` that arrived at `answered`.
    ///
    /// A later term, or a lower position, which shows that the server has lost its log, starts a new
    /// estimate. Answers to overlapping requests arrive in any order, so a lower position among these is
    /// ignored.
    pub fn note(&mut self, position: Position, asked: Moment, answered: Moment) {
        let sample = Sample {
            position,
            at: answered,
        };
        match self
            .last
            .map(|last| (last, last.position.term.cmp(&position.term)))
        {
            Some((last, order)) if order.is_eq() && last.position <= position => {
                self.advance(sample);
            }
            Some((last, order)) if order.is_ge() && asked < last.at => {}
            _ => self.restart(Some(sample)),
        }
    }

    /// Records that it answered a read that required `required`, and whether it lacked that position.
    /// `reported` is the position in the answer, if it is known.
    pub fn note_read(
        &mut self,
        required: Position,
        reported: Option<Position>,
        lacked: bool,
        answered: Moment,
    ) {
        let is_explained = reported.is_some_and(|reported| !reported.covers(required));
        match lacked {
            true if is_explained => {}
            true => {
                let lowest = self
                    .denied
                    .map_or(required, |old| old.position.min(required));
                self.denied = Some(Sample {
                    position: lowest,
                    at: answered,
                });
            }
            false => self.denied = self.denied.filter(|denied| denied.position > required),
        }
    }

    /// Records the term in a status that was requested at `asked`. The position in a status is what the
    /// server has received, which it may not have applied yet.
    pub fn note_term(&mut self, term: u64, asked: Moment) {
        let other_term = |last: Sample| last.position.term != term && last.at <= asked;
        if self.last.is_some_and(other_term) {
            self.forget();
        }
    }

    /// Drops the estimate, as the server is another incarnation.
    pub fn forget(&mut self) {
        self.restart(None);
    }

    fn restart(&mut self, sample: Option<Sample>) {
        (self.last, self.base, self.next_base) = (sample, sample, sample);
        self.denied = None;
    }

    fn advance(&mut self, sample: Sample) {
        self.last = Some(sample);
        let is_due = |next: Sample| sample.at.since(next.at) >= WINDOW;
        if self.next_base.is_some_and(is_due) {
            self.base = self.next_base.replace(sample);
        }
    }

    /// When it is expected to have `position`.
    pub fn expected_at(&self, position: Position, now: Moment) -> Expectation {
        let is_stale = |sample: Sample| now.since(sample.at) >= STALE_AFTER;
        let denied = self.denied.filter(|denied| denied.position <= position);
        match (denied, self.last) {
            (Some(denied), _) if !is_stale(denied) => Expectation::NotInSight,
            (Some(_), _) | (None, None) => Expectation::Unknown,
            (None, Some(last)) if last.position.covers(position) => Expectation::Now,
            (None, Some(last)) if is_stale(last) => Expectation::Unknown,
            (None, Some(last)) => match self.reaches(last, position) {
                Some(at) if now.until(at) <= HORIZON => Expectation::At(at),
                _ => Expectation::NotInSight,
            },
        }
    }

    /// When it reaches `position` at its rate of progress; `None` if it makes none or is in another term.
    fn reaches(&self, last: Sample, position: Position) -> Option<Moment> {
        let base = self.base.filter(|_| last.position.term == position.term)?;
        let span = last.at.since(base.at);
        let progress = last.position.lsn.saturating_sub(base.position.lsn);
        if span < MIN_SPAN || progress == 0 {
            return None;
        }
        let missing = position.lsn.saturating_sub(last.position.lsn);
        let left = span.as_secs_f64() * missing as f64 / progress as f64;
        let left = Duration::try_from_secs_f64(left).ok()?;
        (left <= HORIZON).then(|| last.at + left)
    }

    /// Whether a read that requires `position` may be sent to it.
    pub fn turn(&self, position: Position, now: Moment) -> Turn {
        match self.expected_at(position, now) {
            Expectation::Now => Turn::Send,
            Expectation::At(at) if at > now => Turn::Wait(at),
            Expectation::At(_) | Expectation::Unknown if self.is_probed => Turn::AfterProbe,
            Expectation::At(_) | Expectation::Unknown => Turn::Probe,
            Expectation::NotInSight => Turn::Skip,
        }
    }

    /// Records that a probe starts or has ended.
    pub fn set_probed(&mut self, is_probed: bool) {
        self.is_probed = is_probed;
    }

    /// Records that it is `delay` behind the primary, and returns whether it is now considered behind or no
    /// longer.
    pub fn note_delay(&mut self, delay: Duration) -> Option<Change> {
        let (is_behind, change) = match self.is_behind {
            false => (delay >= BEHIND_AFTER, Change::FellBehind),
            true => (delay >= CAUGHT_UP_BELOW, Change::CaughtUp),
        };
        let changed = std::mem::replace(&mut self.is_behind, is_behind) != is_behind;
        changed.then_some(change)
    }
}

/// The time after which a refused read may come back: when the first of the replicas is expected to have
/// the position that it requires. `None` if it is not in sight on any of them.
pub fn retry_after(
    expectations: impl Iterator<Item = Expectation>,
    now: Moment,
) -> Option<Duration> {
    let wait = |expectation| match expectation {
        Expectation::Now => Some(Duration::ZERO),
        Expectation::At(at) => Some(now.until(at)),
        Expectation::Unknown | Expectation::NotInSight => None,
    };
    let (shortest, longest) = RETRY_BOUNDS;
    let first = expectations.filter_map(wait).min()?;
    Some(first.clamp(shortest, longest))
}

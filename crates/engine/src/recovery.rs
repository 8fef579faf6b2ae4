//! Waiting for a primary: how long an outage of a group is expected to last, which statements wait for its
//! end, in which order they start then, and when all others should come back.
//!
//! Without an estimate, refused callers use up their retries while there is still no primary.

use std::time::Duration;

use crate::{admission::Mean, time::Moment};

/// The assumed duration of a recovery before one has been seen.
const INITIAL_ESTIMATE: Duration = Duration::from_millis(2_000);

/// The first deviation, as a part of the first recovery's duration: one duration tells nothing about it.
const INITIAL_SPREAD_DIVISOR: u32 = 8;

/// An outage that is this many times longer than estimated has no estimate.
const MAX_OVERRUN: u32 = 2;

/// The least time that an outage is expected to go on: its end is noticed by a search, and there is one
/// each 150 ms.
const MIN_REMAINING: Duration = Duration::from_millis(100);

/// The time that the first search for the primary takes. A primary that it finds was never lost, so a
/// shorter outage tells nothing about recoveries.
const SEARCH_TIME: Duration = Duration::from_millis(250);

/// A statement that has waited starts at least this long before it must have been answered. The first
/// statements on a new primary are slow, and a write that times out has an unknown outcome.
const MIN_RUN_TIME: Duration = Duration::from_millis(100);

/// The same, as a multiple of the mean time for which a statement holds its connection.
const RUN_TIME_FACTOR: u32 = 4;

/// The durations of recoveries, of all groups of a proxy.
#[derive(Clone, Copy, Debug, Default)]
pub struct History {
    /// The mean duration and the mean deviation from it; `None` until there was a recovery.
    seen: Option<(Mean, Mean)>,
}

impl History {
    /// Adds the duration of a recovery.
    pub fn record(&mut self, duration: Duration) {
        match &mut self.seen {
            Some((mean, spread)) => {
                spread.record(duration.abs_diff(mean.value()));
                mean.record(duration);
            }
            None => {
                let spread = Mean::new(duration / INITIAL_SPREAD_DIVISOR);
                self.seen = Some((Mean::new(duration), spread));
            }
        }
    }

    /// The expected duration of a recovery: most of the recent ones were not longer.
    pub fn estimate(&self) -> Duration {
        let seen = self.seen.as_ref();
        seen.map_or(INITIAL_ESTIMATE, |(mean, _)| mean.value() + self.spread())
    }

    fn spread(&self) -> Duration {
        self.seen
            .as_ref()
            .map_or(Duration::ZERO, |(_, spread)| spread.value())
    }
}

/// What the connections of a group bear.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    pub connections: usize,
    /// The mean time for which a statement holds a connection.
    pub hold: Duration,
}

impl Capacity {
    /// The number of statements that can be run within `time`.
    pub fn within(self, time: Duration) -> usize {
        let hold = self.hold.max(Duration::from_micros(100));
        (self.connections as f64 * time.as_secs_f64() / hold.as_secs_f64()) as usize
    }

    /// The time between the starts of two statements.
    fn interval(self) -> Duration {
        self.hold.div_f64(self.connections.max(1) as f64)
    }

    fn run_time(self) -> Duration {
        (self.hold * RUN_TIME_FACTOR).max(MIN_RUN_TIME)
    }
}

/// A statement that finds no primary.
#[derive(Clone, Copy, Debug)]
pub struct Statement {
    /// 0 is the highest priority.
    pub priority: u32,
    /// The latency target of an operation that arrives now.
    pub target: Duration,
    /// When the target of this statement expires.
    pub due: Moment,
    /// When whoever sent the statement, a caller or another proxy, stops waiting for the answer.
    pub answer_by: Moment,
    /// When the operation times out, up to which the caller may retry it.
    pub deadline: Moment,
}

impl Statement {
    fn rank(&self) -> (u32, Moment) {
        (self.priority, self.due)
    }
}

/// What is known besides the outage itself.
#[derive(Clone, Copy, Debug)]
pub struct Situation {
    pub capacity: Capacity,
    /// Whether this proxy's copy of the store is current. Without the store nobody can promote a server.
    pub has_store: bool,
}

/// The place of a waiting statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Place(u64);

/// What to do with a statement that finds no primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It waits until at most `until`. If there was no place left, `displaced` has lost its own to it.
    Wait {
        place: Place,
        until: Moment,
        displaced: Option<Place>,
    },
    /// It is refused; the caller should come back after `retry_after`.
    Refuse { retry_after: Duration },
    /// It is refused, and nobody knows when there will be a primary.
    Unknown,
}

/// Which waiting statement starts next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Start(Place),
    /// Not before this time.
    Later(Moment),
    Nobody,
}

/// The end of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    pub estimated: Duration,
    pub actual: Duration,
}

#[derive(Clone, Debug)]
struct Outage {
    started: Moment,
    estimated: Duration,
    spread: Duration,
    /// Whether a complete search has found no primary.
    confirmed: bool,
    /// How many callers were told to come back after the end, by priority.
    returning: Vec<(u32, usize)>,
}

impl Outage {
    /// How many callers of this or a higher priority return.
    fn returning_before(&self, priority: u32) -> usize {
        let before = self
            .returning
            .iter()
            .filter(|(other, _)| *other <= priority);
        before.map(|(_, count)| count).sum()
    }

    fn note_returning(&mut self, priority: u32) {
        match self.returning.iter_mut().find(|entry| entry.0 == priority) {
            Some((_, count)) => *count += 1,
            None => self.returning.push((priority, 1)),
        }
    }

    /// When the outage is expected to end, if that can be told.
    fn expected_end(&self, has_store: bool, now: Moment) -> Option<Moment> {
        if !self.confirmed {
            return Some((self.started + SEARCH_TIME).max(now));
        }
        if !has_store || self.is_overrun(now) {
            return None;
        }
        let end = self.started + self.estimated;
        Some(end.max(now + self.spread.max(MIN_REMAINING)))
    }

    fn is_overrun(&self, now: Moment) -> bool {
        now.since(self.started) > self.estimated * MAX_OVERRUN
    }
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    place: Place,
    statement: Statement,
    until: Moment,
}

/// The outage of one group, if it has one, and the statements that wait for its end.
#[derive(Clone, Debug, Default)]
pub struct Recovery {
    outage: Option<Outage>,
    /// By priority, then by due time.
    waiting: Vec<Waiting>,
    next_place: u64,
    /// No waiting statement starts before this time.
    next_start: Moment,
}

impl Recovery {
    /// Records that there is no primary; returns whether an outage has begun with it.
    pub fn begin(&mut self, history: &History, now: Moment) -> bool {
        if self.outage.is_some() {
            return false;
        }
        self.outage = Some(Outage {
            started: now,
            estimated: history.estimate(),
            spread: history.spread(),
            confirmed: false,
            returning: Vec::new(),
        });
        true
    }

    /// Records that a complete search has found no primary. Returns the statements that wait although
    /// they cannot meet their deadlines at the expected end; they no longer wait.
    pub fn confirm(&mut self, situation: Situation, now: Moment) -> Vec<Place> {
        match &mut self.outage {
            Some(outage) if !outage.confirmed => outage.confirmed = true,
            _ => return Vec::new(),
        }
        let end = self.expected_end(situation.has_store, now);
        let is_late = |waiting: &Waiting| end.is_none_or(|end| waiting.until < end);
        let late = self.waiting.iter().filter(|waiting| is_late(waiting));
        let late: Vec<Place> = late.map(|waiting| waiting.place).collect();
        late.iter().for_each(|place| self.leave(*place));
        late
    }

    /// Records that there is a primary again.
    pub fn end(&mut self, history: &mut History, now: Moment) -> Option<Outcome> {
        let outage = self.outage.take()?;
        self.next_start = now;
        let actual = now.since(outage.started);
        if actual > SEARCH_TIME {
            // One that nobody could end must not spoil the estimates of all others.
            history.record(actual.min(outage.estimated * MAX_OVERRUN));
        }
        let estimated = outage.estimated;
        Some(Outcome { estimated, actual })
    }

    /// Decides about a statement that finds no primary.
    pub fn decide(&mut self, statement: Statement, situation: Situation, now: Moment) -> Decision {
        let Some(end) = self.expected_end(situation.has_store, now) else {
            return Decision::Unknown;
        };
        let until = statement.answer_by - situation.capacity.run_time();
        if until < end || until <= now {
            return self.refuse(statement, situation, now);
        }
        let mut displaced = None;
        if self.waiting.len() >= situation.capacity.within(statement.target) {
            match self.waiting.last() {
                Some(last) if statement.rank() < last.statement.rank() => {
                    displaced = self.waiting.pop().map(|waiting| waiting.place);
                }
                _ => return self.refuse(statement, situation, now),
            }
        }
        let place = self.insert(statement, until);
        Decision::Wait {
            place,
            until,
            displaced,
        }
    }

    fn insert(&mut self, statement: Statement, until: Moment) -> Place {
        let place = Place(self.next_place);
        self.next_place += 1;
        let rank = statement.rank();
        let index = self
            .waiting
            .partition_point(|waiting| waiting.statement.rank() <= rank);
        let waiting = Waiting {
            place,
            statement,
            until,
        };
        self.waiting.insert(index, waiting);
        place
    }

    /// Refuses a statement. Callers that can still return are told to do so one after the other, after
    /// those that wait: by priority, then in the order in which they were refused.
    pub fn refuse(&mut self, statement: Statement, situation: Situation, now: Moment) -> Decision {
        let Some(end) = self.expected_end(situation.has_store, now) else {
            return Decision::Unknown;
        };
        let Some(outage) = &mut self.outage else {
            return Decision::Unknown;
        };
        let ahead = self.waiting.len() + outage.returning_before(statement.priority);
        let offset = situation.capacity.interval().mul_f64(ahead as f64);
        let returns = end + offset;
        if returns < statement.deadline {
            outage.note_returning(statement.priority);
        }
        let retry_after = now.until(returns);
        Decision::Refuse { retry_after }
    }

    /// Gives up the place of a statement, if it has one.
    pub fn leave(&mut self, place: Place) {
        self.waiting.retain(|waiting| waiting.place != place);
    }

    /// Takes the next statement from its place, if there is a primary and its time has come.
    pub fn next(&mut self, capacity: Capacity, now: Moment) -> Next {
        self.waiting.retain(|waiting| waiting.until >= now);
        if self.outage.is_some() || self.waiting.is_empty() {
            return Next::Nobody;
        }
        if now < self.next_start {
            return Next::Later(self.next_start);
        }
        self.next_start = now.max(self.next_start) + capacity.interval();
        Next::Start(self.waiting.remove(0).place)
    }

    /// When the outage is expected to end; `None` if there is no outage or no estimate.
    pub fn expected_end(&self, has_store: bool, now: Moment) -> Option<Moment> {
        let outage = self.outage.as_ref()?;
        outage.expected_end(has_store, now)
    }

    /// How long the outage has lasted; `None` if there is none.
    pub fn lasted(&self, now: Moment) -> Option<Duration> {
        self.outage.as_ref().map(|outage| now.since(outage.started))
    }

    /// Whether the end of the outage should be looked for although no statement asks for it: its duration
    /// would otherwise depend on when the next one arrives.
    pub fn is_watched(&self, now: Moment) -> bool {
        let is_recent = |outage: &Outage| !outage.is_overrun(now);
        !self.waiting.is_empty() || self.outage.as_ref().is_some_and(is_recent)
    }

    /// How many statements wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

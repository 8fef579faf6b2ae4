//! The load of the design page: a group without a primary, whose callers retry refused operations.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use dandelionpitch_engine::recovery::{Decision, Next, Place, Recovery};
use yare::parameterized;

use crate::{at, history, millis, outage, with_target, CAPACITY, DEADLINE, OUTAGE, SITUATION};

const ARRIVALS_PER_SECOND: u64 = 210;
const MAX_RETRIES: u32 = 2;

/// The retry-after of a refusal without an estimate.
const RETRY_AFTER: u64 = 500;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Operation {
    arrived: u64,
    retries: u32,
}

impl Operation {
    fn retry(self) -> Self {
        let retries = self.retries + 1;
        Self { retries, ..self }
    }
}

#[derive(Debug, Default)]
struct Tally {
    on_time: usize,
    late: usize,
    failed: usize,
    /// Statements sent to the primary within 50 ms after the end.
    rush: usize,
}

/// The callers, the proxy and the primary in steps of 1 ms.
struct Load {
    target: u64,
    attempts: BinaryHeap<Reverse<(u64, Operation)>>,
    waiting: Vec<(Place, Operation)>,
    /// When each connection becomes free.
    free: Vec<u64>,
    tally: Tally,
}

impl Load {
    fn new(target: u64) -> Self {
        let arrivals =
            (0..3 * ARRIVALS_PER_SECOND).map(|index| index * 1_000 / ARRIVALS_PER_SECOND);
        let operation = |arrived| {
            Reverse((
                arrived,
                Operation {
                    arrived,
                    retries: 0,
                },
            ))
        };
        Self {
            target,
            attempts: arrivals.map(operation).collect(),
            waiting: Vec::new(),
            free: vec![0; CAPACITY.connections],
            tally: Tally::default(),
        }
    }

    fn run(mut self, mut recovery: Option<Recovery>) -> Tally {
        let mut history = history();
        for now in 0..2 * OUTAGE {
            if now == OUTAGE {
                recovery
                    .as_mut()
                    .map(|recovery| recovery.end(&mut history, at(now)));
            }
            while self
                .attempts
                .peek()
                .is_some_and(|Reverse((time, _))| *time <= now)
            {
                let Some(Reverse((_, operation))) = self.attempts.pop() else {
                    break;
                };
                self.attempt(operation, recovery.as_mut(), now);
            }
            if let Some(recovery) = &mut recovery {
                self.start_waiting(recovery, now);
            }
        }
        self.tally
    }

    /// An attempt that searches for a fifth of its target, and is decided about when that has passed.
    fn attempt(&mut self, operation: Operation, recovery: Option<&mut Recovery>, now: u64) {
        let search = self.target / 5;
        if now + search >= OUTAGE {
            return self.start(operation, now.max(OUTAGE));
        }
        let decided = now + search;
        let retry_at = match recovery {
            None => decided + RETRY_AFTER,
            Some(recovery) => {
                let deadline = operation.arrived + DEADLINE;
                let statement = with_target(now, self.target, deadline, 1);
                match recovery.decide(statement, SITUATION, at(decided)) {
                    Decision::Wait { place, .. } => return self.waiting.push((place, operation)),
                    Decision::Refuse { retry_after } => millis(at(decided) + retry_after),
                    Decision::Unknown => decided + RETRY_AFTER,
                }
            }
        };
        match operation.retries < MAX_RETRIES && retry_at < operation.arrived + DEADLINE {
            true => self.attempts.push(Reverse((retry_at, operation.retry()))),
            false => self.tally.failed += 1,
        }
    }

    fn start_waiting(&mut self, recovery: &mut Recovery, now: u64) {
        while let Next::Start(place) = recovery.next(CAPACITY, at(now)) {
            let index = self.waiting.iter().position(|(known, _)| *known == place);
            let (_, operation) = self.waiting.swap_remove(index.expect("it waits"));
            self.start(operation, now);
        }
        if now >= OUTAGE && recovery.waiting() == 0 {
            self.tally.failed += self.waiting.drain(..).count();
        }
    }

    /// Runs on the connection that is free first.
    fn start(&mut self, operation: Operation, now: u64) {
        self.tally.rush += usize::from((OUTAGE..OUTAGE + 50).contains(&now));
        let connection = self.free.iter_mut().min().expect("connections");
        *connection = now.max(*connection) + 20;
        match *connection - operation.arrived {
            took if took <= self.target => self.tally.on_time += 1,
            took if took <= DEADLINE => self.tally.late += 1,
            _ => self.tally.failed += 1,
        }
    }
}

/// The load of the design page. Guards against refusals that use up the retries of operations which the
/// primary could still have run, and against a rush of those that waited.
#[parameterized(short_target = { 120 }, long_target = { 200 })]
fn waiting_serves_more_without_a_rush(target: u64) {
    let refused = Load::new(target).run(None);
    let waited = Load::new(target).run(Some(outage(&history())));

    println!("target {target} ms, refuse: {refused:?}; wait: {waited:?}");
    assert!(waited.failed < refused.failed, "{waited:?}, {refused:?}");
    assert!(waited.late > refused.late, "{waited:?}, {refused:?}");
    assert!(waited.on_time >= refused.on_time, "{waited:?}, {refused:?}");
    let arriving = ARRIVALS_PER_SECOND as usize * 50 / 1_000;
    let searching = (ARRIVALS_PER_SECOND * target / 5 / 1_000) as usize;
    let bearable = CAPACITY.within(Duration::from_millis(50)) + arriving + searching + 2;
    assert!(waited.rush <= bearable, "{waited:?} of {bearable}");
}

//! The faults of a soak test in which faults of servers overlap and cause series of failovers,
//! drawn from a seed.
//!
//! A fault names its server relative to the primary at the time the fault begins, so that a second
//! failover affects the server that has just been promoted.

use std::time::Duration;

use rand::{rngs::StdRng, Rng, SeedableRng};

use super::plan::{are_compatible, Fault, Step};

const SERIES_COUNT: u64 = 3;

/// Time between the starts of two series.
const SERIES_DURATION_MS: u64 = 3_800;

/// Time from the cause of the first failover of a series to that of the second, which comes before,
/// while or after the first takes effect.
const SECOND_FAILOVER_DELAY_MS: std::ops::Range<u64> = 300..2_600;

/// Probability that the server of a promotion call is overloaded from that call on.
const OVERLOAD_PROBABILITY: f64 = 0.6;

/// May end before or after the failover leader checks the promoted server again.
const OVERLOAD_DURATION_MS: std::ops::Range<u64> = 1_000..3_500;

/// Number of server faults in a series besides the causes of its failovers.
const CONCURRENT_FAULTS: std::ops::RangeInclusive<usize> = 1..=4;

/// Time from the start of a series to such a fault.
const CONCURRENT_FAULT_DELAY_MS: std::ops::Range<u64> = 0..2_800;

/// Number of faults that affect no server.
const OTHER_FAULTS: usize = 2;

/// A server, by its position in the ring of servers that begins with the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Primary,
    Next,
    Last,
}

impl Target {
    fn draw(rng: &mut StdRng) -> Self {
        match rng.random_range(0..3) {
            0 => Self::Primary,
            1 => Self::Next,
            _ => Self::Last,
        }
    }
}

/// A fault of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFault {
    /// Crashes, keeps its registration, and restarts with its log.
    Crashed,
    /// As `Crashed`, but loses its registration until the restart.
    CrashedUnregistered,
    Unresponsive,
    /// Cannot replicate to or from the others.
    Partitioned,
    /// Cannot replicate to or from the next server of the ring.
    PartitionedFromNext,
    /// Receives no entries from the others.
    NotReplicating,
    Draining,
    /// Rejects all statements and control commands.
    Busy,
    /// Rejects most statements and control commands.
    Overloaded,
    /// Restarts with an empty log.
    RestartedEmpty,
}

impl ServerFault {
    /// Draws a fault that causes a failover, and its duration in milliseconds.
    fn draw_failover_cause(rng: &mut StdRng) -> (Self, u64) {
        match rng.random_range(0..6) {
            0 => (Self::Crashed, rng.random_range(50..3_000)),
            1 => (Self::CrashedUnregistered, rng.random_range(300..3_000)),
            2 => (Self::Unresponsive, rng.random_range(500..3_000)),
            3 => (Self::Partitioned, rng.random_range(500..3_000)),
            _ => (Self::Draining, rng.random_range(800..3_000)),
        }
    }

    /// Draws a fault to coincide with a failover, and its duration in milliseconds.
    fn draw_concurrent(rng: &mut StdRng) -> (Self, u64) {
        match rng.random_range(0..7) {
            0 | 1 => (Self::Crashed, rng.random_range(10..120)),
            2 => (Self::PartitionedFromNext, rng.random_range(300..3_000)),
            3 => (Self::NotReplicating, rng.random_range(100..1_500)),
            4 => (Self::Busy, rng.random_range(300..2_200)),
            5 => (Self::Overloaded, rng.random_range(500..3_000)),
            _ => (Self::Unresponsive, rng.random_range(200..1_500)),
        }
    }
}

fn step(target: Target, (fault, duration_ms): (ServerFault, u64), begins: u64) -> Step {
    Step {
        fault: Fault::Targeted(target, fault),
        begins: Duration::from_millis(begins),
        ends: Duration::from_millis(begins + duration_ms),
    }
}

/// Draws the faults of a seed, ordered by when they begin.
///
/// At most one server loses its log. Acknowledged commits are on two servers, so one copy always
/// remains and every lost commit is a violation.
pub fn draw(seed: u64) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    for series in 0..SERIES_COUNT {
        let begins = 500 + series * SERIES_DURATION_MS + rng.random_range(0..600);
        let next = begins + rng.random_range(SECOND_FAILOVER_DELAY_MS);
        for cause in [begins, next] {
            let fault = ServerFault::draw_failover_cause(&mut rng);
            steps.push(step(Target::Primary, fault, cause));
        }
        if rng.random_bool(OVERLOAD_PROBABILITY) {
            let duration_ms = rng.random_range(OVERLOAD_DURATION_MS);
            steps.push(Step {
                fault: Fault::NextPrimaryOverloaded,
                begins: Duration::from_millis(begins),
                ends: Duration::from_millis(begins + duration_ms),
            });
        }
        for _ in 0..rng.random_range(CONCURRENT_FAULTS) {
            let at = begins + rng.random_range(CONCURRENT_FAULT_DELAY_MS);
            let target = Target::draw(&mut rng);
            let fault = ServerFault::draw_concurrent(&mut rng);
            steps.push(step(target, fault, at));
        }
    }
    let window_ms = 500..SERIES_COUNT * SERIES_DURATION_MS;
    if rng.random_bool(0.5) {
        let at = rng.random_range(window_ms.clone());
        let target = Target::draw(&mut rng);
        steps.push(step(target, (ServerFault::RestartedEmpty, 0), at));
    }
    let mut others: Vec<Step> = Vec::new();
    while others.len() < OTHER_FAULTS {
        let other = Step::draw(&mut rng, window_ms.clone());
        let alone = others.iter().all(|one| are_compatible(&other, one));
        if !other.fault.affects_server() && alone {
            others.push(other);
        }
    }
    steps.extend(others);
    steps.sort_by_key(|step| step.begins);
    steps
}

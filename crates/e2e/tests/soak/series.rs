//! The faults of a soak in which server faults overlap and come in series, drawn from a seed.
//!
//! A server is named by how it stands to the one that leads when its fault begins: failovers in a row then
//! meet the server that was just promoted, whichever it is.

use std::time::Duration;

use rand::{rngs::StdRng, Rng, SeedableRng};

use super::plan::{compatible, Fault, Step};

/// How many series of failovers a seed draws, and how long one lasts until the next begins.
const SERIES: u64 = 3;
const SERIES_LASTS: u64 = 3_800;

/// How long after a failover's cause the next one comes: before, while and after the first takes effect.
const NEXT_CAUSE: std::ops::Range<u64> = 300..2_600;

/// How likely the server that is promoted has little time from the call on, and for how long. The promoter
/// looks again 1.2 s after its call.
const HEIR_IS_CROWDED: f64 = 0.6;
const HEIR_CROWDED_FOR: std::ops::Range<u64> = 1_000..3_500;

/// How many other troubles a series has, and within what time of its beginning.
const TROUBLES: std::ops::RangeInclusive<usize> = 1..=4;
const TROUBLES_WITHIN: std::ops::Range<u64> = 0..2_800;

/// How many faults of proxies and the store a seed draws.
const OTHERS: usize = 2;

/// A server, by its place in the ring that begins with the one that leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    Leader,
    Next,
    Last,
}

impl Place {
    fn draw(random: &mut StdRng) -> Self {
        match random.random_range(0..3) {
            0 => Self::Leader,
            1 => Self::Next,
            _ => Self::Last,
        }
    }
}

/// What happens to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// It crashes and comes back with its log; its registration stays.
    Crashed,
    /// The same, and its registration lapses meanwhile.
    Dead,
    Silent,
    Cut,
    /// It exchanges nothing with the next server of the ring.
    CutFromNext,
    Deaf,
    Leaving,
    Busy,
    Crowded,
    /// It starts again with an empty log.
    Emptied,
}

impl Trouble {
    /// One that has the primary replaced, and how long it lasts.
    fn draw_cause(random: &mut StdRng) -> (Self, u64) {
        match random.random_range(0..6) {
            0 => (Self::Crashed, random.random_range(50..3_000)),
            1 => (Self::Dead, random.random_range(300..3_000)),
            2 => (Self::Silent, random.random_range(500..3_000)),
            3 => (Self::Cut, random.random_range(500..3_000)),
            _ => (Self::Leaving, random.random_range(800..3_000)),
        }
    }

    /// One that meets a failover, and how long it lasts.
    fn draw_meanwhile(random: &mut StdRng) -> (Self, u64) {
        match random.random_range(0..7) {
            0 | 1 => (Self::Crashed, random.random_range(10..120)),
            2 => (Self::CutFromNext, random.random_range(300..3_000)),
            3 => (Self::Deaf, random.random_range(100..1_500)),
            4 => (Self::Busy, random.random_range(300..2_200)),
            5 => (Self::Crowded, random.random_range(500..3_000)),
            _ => (Self::Silent, random.random_range(200..1_500)),
        }
    }
}

fn step(place: Place, (trouble, lasts): (Trouble, u64), begins: u64) -> Step {
    Step {
        fault: Fault::Placed(place, trouble),
        begins: Duration::from_millis(begins),
        ends: Duration::from_millis(begins + lasts),
    }
}

/// The faults of a seed, in the order in which they begin.
///
/// At most one log is emptied: a commit that callers were told is kept is on two servers, so it is never
/// truly gone, and no loss is excused.
pub fn draw(seed: u64) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    for series in 0..SERIES {
        let begins = 500 + series * SERIES_LASTS + random.random_range(0..600);
        let next = begins + random.random_range(NEXT_CAUSE);
        for cause in [begins, next] {
            let trouble = Trouble::draw_cause(&mut random);
            steps.push(step(Place::Leader, trouble, cause));
        }
        if random.random_bool(HEIR_IS_CROWDED) {
            let lasts = random.random_range(HEIR_CROWDED_FOR);
            steps.push(Step {
                fault: Fault::HeirCrowded,
                begins: Duration::from_millis(begins),
                ends: Duration::from_millis(begins + lasts),
            });
        }
        for _ in 0..random.random_range(TROUBLES) {
            let at = begins + random.random_range(TROUBLES_WITHIN);
            let place = Place::draw(&mut random);
            let trouble = Trouble::draw_meanwhile(&mut random);
            steps.push(step(place, trouble, at));
        }
    }
    let whole = 500..SERIES * SERIES_LASTS;
    if random.random_bool(0.5) {
        let at = random.random_range(whole.clone());
        let place = Place::draw(&mut random);
        steps.push(step(place, (Trouble::Emptied, 0), at));
    }
    let mut others: Vec<Step> = Vec::new();
    while others.len() < OTHERS {
        let other = Step::draw(&mut random, whole.clone());
        let alone = others.iter().all(|one| compatible(&other, one));
        if !other.fault.is_of_server() && alone {
            others.push(other);
        }
    }
    steps.extend(others);
    steps.sort_by_key(|step| step.begins);
    steps
}

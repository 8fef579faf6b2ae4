//! The faults of a soak, drawn from a seed: here those of which one at a time concerns a server.

use std::time::Duration;

use rand::{rngs::StdRng, Rng, SeedableRng};

use super::series::{self, Place, Trouble};

/// How many proxies there are.
pub const PROXIES: usize = 5;

/// How many faults a seed draws, and within what time they begin.
const FAULTS: usize = 7;
const BEGIN_WITHIN: Duration = Duration::from_secs(9);

/// How long a fault lasts.
const LASTS: std::ops::Range<u64> = 300..3_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    ProxyKilled(usize),
    ProxyFrozen(usize),
    ProxyStopped(usize),
    ServerDead(usize),
    ServerSilent(usize),
    ServerCut(usize),
    ServerDeaf(usize),
    ServerReborn(usize),
    /// Drawn by [`series`] only.
    Placed(Place, Trouble),
    /// The server that is next promoted has little time from the call on, for as long as the fault lasts.
    /// Drawn by [`series`] only.
    HeirCrowded,
    StoreDown,
    StoreForgets,
    /// The store is away, and comes back from a copy of this age. Drawn by [`restores`] only.
    StoreRestored(Duration),
    Configured,
}

impl Fault {
    fn draw(random: &mut StdRng) -> Self {
        let (proxy, server) = (random.random_range(0..PROXIES), random.random_range(0..3));
        match random.random_range(0..11) {
            0 => Self::ProxyKilled(proxy),
            1 => Self::ProxyFrozen(proxy),
            2 => Self::ProxyStopped(proxy),
            3 => Self::ServerDead(server),
            4 => Self::ServerSilent(server),
            5 => Self::ServerCut(server),
            6 => Self::ServerDeaf(server),
            7 => Self::ServerReborn(server),
            8 => Self::StoreDown,
            9 => Self::StoreForgets,
            _ => Self::Configured,
        }
    }

    /// Whether it concerns a server: two at once may take the only copies of a commit.
    pub fn is_of_server(self) -> bool {
        matches!(
            self,
            Self::ServerDead(_)
                | Self::ServerSilent(_)
                | Self::ServerCut(_)
                | Self::ServerDeaf(_)
                | Self::ServerReborn(_)
                | Self::Placed(..)
                | Self::HeirCrowded
        )
    }
}

/// A fault and when it begins and ends, from the start of the callers.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub fault: Fault,
    pub begins: Duration,
    pub ends: Duration,
}

impl Step {
    /// A fault that begins within `whole`, in milliseconds.
    pub fn draw(random: &mut StdRng, whole: std::ops::Range<u64>) -> Self {
        let begins = Duration::from_millis(random.random_range(whole));
        let ends = begins + Duration::from_millis(random.random_range(LASTS));
        Self {
            fault: Fault::draw(random),
            begins,
            ends,
        }
    }
}

/// What a seed is played with. A seed that is kept as a test names its plan, so each plan goes on to draw
/// what it drew when the seed was found.
#[derive(Clone, Copy, Debug)]
pub enum Plan {
    /// One fault of a server at a time; a promotion is in effect when its call is answered.
    Single,
    /// Faults of servers overlap and come in series; a promotion takes effect after its call.
    Series,
}

impl Plan {
    /// The faults of a seed, in the order in which they begin.
    pub fn draw(self, seed: u64) -> Vec<Step> {
        match self {
            Self::Single => draw(seed),
            Self::Series => series::draw(seed),
        }
    }

    /// The arguments of the stand-in. The platform's promotions take effect some hundred milliseconds after
    /// the call, and an old primary goes on for a second after it has reached the new one.
    pub fn arguments(self) -> &'static [&'static str] {
        match self {
            Self::Single => &[],
            Self::Series => &[
                "--promote-ms",
                "0",
                "--effect-ms",
                "300",
                "--outranked-ms",
                "1000",
            ],
        }
    }
}

/// How long a server needs after another's fault until it has everything again.
const CATCH_UP: Duration = Duration::from_secs(2);

/// The faults of a seed, in the order in which they begin.
fn draw(seed: u64) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut steps: Vec<Step> = Vec::new();
    while steps.len() < FAULTS {
        let step = Step::draw(&mut random, 500..BEGIN_WITHIN.as_millis() as u64);
        if steps.iter().all(|other| compatible(&step, other)) {
            steps.push(step);
        }
    }
    steps.sort_by_key(|step| step.begins);
    steps
}

/// Whether two faults may come in one run: one server at a time, and each proxy one thing at a time.
pub fn compatible(a: &Step, b: &Step) -> bool {
    let apart = |gap: Duration| a.begins > b.ends + gap || b.begins > a.ends + gap;
    let proxy = |fault| match fault {
        Fault::ProxyKilled(proxy) | Fault::ProxyFrozen(proxy) | Fault::ProxyStopped(proxy) => {
            Some(proxy)
        }
        _ => None,
    };
    let same_proxy = proxy(a.fault).is_some() && proxy(a.fault) == proxy(b.fault);
    let servers = a.fault.is_of_server() && b.fault.is_of_server();
    let store = matches!(a.fault, Fault::StoreDown) && matches!(b.fault, Fault::StoreDown);
    (!servers || apart(CATCH_UP))
        && (!same_proxy || apart(CATCH_UP * 4))
        && (!store || apart(CATCH_UP))
}

/// How many restores a seed draws at most.
const MOST_RESTORES: usize = 2;

/// How old a copy is, in milliseconds, and how long the store is away before it comes back from it.
const COPY_AGE: std::ops::Range<u64> = 300..5_000;
const AWAY: std::ops::Range<u64> = 50..900;

/// Restores of the store for a seed whose faults are `steps`, with those put in their order. They are drawn
/// apart from the faults, so that a seed draws the same faults with and without them.
pub fn restores(seed: u64, steps: &mut Vec<Step>) {
    let mut random = StdRng::seed_from_u64(!seed);
    let last = steps.iter().map(|step| step.begins).max();
    let whole = 500..last.unwrap_or(BEGIN_WITHIN).as_millis() as u64 + 1;
    let down = |step: &&Step| matches!(step.fault, Fault::StoreDown | Fault::StoreRestored(_));
    for _ in 0..random.random_range(1..=MOST_RESTORES) {
        let age = Duration::from_millis(random.random_range(COPY_AGE));
        let begins = Duration::from_millis(random.random_range(whole.clone()));
        let ends = begins + Duration::from_millis(random.random_range(AWAY));
        let apart = |step: &Step| begins > step.ends || step.begins > ends;
        if steps.iter().filter(down).all(apart) {
            steps.push(Step {
                fault: Fault::StoreRestored(age),
                begins,
                ends,
            });
        }
    }
    steps.sort_by_key(|step| step.begins);
}

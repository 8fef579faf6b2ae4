//! The plans of a soak test, which draw faults from a seed, and the plan in which faults of servers
//! do not overlap.

use std::time::Duration;

use rand::{rngs::StdRng, Rng, SeedableRng};

use super::series::{self, ServerFault, Target};

pub const PROXIES: usize = 5;

const FAULT_COUNT: usize = 7;

/// The time from the start of the callers in which faults begin.
const START_WINDOW: Duration = Duration::from_secs(9);

const FAULT_DURATION_MS: std::ops::Range<u64> = 300..3_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    ProxyKilled(usize),
    ProxyFrozen(usize),
    /// The proxy shuts down gracefully.
    ProxyStopped(usize),
    ServerStopped(usize),
    ServerUnresponsive(usize),
    /// The server cannot replicate to or from the others.
    ServerPartitioned(usize),
    /// The server receives no entries from the others.
    ServerNotReplicating(usize),
    /// The server restarts with an empty log.
    ServerRestartedEmpty(usize),
    /// A fault of a server chosen relative to the primary. Drawn by [`series`] only.
    Targeted(Target, ServerFault),
    /// The next server to be promoted is overloaded from the promotion call on, for the duration of
    /// the fault. Drawn by [`series`] only.
    NextPrimaryOverloaded,
    StoreDown,
    /// The store discards its change history.
    StoreCompacted,
    /// The store is down, and then restored from a snapshot of this age. Drawn by [`add_restores`]
    /// only.
    StoreRestored(Duration),
    /// A new version of the configuration is published.
    ConfigurationPublished,
}

impl Fault {
    fn draw(rng: &mut StdRng) -> Self {
        let (proxy, server) = (rng.random_range(0..PROXIES), rng.random_range(0..3));
        match rng.random_range(0..11) {
            0 => Self::ProxyKilled(proxy),
            1 => Self::ProxyFrozen(proxy),
            2 => Self::ProxyStopped(proxy),
            3 => Self::ServerStopped(server),
            4 => Self::ServerUnresponsive(server),
            5 => Self::ServerPartitioned(server),
            6 => Self::ServerNotReplicating(server),
            7 => Self::ServerRestartedEmpty(server),
            8 => Self::StoreDown,
            9 => Self::StoreCompacted,
            _ => Self::ConfigurationPublished,
        }
    }

    /// Whether this is a fault of a server. Two such faults at once could destroy all copies of a
    /// commit.
    pub fn affects_server(self) -> bool {
        matches!(
            self,
            Self::ServerStopped(_)
                | Self::ServerUnresponsive(_)
                | Self::ServerPartitioned(_)
                | Self::ServerNotReplicating(_)
                | Self::ServerRestartedEmpty(_)
                | Self::Targeted(..)
                | Self::NextPrimaryOverloaded
        )
    }
}

/// A fault, and when it begins and ends, measured from the start of the callers.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub fault: Fault,
    pub begins: Duration,
    pub ends: Duration,
}

impl Step {
    /// Draws a fault that begins within `window_ms`.
    pub fn draw(rng: &mut StdRng, window_ms: std::ops::Range<u64>) -> Self {
        let begins = Duration::from_millis(rng.random_range(window_ms));
        let ends = begins + Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        Self {
            fault: Fault::draw(rng),
            begins,
            ends,
        }
    }
}

/// How the faults of a seed are drawn. Seeds are kept as regression tests, so a plan must always
/// draw the same faults for the same seed.
#[derive(Clone, Copy, Debug)]
pub enum Plan {
    /// At most one server has a fault at a time. A promotion is in effect when its call is
    /// answered.
    Single,
    /// Faults of servers overlap and cause series of failovers. A promotion takes effect some time
    /// after its call.
    Series,
}

impl Plan {
    /// Draws the faults of a seed, ordered by when they begin.
    pub fn draw(self, seed: u64) -> Vec<Step> {
        match self {
            Self::Single => draw(seed),
            Self::Series => series::draw(seed),
        }
    }

    /// Arguments for the stand-in: when a promotion takes effect, and when an old primary that has
    /// reached the new one steps down.
    pub fn standin_arguments(self) -> &'static [&'static str] {
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

/// Pause between two faults in which a server receives all entries that it missed.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);

/// Draws the faults of [`Plan::Single`], ordered by when they begin.
fn draw(seed: u64) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps: Vec<Step> = Vec::new();
    while steps.len() < FAULT_COUNT {
        let step = Step::draw(&mut rng, 500..START_WINDOW.as_millis() as u64);
        if steps.iter().all(|other| are_compatible(&step, other)) {
            steps.push(step);
        }
    }
    steps.sort_by_key(|step| step.begins);
    steps
}

/// Whether one seed may have both faults: faults of servers, of the same proxy and outages of the
/// store must not overlap.
pub fn are_compatible(a: &Step, b: &Step) -> bool {
    let apart = |gap: Duration| a.begins > b.ends + gap || b.begins > a.ends + gap;
    let proxy = |fault| match fault {
        Fault::ProxyKilled(proxy) | Fault::ProxyFrozen(proxy) | Fault::ProxyStopped(proxy) => {
            Some(proxy)
        }
        _ => None,
    };
    let same_proxy = proxy(a.fault).is_some() && proxy(a.fault) == proxy(b.fault);
    let servers = a.fault.affects_server() && b.fault.affects_server();
    let store = matches!(a.fault, Fault::StoreDown) && matches!(b.fault, Fault::StoreDown);
    (!servers || apart(CATCH_UP_TIME))
        && (!same_proxy || apart(CATCH_UP_TIME * 4))
        && (!store || apart(CATCH_UP_TIME))
}

const MAX_RESTORES: usize = 2;

const SNAPSHOT_AGE_MS: std::ops::Range<u64> = 300..5_000;

/// How long the store is down before a restore.
const OUTAGE_MS: std::ops::Range<u64> = 50..900;

/// Draws restores of the store and inserts them into `steps`, the faults of the same seed. They use
/// a random generator of their own, so that a seed draws the same faults with and without restores.
pub fn add_restores(seed: u64, steps: &mut Vec<Step>) {
    let mut rng = StdRng::seed_from_u64(!seed);
    let last = steps.iter().map(|step| step.begins).max();
    let window_ms = 500..last.unwrap_or(START_WINDOW).as_millis() as u64 + 1;
    let down = |step: &&Step| matches!(step.fault, Fault::StoreDown | Fault::StoreRestored(_));
    for _ in 0..rng.random_range(1..=MAX_RESTORES) {
        let age = Duration::from_millis(rng.random_range(SNAPSHOT_AGE_MS));
        let begins = Duration::from_millis(rng.random_range(window_ms.clone()));
        let ends = begins + Duration::from_millis(rng.random_range(OUTAGE_MS));
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

//! What proptest draws: the size of the group, faults with their times, and delays.

use proptest::{collection::vec, prelude::*};

/// The length of a step in milliseconds. Everything happens at steps.
pub const STEP: u64 = 25;

/// How many steps a case lasts: three replacements in a row and [`PROMOTION_COOLDOWN`] after them.
///
/// [`PROMOTION_COOLDOWN`]: dandelionpitch_engine::takeover::PROMOTION_COOLDOWN
pub const LENGTH: u64 = 14_000 / STEP;

/// A party of the network: servers first, then proxies, promoters and the store.
pub type Node = usize;

pub const SERVERS: usize = 4;
pub const PROXIES: usize = 2;
pub const PROMOTERS: usize = 2;
pub const NODES: usize = SERVERS + PROXIES + PROMOTERS + 1;
pub const STORE: Node = NODES - 1;

pub fn proxy_node(proxy: usize) -> Node {
    SERVERS + proxy
}

pub fn promoter_node(promoter: usize) -> Node {
    SERVERS + PROXIES + promoter
}

/// What befalls a party.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The nodes of a bit mask reach only each other.
    Part { inside: u16 },
    /// Two nodes don't reach each other.
    Link { one: Node, other: Node },
    /// The servers of a bit mask have no time for questions.
    Busy { inside: u16 },
    /// Whichever server is promoted meanwhile has no time for questions from the effect on, until the end.
    Crowd,
    /// A server is down; `empty` if it comes back without its log.
    Crash { server: usize, empty: bool },
    /// A promoter does nothing, and what comes for it waits.
    Freeze { promoter: usize },
    /// A server says that it leaves, and goes on.
    Leave { server: usize },
}

/// A fault and when it lasts, in steps.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub from: u64,
    pub steps: u64,
    pub fault: Fault,
}

/// One case.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// How many servers the group has.
    pub servers: usize,
    pub troubles: Vec<Trouble>,
    /// Delays, taken in turn and over again.
    pub delays: Vec<u8>,
    /// Whether a position carries the term of its server; else that of its last entry.
    pub by_server: bool,
    /// How many steps are between two commits through the same proxy.
    pub pace: u64,
    /// Whether the callers of one proxy only read.
    pub reads_only: bool,
}

/// A server, by its distance from the one that leads.
fn server() -> impl Strategy<Value = usize> {
    prop_oneof![1 => Just(0), 1 => 0..SERVERS]
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => (1_u16..1 << NODES).prop_map(|inside| Fault::Part { inside }),
        4 => (server(), 0..NODES).prop_map(|(one, other)| Fault::Link { one, other }),
        2 => (SERVERS..STORE).prop_map(|one| Fault::Link { one, other: STORE }),
        2 => server().prop_map(|server| Fault::Busy { inside: 1 << server }),
        3 => (1_u16..1 << SERVERS).prop_map(|inside| Fault::Busy { inside }),
        4 => Just(Fault::Crowd),
        4 => (server(), prop::bool::weighted(0.5))
            .prop_map(|(server, empty)| Fault::Crash { server, empty }),
        1 => (0..PROMOTERS).prop_map(|promoter| Fault::Freeze { promoter }),
        4 => server().prop_map(|server| Fault::Leave { server }),
    ]
}

fn trouble() -> impl Strategy<Value = Trouble> {
    let steps = prop_oneof![2 => 4_u64..30, 2 => 30_u64..120, 1 => 120_u64..LENGTH];
    // The first second is left for the first lists to be written.
    (40..LENGTH - 60, steps, fault()).prop_map(|(from, steps, fault)| Trouble {
        from,
        steps,
        fault,
    })
}

/// Draws cases. Faults come in bunches, since it takes several at once to lose a commit.
pub fn scenario() -> impl Strategy<Value = Scenario> {
    let spread = vec(trouble(), 0..6);
    let bunch = (40..LENGTH - 120, vec((0_u64..60, trouble()), 2..7)).prop_map(|(from, bunch)| {
        let near = |(after, trouble)| Trouble {
            from: from + after,
            ..trouble
        };
        bunch.into_iter().map(near).collect()
    });
    let troubles = (spread, bunch).prop_map(|(spread, bunch): (Vec<_>, Vec<_>)| {
        let mut troubles = bunch;
        troubles.extend(spread);
        troubles
    });
    (
        3..=SERVERS,
        troubles,
        vec(any::<u8>(), 61),
        any::<bool>(),
        3_u64..12,
        any::<bool>(),
    )
        .prop_map(
            |(servers, troubles, delays, by_server, pace, reads_only)| Scenario {
                servers,
                troubles,
                delays,
                by_server,
                pace,
                reads_only,
            },
        )
}

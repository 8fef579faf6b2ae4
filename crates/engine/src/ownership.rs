//! Ownership: which proxies hold the connections to the servers of a database group.
//!
//! Servers accept too few connections for every proxy of a large deployment to have its own. A few
//! proxies of each data centre therefore own a group's connections, and the others forward their
//! statements to one of them (`docs/DESIGN.md`, "Many proxies"). This also limits the number of
//! queues and status requests per group.
//!
//! Owners are chosen by weighted rendezvous hashing over the live proxies. Proxies whose lists
//! differ may choose different owners; this is harmless, as every proxy serves the statements that
//! are forwarded to it.

use std::{cmp::Ordering, net::SocketAddr};

use dandelionpitch_core::hash;

use crate::{share, slots::Mode};

/// Minimum connections of an owner to each server. With fewer, idle open transactions could block
/// all other statements.
const MIN_OWNER_CONNECTIONS: usize = 3;

/// All owners of a group share 1/n of a server's connections. The rest is reserved for new owners while
/// the server still counts the connections of owners that have failed: those of a VM that lost power
/// count for three seconds more.
const BUDGET_DIVISOR: usize = 2;

/// The connection limit per server of a proxy that does not own the group, used while it reaches the
/// servers but no owner, as in a network partition. Fits into the connections that owners leave free.
pub const NON_OWNER_CONNECTIONS: usize = 1;

/// CPU time of a forwarded statement, in core seconds: two messages read and written on each side.
const STATEMENT_CORE_SECONDS: f64 = 0.4e-3;

/// Network traffic of a forwarded statement: a 2 KB response received and sent.
const STATEMENT_BITS: f64 = 32_000.0;

/// The number of forwarded statements per second that a VM can serve. Used only as a relative weight.
pub fn capacity(cores: f64, link_mbps: f64) -> f64 {
    let processor = cores / STATEMENT_CORE_SECONDS;
    let link = link_mbps * 1e6 / STATEMENT_BITS;
    processor.min(link).max(1.0)
}

/// A live proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    pub id: String,
    pub dc: String,
    /// Where it accepts statements from other proxies.
    pub address: SocketAddr,
    /// Its weight in the choice of owners; see [`capacity`].
    pub capacity: f64,
}

/// The limits of each server of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub max_connections: u32,
    /// The number of statements that a server runs concurrently.
    pub slots: u32,
}

/// The limit on one proxy's connections to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// New statements start only while fewer than this many run.
    pub in_use: usize,
    /// At most this many are checked out, including those of transactions whose callers pause.
    pub held: usize,
    /// Includes idle connections, which are kept for other client accounts or for transactions.
    pub open: usize,
}

impl From<usize> for Share {
    /// Every open connection may be in use.
    fn from(limit: usize) -> Self {
        Self {
            in_use: limit,
            held: limit,
            open: limit,
        }
    }
}

/// Which proxies hold connections to a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allocation {
    /// Every proxy.
    All { members: usize },
    /// `per_dc` proxies in each of `dcs` data centres.
    Owners { per_dc: usize, dcs: usize },
}

impl Allocation {
    /// The allocation for `members` proxies in `dcs` data centres. If there are enough connections,
    /// every proxy has its own, which saves forwarding.
    pub fn new(members: usize, dcs: usize, limits: Limits) -> Self {
        if members * share::MIN_PER_PROXY * BUDGET_DIVISOR <= share::usable(limits.max_connections)
        {
            return Self::All { members };
        }
        let dcs = dcs.max(1);
        let owners = budget(limits) / MIN_OWNER_CONNECTIONS;
        let per_dc = owners.div_ceil(dcs).max(1);
        Self::Owners { per_dc, dcs }
    }

    /// The connection limit per server of a proxy that holds connections.
    pub fn connections(self, limits: Limits) -> usize {
        match self {
            Self::All { members } => {
                share::connections(limits.max_connections, limits.slots, members)
            }
            Self::Owners { per_dc, dcs } => {
                let useful = budget(limits).div_ceil(per_dc * dcs);
                let limit = share::usable(limits.max_connections) / (per_dc * dcs);
                useful.max(MIN_OWNER_CONNECTIONS).min(limit).max(1)
            }
        }
    }
}

impl Allocation {
    /// The limits per server of a proxy that holds connections.
    ///
    /// If each connection can run the statements of only one client account, unused connections stay
    /// open, as opening one occupies the server for longer than many statements. The connections of
    /// idle transactions do not occupy the server, so they may be as many.
    pub fn share(self, limits: Limits, has_accounts: bool, idle: Mode) -> Share {
        let in_use = self.connections(limits);
        let kept = share::usable(limits.max_connections) * KEPT_PERCENT / 100;
        let kept = (kept / self.holders()).max(in_use);
        let held = match idle {
            Mode::Counted => in_use,
            Mode::Separate => kept,
        };
        let open = match has_accounts {
            true => kept,
            false => held,
        };
        Share { in_use, held, open }
    }

    /// The number of proxies that hold connections.
    fn holders(self) -> usize {
        let holders = match self {
            Self::All { members } => members,
            Self::Owners { per_dc, dcs } => per_dc * dcs,
        };
        holders.max(1)
    }
}

/// The part of a server's connections that its owners keep open for different client accounts, or check
/// out for transactions whose callers pause. The rest is left for the reasons given at
/// [`BUDGET_DIVISOR`].
const KEPT_PERCENT: usize = 75;

/// The number of connections per server for all owners together.
fn budget(limits: Limits) -> usize {
    let useful = limits.slots as usize * share::PER_SLOT;
    useful.min(share::usable(limits.max_connections) / BUDGET_DIVISOR)
}

/// How a proxy serves the statements of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Run them on this proxy's own connections, or forward them to `others`, the other owners, while it
    /// cannot reach the servers.
    Run { others: Vec<String> },
    /// Forward them to the first of these proxies that accepts them. `local` are the owners in the
    /// proxy's data centre. `fallback` are the owners in other data centres, followed by the proxies
    /// of its own data centre that rank next after the owners.
    Forward {
        local: Vec<String>,
        fallback: Vec<String>,
    },
}

impl Plan {
    /// Whether the proxy runs the statements on its own connections.
    pub fn runs(&self) -> bool {
        matches!(self, Self::Run { .. })
    }
}

/// The number of proxies listed in addition to the owners, in case all owners fail at once.
const SPARE_PROXIES: usize = 2;

/// The plan of the proxy with the id `own` in `dc` for a group. A proxy that is not in `peers`, since it
/// is starting or stopping, owns no group unless `peers` is empty.
pub fn plan(peers: &[Peer], own: &str, dc: &str, service: &str, allocation: Allocation) -> Plan {
    let Allocation::Owners { per_dc, .. } = allocation else {
        return Plan::Run { others: Vec::new() };
    };
    if peers.is_empty() {
        return Plan::Run { others: Vec::new() };
    }
    let ranked = rank(peers, service);
    let mut local = Vec::new();
    let mut spare = Vec::new();
    let mut fallback: Vec<&Peer> = Vec::new();
    for peer in ranked {
        let of_its_dc = fallback.iter().filter(|other| other.dc == peer.dc).count();
        match peer.dc == dc {
            true if local.len() < per_dc => local.push(peer.id.clone()),
            true if spare.len() < SPARE_PROXIES => spare.push(peer.id.clone()),
            false if of_its_dc < per_dc => fallback.push(peer),
            _ => {}
        }
    }
    let mut fallback: Vec<String> = fallback.into_iter().map(|peer| peer.id.clone()).collect();
    if let Some(index) = local.iter().position(|id| id == own) {
        local.remove(index);
        local.extend(fallback);
        return Plan::Run { others: local };
    }
    fallback.extend(spare.into_iter().filter(|id| id != own));
    Plan::Forward { local, fallback }
}

/// The difference between two lists of proxies that are sorted by id.
#[derive(Clone, Debug, Default)]
pub struct Change<'a> {
    added: Vec<&'a Peer>,
    removed: Vec<&'a Peer>,
}

impl<'a> Change<'a> {
    /// The change from `before` to `now`. A proxy whose properties changed counts as removed and added.
    pub fn new(before: &'a [Peer], now: &'a [Peer]) -> Self {
        let among = |peers: &[Peer], peer: &Peer| find(peers, &peer.id) == Some(peer);
        Self {
            added: now.iter().filter(|peer| !among(before, peer)).collect(),
            removed: before.iter().filter(|peer| !among(now, peer)).collect(),
        }
    }
}

/// The proxy with this id in a list sorted by id.
pub fn find<'a>(peers: &'a [Peer], id: &str) -> Option<&'a Peer> {
    let index = peers.binary_search_by(|peer| peer.id.as_str().cmp(id));
    index.ok().map(|index| &peers[index])
}

/// The proxy and the group that a plan is for.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The proxy's id.
    pub own: &'a str,
    pub dc: &'a str,
    pub service: &'a str,
}

/// The plan after a change, given the previous plan `known` under the same `allocation`.
///
/// Proxies are ranked again only if the plan lists a removed proxy or would list an added one. Otherwise
/// the restart of one proxy would make every other proxy rank all proxies for all groups.
pub fn replan(
    known: &Plan,
    change: &Change<'_>,
    peers: &[Peer],
    query: Query<'_>,
    allocation: Allocation,
) -> Plan {
    let Query { own, dc, service } = query;
    let unaffected = match (known, allocation) {
        (Plan::Forward { local, fallback }, Allocation::Owners { per_dc, .. }) => {
            let listed = local.iter().chain(fallback);
            let listed: Vec<&str> = listed.map(String::as_str).collect();
            let was_listed = |peer: &&Peer| listed.contains(&peer.id.as_str());
            let would_join = |peer: &&Peer| {
                let limit = match peer.dc == dc {
                    true => per_dc + SPARE_PROXIES,
                    false => per_dc,
                };
                peer.id == own || would_be_listed(peer, &listed, peers, service, limit)
            };
            !change.removed.iter().any(was_listed) && !change.added.iter().any(would_join)
        }
        _ => false,
    };
    match unaffected {
        true => known.clone(),
        false => plan(peers, own, dc, service, allocation),
    }
}

/// Whether `peer` ranks among the first `limit` proxies of its data centre, given those in `listed`.
fn would_be_listed(
    peer: &Peer,
    listed: &[&str],
    peers: &[Peer],
    service: &str,
    limit: usize,
) -> bool {
    let same_dc = listed.iter().filter_map(|id| find(peers, id));
    let same_dc: Vec<&Peer> = same_dc.filter(|other| other.dc == peer.dc).collect();
    let own = score(peer, service);
    same_dc.len() < limit || same_dc.iter().any(|other| score(other, service) <= own)
}

/// A proxy's score for a group; the proxies with the highest scores are its owners.
fn score(peer: &Peer, service: &str) -> f64 {
    let share = hash::stable_fraction(&(service, &peer.id)).clamp(1e-9, 1.0 - 1e-9);
    -peer.capacity / share.ln()
}

/// All proxies by descending score, which is their order of preference as owners. With weighted
/// rendezvous hashing, an added or removed proxy moves only its own groups, and proxies own groups in
/// proportion to their capacity.
pub(crate) fn rank<'a>(peers: &'a [Peer], service: &str) -> Vec<&'a Peer> {
    let scored = peers.iter().map(|peer| (score(peer, service), peer));
    let mut scored: Vec<(f64, &Peer)> = scored.collect();
    scored.sort_by(|a, b| match b.0.total_cmp(&a.0) {
        Ordering::Equal => a.1.id.cmp(&b.1.id),
        unequal => unequal,
    });
    scored.into_iter().map(|(_, peer)| peer).collect()
}

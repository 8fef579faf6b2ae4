//! Which proxies hold the connections of a database group.
//!
//! Load pattern: many proxies before servers that take few connections. If each held its own, servers
//! would turn most of them away, most statements would find none, and each proxy would ask every
//! group for itself what its reads must see.
//! So a few proxies of each data centre own a group's connections, and the others hand their
//! statements to one of them (`docs/DESIGN.md`, "Many proxies"). The group's work then waits in few
//! queues, and the questions to its servers grow with its owners.
//!
//! Who owns is a matter of rendezvous hashing over the live proxies: those who know the same proxies
//! pick the same owners. Two that disagree for a moment hand to different ones, and any proxy serves
//! what it is handed.

use std::{cmp::Ordering, net::SocketAddr};

use dandelionpitch_core::hash;

use crate::share;

/// How many connections to each server an owner has at least: some are held by transactions through
/// their callers' pauses, and one of those must not stop all other statements.
const CONNECTIONS_EACH: usize = 3;

/// The part of a server's connections that owners use at most. The rest is room for connections of
/// owners that are gone: those of a VM that lost its power count for three seconds more.
const USED_PART: usize = 2;

/// How many connections to each server a proxy may open that owns none of its group's: for when it reaches
/// the servers but no owner.
///
/// Load pattern: some proxies are cut off from the others for seconds and still get their share
/// of the callers. One connection each fits into the room that owners leave.
pub const UNOWNED: usize = 1;

/// Processor time that one statement of another proxy takes, in seconds: two messages read and
/// written on each side.
const STATEMENT_CORE_SECONDS: f64 = 0.4e-3;

/// Bits that one statement of another proxy moves over the VM's link: an answer of 2 KB comes in and
/// goes out.
const STATEMENT_BITS: f64 = 32_000.0;

/// How many statements a second a VM can run for others; what is weighed is only one VM against
/// another.
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
    /// Where other proxies hand statements to it.
    pub address: SocketAddr,
    /// Its weight among others, as of [`capacity`].
    pub capacity: f64,
}

/// How many connections a group's servers take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    pub max_connections: u32,
    pub slots: u32,
}

/// Who holds the connections of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holding {
    /// Every proxy.
    Everyone { members: usize },
    /// So many proxies of each of so many data centres.
    Owners { per_dc: usize, dcs: usize },
}

impl Holding {
    /// Decides for `members` proxies in `dcs` data centres. Every proxy holds its own connections as
    /// long as there are enough for all: a statement then takes one hop less.
    pub fn new(members: usize, dcs: usize, room: Room) -> Self {
        if members * share::FEWEST * USED_PART <= share::usable(room.max_connections) {
            return Self::Everyone { members };
        }
        let dcs = dcs.max(1);
        let owners = budget(room) / CONNECTIONS_EACH;
        let per_dc = owners.div_ceil(dcs).max(1);
        Self::Owners { per_dc, dcs }
    }

    /// How many connections a proxy that holds some may open to a server.
    pub fn connections(self, room: Room) -> usize {
        match self {
            Self::Everyone { members } => {
                share::connections(room.max_connections, room.slots, members)
            }
            Self::Owners { per_dc, dcs } => {
                let useful = budget(room).div_ceil(per_dc * dcs);
                let most = share::usable(room.max_connections) / (per_dc * dcs);
                useful.max(CONNECTIONS_EACH).min(most).max(1)
            }
        }
    }
}

/// How many connections to one server all owners together use.
fn budget(room: Room) -> usize {
    let useful = room.slots as usize * share::PER_SLOT;
    useful.min(share::usable(room.max_connections) / USED_PART)
}

/// What one proxy does with statements for a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Run them on its own connections.
    Own,
    /// Hand them to one of these proxies, the first that takes them: those of its data centre, those of
    /// others, then those that are next in its own if all owners are gone.
    HandOver { near: Vec<String>, far: Vec<String> },
}

/// How many proxies that are no owners are named in case all owners are lost at once.
const SPARES: usize = 2;

/// The plan of the proxy `own` in `dc` for a group. One that is not among the proxies, as it has just
/// started or stops, owns nothing if there are others.
pub fn plan(peers: &[Peer], own: &str, dc: &str, service: &str, holding: Holding) -> Plan {
    let Holding::Owners { per_dc, .. } = holding else {
        return Plan::Own;
    };
    if peers.is_empty() {
        return Plan::Own;
    }
    let ranked = rank(peers, service);
    let mut near = Vec::new();
    let mut spare = Vec::new();
    let mut far: Vec<&Peer> = Vec::new();
    for peer in ranked {
        let of_its_dc = far.iter().filter(|other| other.dc == peer.dc).count();
        match peer.dc == dc {
            true if near.len() < per_dc => near.push(peer.id.clone()),
            true if spare.len() < SPARES => spare.push(peer.id.clone()),
            false if of_its_dc < per_dc => far.push(peer),
            _ => {}
        }
    }
    if near.iter().any(|id| id == own) {
        return Plan::Own;
    }
    let mut far: Vec<String> = far.into_iter().map(|peer| peer.id.clone()).collect();
    far.extend(spare.into_iter().filter(|id| id != own));
    Plan::HandOver { near, far }
}

/// Which proxies came and went between two lists, both in the order of their ids.
#[derive(Clone, Debug, Default)]
pub struct Change<'a> {
    come: Vec<&'a Peer>,
    gone: Vec<&'a Peer>,
}

impl<'a> Change<'a> {
    /// What changed from `before` to `now`; a proxy that says something else of itself went and came.
    pub fn new(before: &'a [Peer], now: &'a [Peer]) -> Self {
        let among = |peers: &[Peer], peer: &Peer| find(peers, &peer.id) == Some(peer);
        Self {
            come: now.iter().filter(|peer| !among(before, peer)).collect(),
            gone: before.iter().filter(|peer| !among(now, peer)).collect(),
        }
    }
}

fn find<'a>(peers: &'a [Peer], id: &str) -> Option<&'a Peer> {
    let index = peers.binary_search_by(|peer| peer.id.as_str().cmp(id));
    index.ok().map(|index| &peers[index])
}

/// Who asks for a plan, and of which group.
#[derive(Clone, Copy, Debug)]
pub struct Asker<'a> {
    pub own: &'a str,
    pub dc: &'a str,
    pub service: &'a str,
}

/// The plan after a change, from the one before under the same `holding`.
///
/// Load pattern: one proxy of thousands is restarted, and each of the others ranks all of them anew for
/// thousands of groups. Only a group that named the one that went, or would name the one that came, is
/// ranked again.
pub fn replan(
    known: &Plan,
    change: &Change<'_>,
    peers: &[Peer],
    asker: Asker<'_>,
    holding: Holding,
) -> Plan {
    let Asker { own, dc, service } = asker;
    let keeps = match (known, holding) {
        (Plan::HandOver { near, far }, Holding::Owners { per_dc, .. }) => {
            let named = near.iter().chain(far);
            let named: Vec<&str> = named.map(String::as_str).collect();
            let lost = |peer: &&Peer| named.contains(&peer.id.as_str());
            let joins = |peer: &&Peer| {
                let most = match peer.dc == dc {
                    true => per_dc + SPARES,
                    false => per_dc,
                };
                peer.id == own || would_be_named(peer, &named, peers, service, most)
            };
            !change.gone.iter().any(lost) && !change.come.iter().any(joins)
        }
        _ => false,
    };
    match keeps {
        true => known.clone(),
        false => plan(peers, own, dc, service, holding),
    }
}

/// Whether `peer` ranks among the first `most` of its data centre, of whom `named` holds those so far.
fn would_be_named(peer: &Peer, named: &[&str], peers: &[Peer], service: &str, most: usize) -> bool {
    let same_dc = named.iter().filter_map(|id| find(peers, id));
    let same_dc: Vec<&Peer> = same_dc.filter(|other| other.dc == peer.dc).collect();
    let own = score(peer, service);
    same_dc.len() < most || same_dc.iter().any(|other| score(other, service) <= own)
}

/// A proxy's rank for a group: higher is earlier.
fn score(peer: &Peer, service: &str) -> f64 {
    let share = hash::stable_fraction(&(service, &peer.id)).clamp(1e-9, 1.0 - 1e-9);
    -peer.capacity / share.ln()
}

/// All proxies, the group's first owner first: by weighted rendezvous hashing, so that a proxy that
/// comes or goes moves only its own groups, and each owns in proportion to its capacity.
fn rank<'a>(peers: &'a [Peer], service: &str) -> Vec<&'a Peer> {
    let scored = peers.iter().map(|peer| (score(peer, service), peer));
    let mut scored: Vec<(f64, &Peer)> = scored.collect();
    scored.sort_by(|a, b| match b.0.total_cmp(&a.0) {
        Ordering::Equal => a.1.id.cmp(&b.1.id),
        unequal => unequal,
    });
    scored.into_iter().map(|(_, peer)| peer).collect()
}

//! How many connections one proxy may keep to one server.

use std::time::Duration;

use dandelionpitch_core::hash::Map;

use crate::{ownership::Peer, registry::RETURN_LIMIT, time::Moment};

/// Connections of a server that stay free for proxies that come while old ones still count, and
/// for the questions of the failover role.
const RESERVE: u32 = 3;

/// How long a proxy that was seen still counts: its lease may have lapsed because it is cut off from
/// the store while it holds its connections to the servers.
///
/// Failure: two of seven proxies lose the store, the others share out their connections, and the
/// server refuses new ones to all. Guard: shares grow only after a cut-off VM is likely to
/// be back or gone.
const REMEMBERED: Duration = Duration::from_secs(20);

/// How long a proxy whose entry is gone is still asked to run statements: entries that lapse while the
/// store is away are back within this time.
const ASKED_AFTER: Duration = RETURN_LIMIT;

/// The proxies that share the servers' connections.
#[derive(Clone, Debug, Default)]
pub struct Members {
    seen: Map<String, Member>,
}

#[derive(Clone, Debug, Default)]
struct Member {
    /// How other proxies reach it, if it says so.
    peer: Option<Peer>,
    /// When it went missing.
    missing: Option<Moment>,
}

impl Members {
    /// Notes a proxy that is there.
    pub fn present(&mut self, name: &str, peer: Option<Peer>) {
        let missing = None;
        self.seen.insert(name.to_owned(), Member { peer, missing });
    }

    /// Notes a proxy that is not there any more.
    pub fn missing(&mut self, name: &str, now: Moment) {
        if let Some(member) = self.seen.get_mut(name) {
            member.missing.get_or_insert(now);
        }
    }

    /// Takes a complete list.
    pub fn replace(&mut self, present: impl Iterator<Item = (String, Option<Peer>)>, now: Moment) {
        for member in self.seen.values_mut() {
            member.missing.get_or_insert(now);
        }
        present.for_each(|(name, peer)| self.present(&name, peer));
    }

    /// How many share the connections; at least one.
    pub fn count(&mut self, now: Moment) -> usize {
        self.seen.retain(|_, member| member.lasts(REMEMBERED, now));
        self.seen.len().max(1)
    }

    /// Those that other proxies can hand statements to, in a fixed order.
    pub fn peers(&self, now: Moment) -> Vec<Peer> {
        let lasting = self.seen.values().filter(|m| m.lasts(ASKED_AFTER, now));
        let mut peers: Vec<Peer> = lasting.filter_map(|m| m.peer.clone()).collect();
        peers.sort_by(|a, b| a.id.cmp(&b.id));
        peers
    }
}

impl Member {
    /// Whether it is there, or has been missing for less than `limit`.
    fn lasts(&self, limit: Duration, now: Moment) -> bool {
        self.missing.is_none_or(|since| now.since(since) < limit)
    }
}

/// How many connections all proxies together keep for each slot of a server. A transaction holds one
/// through its caller's pauses, so one a slot is too few; each more lengthens the server's own queue,
/// where the order of arrival counts and not what is due first.
pub const PER_SLOT: usize = 3;

/// The fewest connections a proxy needs to a server: one that a transaction holds must not stop all
/// other statements.
pub const FEWEST: usize = 2;

/// This proxy's share of the connections to a server with `slots` slots that takes `max_connections`
/// from `members` live proxies together; at least one.
///
/// Load pattern: replicas fall behind, all reads go to the primary, and its queue grows to several
/// times its slots: every statement is late, and those of transactions several times over. With
/// fewer connections the work waits in the proxies, by priority and due time, and what would be
/// late is refused on arrival. Mean score of days with replicas 3 s behind (docs/TRIALS.md, four runs
/// each), all connections shared out against half of them: 0.833 to 0.892 and 0.920 to 0.998.
pub fn connections(max_connections: u32, slots: u32, members: usize) -> usize {
    let members = members.max(1);
    let usable = usable(max_connections);
    let useful = (slots as usize * PER_SLOT).div_ceil(members).max(FEWEST);
    (usable / members).min(useful).max(1)
}

/// How many of a server's connections the proxies share out.
pub fn usable(max_connections: u32) -> usize {
    max_connections.saturating_sub(RESERVE) as usize
}

//! The proxies that are there, as their entries in the store say.

use std::time::Duration;

use dandelionpitch_core::hash::Map;

use crate::{ownership::Peer, registry::RETURN_LIMIT, time::Moment};

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
    pub fn mark_present(&mut self, name: &str, peer: Option<Peer>) {
        let missing = None;
        self.seen.insert(name.to_owned(), Member { peer, missing });
    }

    /// Notes a proxy that is not there any more.
    pub fn mark_missing(&mut self, name: &str, now: Moment) {
        if let Some(member) = self.seen.get_mut(name) {
            member.missing.get_or_insert(now);
        }
    }

    /// Takes a complete list.
    pub fn replace(&mut self, present: impl Iterator<Item = (String, Option<Peer>)>, now: Moment) {
        for member in self.seen.values_mut() {
            member.missing.get_or_insert(now);
        }
        present.for_each(|(name, peer)| self.mark_present(&name, peer));
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

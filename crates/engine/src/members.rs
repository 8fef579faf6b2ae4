//! The live proxies, according to their entries in the store.

use std::{sync::Arc, time::Duration};

use dandelionpitch_core::hash::Map;

use crate::{ownership::Peer, registry::MISSING_TIMEOUT, time::Moment};

/// How long a proxy whose entry expired still counts for the division of connections.
///
/// A proxy that loses the store keeps its connections, so the servers would reach their limits if
/// others claimed its share at once. Long enough for a partitioned VM to return or terminate.
const COUNT_RETENTION: Duration = Duration::from_secs(20);

/// How long a proxy whose entry expired still counts as one that issues quota permits: one that has lost
/// the store goes on issuing them. Longer than outages of the store or the network usually last.
const QUOTA_RETENTION: Duration = Duration::from_secs(600);

/// How long statements are still forwarded to a proxy whose entry expired. Entries that expire during an
/// outage of the store are restored within this time.
const FORWARDING_RETENTION: Duration = MISSING_TIMEOUT;

/// The proxies that share the servers' connections.
#[derive(Clone, Debug, Default)]
pub struct Members {
    seen: Map<String, Member>,
    /// The proxies to which statements can be forwarded, as of the last call of [`Self::peers`].
    peers: Arc<[Peer]>,
    /// From when on `peers` is outdated; `None` until the next change.
    outdated_at: Option<Moment>,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Member {
    /// Where other proxies reach it, if its entry has an address.
    peer: Option<Peer>,
    /// When its entry was found missing; `None` while it is present.
    missing_since: Option<Moment>,
}

impl Members {
    /// Records that a proxy has an entry.
    pub fn mark_present(&mut self, name: &str, peer: Option<Peer>) {
        let member = Member {
            peer,
            missing_since: None,
        };
        if self.seen.get(name) != Some(&member) {
            self.seen.insert(name.to_owned(), member);
            self.outdated_at = Some(Moment::default());
        }
    }

    /// Records that a proxy's entry was removed.
    pub fn mark_missing(&mut self, name: &str, now: Moment) {
        if let Some(member) = self.seen.get_mut(name) {
            member.missing_since.get_or_insert(now);
            self.outdated_at = Some(Moment::default());
        }
    }

    /// Replaces the list: proxies that are not in `present` are marked as missing.
    pub fn replace(&mut self, present: impl Iterator<Item = (String, Option<Peer>)>, now: Moment) {
        for member in self.seen.values_mut() {
            member.missing_since.get_or_insert(now);
        }
        self.outdated_at = Some(Moment::default());
        present.for_each(|(name, peer)| self.mark_present(&name, peer));
    }

    /// The number of proxies that share the connections; at least one.
    pub fn count(&mut self, now: Moment) -> usize {
        self.seen
            .retain(|_, member| member.is_retained(QUOTA_RETENTION, now));
        let counted = self
            .seen
            .values()
            .filter(|m| m.is_retained(COUNT_RETENTION, now));
        counted.count().max(1)
    }

    /// The number of proxies that may issue quota permits; at least one.
    pub fn quota_count(&self, now: Moment) -> usize {
        let members = self.seen.values();
        let issuing = members.filter(|m| m.is_retained(QUOTA_RETENTION, now));
        issuing.count().max(1)
    }

    /// The proxies to which statements can be forwarded, sorted by id. The list is the same
    /// allocation as before if they have not changed.
    pub fn peers(&mut self, now: Moment) -> Arc<[Peer]> {
        if self.outdated_at.is_some_and(|at| at <= now) {
            self.update_peers(now);
        }
        self.peers.clone()
    }

    fn update_peers(&mut self, now: Moment) {
        let retained = self
            .seen
            .values()
            .filter(|m| m.is_retained(FORWARDING_RETENTION, now));
        let mut peers: Vec<Peer> = retained.filter_map(|m| m.peer.clone()).collect();
        peers.sort_by(|a, b| a.id.cmp(&b.id));
        if *self.peers != *peers {
            self.peers = peers.into();
        }
        let missing = self.seen.values().filter_map(|m| m.missing_since);
        let expiries = missing.map(|since| since + FORWARDING_RETENTION);
        self.outdated_at = expiries.filter(|expiry| *expiry > now).min();
    }
}

impl Member {
    /// Whether it is present, or has been missing for less than `limit`.
    fn is_retained(&self, limit: Duration, now: Moment) -> bool {
        self.missing_since
            .is_none_or(|since| now.since(since) < limit)
    }
}

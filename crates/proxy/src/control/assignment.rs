//! Assigns groups to watchers: proxies that poll the group's servers and replace a failed primary.
//!
//! Each group has only a few watchers, as the load would otherwise grow with proxies times servers
//! (`docs/CAPACITY.md`). With rendezvous hashing, proxies with the same member list choose the same
//! watchers, and a proxy that joins or leaves affects only the groups that it watches.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use dandelionpitch_core::hash::{Map, Set};

use super::{backoff, heartbeat};

/// One watcher remains if one has failed and another is partitioned.
pub const WATCHERS_PER_GROUP: usize = 3;

/// How long a proxy that is missing from a full list still counts. Long enough for every live proxy
/// to renew its lease, including a failed renewal and its retry.
pub const MISSING_TIMEOUT: Duration =
    Duration::from_secs(2 * heartbeat::RENEW_INTERVAL.as_secs() + 2);

/// One live proxy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    pub dc: String,
    pub id: String,
}

/// A proxy with its precomputed hash: each change of the roster ranks every proxy for every group.
#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    seed: u64,
}

/// The live proxies, by data centre.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    dcs: Map<String, Vec<Entry>>,
    count: usize,
    /// Proxies missing from the last full list, with the time until which they still count.
    missing: Map<Member, Instant>,
}

impl Roster {
    /// The number of proxies, including missing ones that still count.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there are no proxies.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Applies a complete list read at `now`. Proxies missing from it still count for
    /// [`MISSING_TIMEOUT`]: the first list after a KV outage that outlasts the leases has only the
    /// proxies that have renewed since, and those few would otherwise watch every group. Only a
    /// lease that expires while the KV is available removes a proxy sooner.
    pub fn replace(&mut self, members: Vec<Member>, now: Instant) {
        let listed: Set<&Member> = members.iter().collect();
        let known = self.dcs.values().flatten().map(|entry| &entry.member);
        let absent = known.filter(|known| !listed.contains(known)).cloned();
        let absent: Vec<Member> = absent.collect();
        for member in absent {
            self.missing.entry(member).or_insert(now + MISSING_TIMEOUT);
        }
        members.into_iter().for_each(|member| self.add(member));
    }

    /// Removes the proxies whose missing timeout has passed; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let gone = self.missing.iter().filter(|(_, until)| now >= **until);
        let gone: Vec<Member> = gone.map(|(member, _)| member.clone()).collect();
        gone.iter().for_each(|member| self.remove(member));
        !gone.is_empty()
    }

    /// Adds a proxy. If it is already present, only clears its missing timeout.
    pub fn add(&mut self, member: Member) {
        self.missing.remove(&member);
        let dc = self.dcs.entry(member.dc.clone()).or_default();
        if dc.iter().all(|entry| entry.member != member) {
            let seed = backoff::stable_hash(&member);
            dc.push(Entry { member, seed });
            self.count += 1;
        }
    }

    /// Removes a proxy, if present.
    pub fn remove(&mut self, member: &Member) {
        self.missing.remove(member);
        if let Some(dc) = self.dcs.get_mut(&member.dc) {
            let before = dc.len();
            dc.retain(|entry| entry.member != *member);
            self.count -= before - dc.len();
        }
    }

    /// The watchers of `group`: first the highest ranked proxy of each data centre, so that the
    /// loss of a data centre leaves watchers in others, then the second ranked ones, and so on.
    pub fn watchers(&self, group: &str) -> Vec<&Member> {
        let seed = backoff::stable_hash(&group);
        let best = self.dcs.values().map(|dc| top_ranked(dc, seed));
        let mut ranked: Vec<(usize, Reverse<u64>, &Member)> = best
            .flat_map(|best| best.into_iter().enumerate())
            .map(|(round, (weight, entry))| (round, Reverse(weight), &entry.member))
            .collect();
        ranked.sort_by_key(|(round, weight, _)| (*round, *weight));
        ranked.truncate(WATCHERS_PER_GROUP);
        ranked.into_iter().map(|(.., member)| member).collect()
    }
}

impl FromIterator<Member> for Roster {
    fn from_iter<I: IntoIterator<Item = Member>>(members: I) -> Self {
        let mut roster = Self::default();
        members.into_iter().for_each(|member| roster.add(member));
        roster
    }
}

/// The proxies of one data centre with the highest weights, at most [`WATCHERS_PER_GROUP`].
fn top_ranked(dc: &[Entry], seed: u64) -> Vec<(u64, &Entry)> {
    let mut best: Vec<(u64, &Entry)> = Vec::with_capacity(WATCHERS_PER_GROUP + 1);
    for entry in dc {
        let weight = backoff::stable_hash(&(seed, entry.seed));
        if best.len() == WATCHERS_PER_GROUP && best[WATCHERS_PER_GROUP - 1].0 >= weight {
            continue;
        }
        let index = best.partition_point(|(higher, _)| *higher >= weight);
        best.insert(index, (weight, entry));
        best.truncate(WATCHERS_PER_GROUP);
    }
    best
}

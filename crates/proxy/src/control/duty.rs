//! Which proxies watch which group: read its servers' status and replace its primary.
//!
//! If every proxy read every server's status, the cost would grow with proxies times servers
//! (`docs/CAPACITY.md`). So each group has a few watchers, picked by rendezvous hashing over
//! the live proxies: everyone who knows the same proxies picks the same ones, and a proxy
//! that comes or goes moves only its own groups.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use dandelionpitch_core::hash::{Map, Set};

use super::{backoff, heartbeat};

/// How many proxies watch each group; with one dead and one cut off, one is left.
pub const WATCHERS: usize = 3;

/// How long a proxy that a list lacks still counts: by then every live one has renewed its lease,
/// and a failed try and its repetition fit in.
pub const RETURN_LIMIT: Duration = Duration::from_secs(2 * heartbeat::EVERY.as_secs() + 2);

/// One live proxy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    pub dc: String,
    pub id: String,
}

/// A proxy with its part of the hash, computed once: a change of the roster ranks every proxy
/// for every group again.
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
    /// Proxies that the last list lacked, and until when they count all the same.
    missing: Map<Member, Instant>,
}

impl Roster {
    /// How many proxies there are.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there is no proxy.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Takes a complete list, as read at `now`. Proxies that it lacks go on counting for
    /// [`RETURN_LIMIT`].
    ///
    /// Failure: the KV was away for longer than its leases last; the first list after its return
    /// holds the proxies that have renewed by then, and those few would watch every group. Guard:
    /// only a lease that runs out while the KV answers, or a list much later, removes a proxy.
    pub fn replace(&mut self, members: Vec<Member>, now: Instant) {
        let listed: Set<&Member> = members.iter().collect();
        let known = self.dcs.values().flatten().map(|entry| &entry.member);
        let lacked = known.filter(|known| !listed.contains(known)).cloned();
        let lacked: Vec<Member> = lacked.collect();
        for member in lacked {
            self.missing.entry(member).or_insert(now + RETURN_LIMIT);
        }
        members.into_iter().for_each(|member| self.add(member));
    }

    /// Drops the proxies that stayed missing; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let gone = self.missing.iter().filter(|(_, until)| now >= **until);
        let gone: Vec<Member> = gone.map(|(member, _)| member.clone()).collect();
        gone.iter().for_each(|member| self.remove(member));
        !gone.is_empty()
    }

    /// Adds a proxy; one that is there already changes nothing.
    pub fn add(&mut self, member: Member) {
        self.missing.remove(&member);
        let dc = self.dcs.entry(member.dc.clone()).or_default();
        if dc.iter().all(|entry| entry.member != member) {
            let seed = backoff::stable_hash(&member);
            dc.push(Entry { member, seed });
            self.count += 1;
        }
    }

    /// Removes a proxy; one that is not there changes nothing.
    pub fn remove(&mut self, member: &Member) {
        self.missing.remove(member);
        if let Some(dc) = self.dcs.get_mut(&member.dc) {
            let before = dc.len();
            dc.retain(|entry| entry.member != *member);
            self.count -= before - dc.len();
        }
    }

    /// The watchers of `group`: first the best of each data centre, so that the loss of one
    /// leaves the others, then the second best, and so on.
    pub fn watchers(&self, group: &str) -> Vec<&Member> {
        let seed = backoff::stable_hash(&group);
        let best = self.dcs.values().map(|dc| best(dc, seed));
        let mut ranked: Vec<(usize, Reverse<u64>, &Member)> = best
            .flat_map(|best| best.into_iter().enumerate())
            .map(|(round, (weight, entry))| (round, Reverse(weight), &entry.member))
            .collect();
        ranked.sort_by_key(|(round, weight, _)| (*round, *weight));
        ranked.truncate(WATCHERS);
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

/// The highest weighted proxies of one data centre, at most as many as there are watchers.
fn best(dc: &[Entry], seed: u64) -> Vec<(u64, &Entry)> {
    let mut best: Vec<(u64, &Entry)> = Vec::with_capacity(WATCHERS + 1);
    for entry in dc {
        let weight = backoff::stable_hash(&(seed, entry.seed));
        if best.len() == WATCHERS && best[WATCHERS - 1].0 >= weight {
            continue;
        }
        let place = best.partition_point(|(higher, _)| *higher >= weight);
        best.insert(place, (weight, entry));
        best.truncate(WATCHERS);
    }
    best
}

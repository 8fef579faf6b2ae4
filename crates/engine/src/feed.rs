//! From whom a proxy hears what changed in the store, and how old what it heard may be.
//!
//! Load pattern: hundreds of proxies that watch the store pay for each change once each, and those that
//! the store turns away go by an old list. So a few proxies of each data centre watch
//! it, the feeders, and the others hear from them, or from those of other data centres, before
//! they ask the store themselves (`docs/DESIGN.md`, "Changes of the store"). What only the store may
//! decide, such as claims, conditions and leases, stays a call to the store.

use std::{cmp::Reverse, time::Duration};

use dandelionpitch_core::hash::{self, Map};

use crate::{ownership::Peer, time::Moment};

/// How many proxies of a data centre watch the store: one more than may be lost without a pause.
const FEEDERS: usize = 2;

/// How many feeders of other data centres are asked before the store is.
const OUTSIDE: usize = 2;

/// How long a feeder's or a follower's question waits for changes. Twice the first and once the
/// second must fit into the time for which a list of servers is gone by ([`LIST_HOLDS`]).
///
/// [`LIST_HOLDS`]: crate::roster::LIST_HOLDS
pub const WAIT: Duration = Duration::from_millis(1_500);

/// How old a proxy's knowledge may be for it to feed others: a feeder's between two answers, with the
/// time after which a silent store counts as lost.
pub const FRESH_ENOUGH: Duration = Duration::from_millis(4_000);

/// How long another proxy that failed is not asked again, if there is another source.
const PEER_REST: Duration = Duration::from_millis(1_000);

/// The same for the store, in a proxy that is to watch it. One that is not leaves it alone for longer: the
/// feeders find out that it is back, and hundreds of calls would greet it.
const STORE_REST: Duration = Duration::from_millis(1_000);
const STORE_REST_OF_FOLLOWERS: Duration = Duration::from_millis(4_000);

/// Who tells of changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    Store,
    /// The proxy of this id.
    Peer(String),
}

/// The feeders of the data centre `dc`, first the strongest VMs: each change goes out from them as
/// often as they have followers.
pub fn feeders<'a>(peers: &'a [Peer], dc: &str) -> Vec<&'a Peer> {
    let mut near: Vec<&Peer> = peers.iter().filter(|peer| peer.dc == dc).collect();
    near.sort_by_cached_key(|peer| (Reverse(peer.capacity as u64), hash::stable_hash(&peer.id)));
    near.truncate(FEEDERS);
    near
}

/// Where one proxy stands among those that feed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// Whether it watches the store itself.
    pub feeds: bool,
    /// Whom it asks, best first; the store is among them.
    pub sources: Vec<Source>,
}

impl Place {
    /// The place of the proxy `own` of `dc` among `peers`. A proxy that does not find itself there yet
    /// feeds only where there are too few feeders without it.
    pub fn new(peers: &[Peer], own: &str, dc: &str) -> Self {
        let near = feeders(peers, dc);
        let feeds = near.len() < FEEDERS || near.iter().any(|peer| peer.id == own);
        let others = near.into_iter().filter(|peer| peer.id != own);
        let mut sources = ordered(others.collect(), own);
        sources.extend(outside(peers, own, dc));
        match feeds {
            true => sources.insert(0, Source::Store),
            false => sources.push(Source::Store),
        }
        Self { feeds, sources }
    }
}

/// Some feeders of other data centres, others for each proxy.
fn outside(peers: &[Peer], own: &str, dc: &str) -> Vec<Source> {
    let mut dcs: Vec<&str> = peers.iter().map(|peer| peer.dc.as_str()).collect();
    dcs.sort_unstable();
    dcs.dedup();
    let others = dcs.into_iter().filter(|other| *other != dc);
    let far = others.flat_map(|other| feeders(peers, other)).collect();
    let mut sources = ordered(far, own);
    sources.truncate(OUTSIDE);
    sources
}

/// Spreads the followers over their feeders.
fn ordered(mut peers: Vec<&Peer>, own: &str) -> Vec<Source> {
    peers.sort_by_cached_key(|peer| hash::stable_hash(&(own, &peer.id)));
    let sources = peers.into_iter().map(|peer| Source::Peer(peer.id.clone()));
    sources.collect()
}

/// Which sources failed when.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    failed: Map<Source, Moment>,
}

impl Failures {
    /// The source to ask now: the best of those that did not fail a moment ago, or the one whose rest
    /// is over first.
    pub fn choose(&self, place: &Place, now: Moment) -> Source {
        let mut sources = place.sources.iter();
        let ready = sources.find(|source| !self.rests(source, place, now));
        let rested = |source: &Source| Some(*self.failed.get(source)? + place.rest(source));
        let first = || place.sources.iter().min_by_key(|source| rested(source));
        ready.or_else(first).cloned().unwrap_or(Source::Store)
    }

    /// Whether a source failed a moment ago and is better left alone.
    pub fn rests(&self, source: &Source, place: &Place, now: Moment) -> bool {
        let failed = self.failed.get(source);
        failed.is_some_and(|failed| now < *failed + place.rest(source))
    }

    /// Notes that a source failed.
    pub fn note(&mut self, source: &Source, now: Moment) {
        let recent = |failed: &Moment| now.since(*failed) < STORE_REST_OF_FOLLOWERS;
        self.failed.retain(|_, failed| recent(failed));
        self.failed.insert(source.clone(), now);
    }

    /// Notes that a source answered.
    pub fn forget(&mut self, source: &Source) {
        self.failed.remove(source);
    }
}

impl Place {
    fn rest(&self, source: &Source) -> Duration {
        match source {
            Source::Peer(_) => PEER_REST,
            Source::Store if self.feeds => STORE_REST,
            Source::Store => STORE_REST_OF_FOLLOWERS,
        }
    }
}

/// Up to when a follower that asked at `asked` has missed nothing, by an answer that was given after
/// `waited` by one who knew of everything up to `age` before that.
///
/// Failure: the feeder or the follower is suspended, or the answer is held up on its way, and a list
/// that is seconds old looks young. Guard: the answer was given `waited` after the question at the
/// earliest, and both lengths are by the one clock of the feeder, which counts suspensions.
pub fn known_until(asked: Moment, waited: Duration, age: Duration) -> Moment {
    asked + waited - age
}

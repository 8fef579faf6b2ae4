//! Relaying of store changes between proxies: which source a proxy follows, and how stale a source
//! may be.
//!
//! The store cannot serve a watch to each of hundreds of proxies. A few proxies of each data
//! centre, the relays, watch it; the others follow a relay and watch the store only if none answers
//! (`docs/DESIGN.md`, "Changes of the store"). Writes and leases always go to the store.

use std::{cmp::Reverse, time::Duration};

use dandelionpitch_core::hash::{self, Map};

use crate::{ownership::Peer, time::Moment};

/// Two, so that one relay may fail without interrupting its followers.
const RELAYS_PER_DC: usize = 2;

/// The number of relays in other data centres that are tried before the store.
const MAX_REMOTE_RELAYS: usize = 2;

/// The longest timeout of a long poll, by a relay at the store or by a follower at a relay. Two polls of the
/// relay and one of the follower must fit into the time for which a list of servers is used
/// ([`LIST_VALIDITY`]).
///
/// [`LIST_VALIDITY`]: crate::roster::LIST_VALIDITY
pub const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The maximum age of a copy that is served to followers, whatever the deadline of configurations.
pub const MAX_RELAY_AGE: Duration = Duration::from_millis(4_000);

/// The shortest timeout of a long poll, which bounds the load if the deadline is very short.
const MIN_POLL_TIMEOUT: Duration = Duration::from_millis(200);

/// Additional time for the response to a poll, after its timeout has elapsed at the store or at a relay.
pub const STORE_GRACE: Duration = Duration::from_millis(700);
pub const RELAY_GRACE: Duration = Duration::from_millis(500);

/// By how much the store's response to a poll may be late before a relay stops serving followers.
const STORE_DELAY: Duration = Duration::from_millis(500);

/// The time that a call to an available store may take.
const STORE_CALL: Duration = Duration::from_millis(300);

/// How the deadline of a configuration is divided among the proxies that pass it on
/// (`docs/DESIGN.md`, "Changes of the store").
///
/// A relay may be suspended, partitioned from the store, or follow a relay that follows it. So a follower
/// does not rely on it to notice: a copy is passed on only up to an age at which the follower can still ask
/// the store before the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The timeout of a long poll at the store.
    pub store_poll: Duration,
    /// The timeout of a long poll at a relay. Shorter, as it does not load the store.
    pub relay_poll: Duration,
    /// The age up to which a copy is served to followers. It is twice a poll at the store while that answers
    /// in time: a response proves nothing about the time after its request.
    pub max_relay_age: Duration,
    /// The age of its copy up to which a follower may try another relay before the store.
    max_follower_age: Duration,
}

impl Budget {
    /// The budget for a `deadline` within which configurations must be applied on every proxy that can reach
    /// the store.
    pub fn new(deadline: Duration) -> Self {
        let polls = deadline.saturating_sub(STORE_DELAY + RELAY_GRACE + STORE_CALL);
        let relay_poll = (polls / 5).clamp(MIN_POLL_TIMEOUT, POLL_TIMEOUT);
        let store_poll = (2 * relay_poll).min(POLL_TIMEOUT);
        Self {
            store_poll,
            relay_poll,
            max_relay_age: (2 * store_poll + STORE_DELAY).min(MAX_RELAY_AGE),
            max_follower_age: deadline.saturating_sub(RELAY_GRACE + STORE_CALL),
        }
    }
}

/// The minimum interval between polls of the store that return changes, so that one poll returns the
/// entries of many proxies that start at once; each entry ends the pending polls. The first change after an
/// idle period is not delayed.
const BATCH_INTERVAL: Duration = Duration::from_millis(500);

/// The same for a process that has just started: others may have started with it, and they wait for its
/// copy to have their entries.
const START_BATCH_INTERVAL: Duration = Duration::from_millis(100);
const START_PERIOD: Duration = Duration::from_secs(3);

/// The minimum interval between polls of the store that return changes, of a process that has been
/// `running` for this long.
pub fn batch_interval(running: Duration) -> Duration {
    match running < START_PERIOD {
        true => START_BATCH_INTERVAL,
        false => BATCH_INTERVAL,
    }
}

/// How long a proxy that failed is avoided as a source while there are others.
const PEER_BACKOFF: Duration = Duration::from_millis(1_000);

/// How long a relay avoids the store after a failure. Followers wait longer, so that they do not all
/// connect to a store that has just recovered.
const RELAY_STORE_BACKOFF: Duration = Duration::from_millis(1_000);
const FOLLOWER_STORE_BACKOFF: Duration = Duration::from_millis(4_000);

/// A source of changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    Store,
    /// The proxy with this id.
    Peer(String),
}

/// The relays of the data centre `dc`: the proxies on the VMs with the highest capacity, as a relay sends
/// each change to all its followers.
pub fn relays<'a>(peers: &'a [Peer], dc: &str) -> Vec<&'a Peer> {
    let mut local: Vec<&Peer> = peers.iter().filter(|peer| peer.dc == dc).collect();
    local.sort_by_cached_key(|peer| (Reverse(peer.capacity as u64), hash::stable_hash(&peer.id)));
    local.truncate(RELAYS_PER_DC);
    local
}

/// Whether a proxy is a relay, and the sources that it may follow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subscription {
    /// Whether it watches the store and serves followers.
    pub is_relay: bool,
    /// In order of preference, including the store.
    pub sources: Vec<Source>,
}

impl Subscription {
    /// The subscription of the proxy with the id `own` in `dc`. A proxy that is not in `peers` yet is a
    /// relay only if its data centre has none: while a whole deployment starts, every proxy sees few others
    /// and would watch the store.
    pub fn new(peers: &[Peer], own: &str, dc: &str) -> Self {
        let local = relays(peers, dc);
        let is_relay = local.is_empty() || local.iter().any(|peer| peer.id == own);
        let others = local.into_iter().filter(|peer| peer.id != own);
        let mut sources = order_by_hash(others.collect(), own);
        sources.extend(remote_relays(peers, own, dc));
        match is_relay {
            true => sources.insert(0, Source::Store),
            false => sources.push(Source::Store),
        }
        Self { is_relay, sources }
    }
}

/// A few relays of other data centres, chosen per proxy so that followers are spread over them.
fn remote_relays(peers: &[Peer], own: &str, dc: &str) -> Vec<Source> {
    let mut dcs: Vec<&str> = peers.iter().map(|peer| peer.dc.as_str()).collect();
    dcs.sort_unstable();
    dcs.dedup();
    let others = dcs.into_iter().filter(|other| *other != dc);
    let remote = others.flat_map(|other| relays(peers, other)).collect();
    let mut sources = order_by_hash(remote, own);
    sources.truncate(MAX_REMOTE_RELAYS);
    sources
}

/// What a proxy that starts does to get the store's content.
#[derive(Clone, Debug, PartialEq)]
pub enum Start {
    /// Copy it from the first of these relays that serves it.
    Copy(Vec<Peer>),
    /// List the store, as the others wait for this proxy's content: it was a relay before it restarted.
    List,
    /// Wait, look for relays again, and become one if there is still none in its data centre.
    Wait(Duration),
}

impl Start {
    /// The start of the proxy with the id `own` in `dc`, given the announced `relays`.
    ///
    /// When a whole deployment starts, no relay is announced, and hundreds of proxies that list the
    /// store together take longer than its calls may last: none of them would ever finish. So each
    /// waits for a different time, those with the highest capacity for the shortest.
    pub fn new(mut relays: Vec<Peer>, own: &str, dc: &str, capacity: f64) -> Self {
        if relays.iter().any(|peer| peer.id == own) {
            return Self::List;
        }
        let is_local = |peer: &Peer| peer.dc == dc;
        if !relays.iter().any(is_local) {
            let part = hash::stable_fraction(&own).max(MIN_START_DELAY_PART);
            let delay = START_DELAY_PER_CAPACITY.div_f64(capacity.max(1.0));
            return Self::Wait(delay.min(MAX_START_DELAY).mul_f64(part));
        }
        relays.sort_by_cached_key(|peer| (!is_local(peer), hash::stable_hash(&(own, &peer.id))));
        Self::Copy(relays)
    }
}

/// The longest delay of [`Start::Wait`] times the capacity. With it, a proxy of average capacity waits for
/// some hundred round trips to the store, within which one of a higher capacity announces itself.
const START_DELAY_PER_CAPACITY: Duration = Duration::from_secs(300);
const MAX_START_DELAY: Duration = Duration::from_millis(1_500);
const MIN_START_DELAY_PART: f64 = 0.1;

/// Orders the proxies differently for each follower, which spreads followers over relays.
fn order_by_hash(mut peers: Vec<&Peer>, own: &str) -> Vec<Source> {
    peers.sort_by_cached_key(|peer| hash::stable_hash(&(own, &peer.id)));
    let sources = peers.into_iter().map(|peer| Source::Peer(peer.id.clone()));
    sources.collect()
}

/// The most recent failure of each source.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    failed: Map<Source, Moment>,
}

impl Failures {
    /// The most preferred source that is not backing off, or the one whose backoff ends first.
    pub fn choose(&self, subscription: &Subscription, now: Moment) -> Source {
        let mut sources = subscription.sources.iter();
        let ready = sources.find(|source| !self.is_backing_off(source, subscription, now));
        let ready_at =
            |source: &Source| Some(*self.failed.get(source)? + subscription.backoff(source));
        let first = || subscription.sources.iter().min_by_key(|s| ready_at(s));
        ready.or_else(first).cloned().unwrap_or(Source::Store)
    }

    /// Whether a follower whose copy has all changes up to `synced_until` must ask the store now, as the
    /// deadline would pass if the next relay did not answer either.
    ///
    /// Not if the store has failed since: relays notice first that it is available again, and the calls of
    /// all followers would overload it.
    pub fn is_store_due(&self, budget: &Budget, synced_until: Moment, now: Moment) -> bool {
        let failed = self.failed.get(&Source::Store);
        let failed_since = failed.is_some_and(|failed| *failed > synced_until);
        now.since(synced_until) > budget.max_follower_age && !failed_since
    }

    /// Whether a source failed recently and should not be asked yet.
    pub fn is_backing_off(
        &self,
        source: &Source,
        subscription: &Subscription,
        now: Moment,
    ) -> bool {
        let failed = self.failed.get(source);
        failed.is_some_and(|failed| now < *failed + subscription.backoff(source))
    }

    /// Records a failure of a source.
    pub fn record(&mut self, source: &Source, now: Moment) {
        let recent = |failed: &Moment| now.since(*failed) < FOLLOWER_STORE_BACKOFF;
        self.failed
            .retain(|source, failed| *source == Source::Store || recent(failed));
        self.failed.insert(source.clone(), now);
    }

    /// Clears the failure of a source that answered.
    pub fn clear(&mut self, source: &Source) {
        self.failed.remove(source);
    }
}

impl Subscription {
    fn backoff(&self, source: &Source) -> Duration {
        match source {
            Source::Peer(_) => PEER_BACKOFF,
            Source::Store if self.is_relay => RELAY_STORE_BACKOFF,
            Source::Store => FOLLOWER_STORE_BACKOFF,
        }
    }
}

/// The time up to which a follower has all changes, once it has applied the response to a request
/// that it sent at `asked`. The relay responded `waited` after it received the request, and may
/// have missed changes of the last `age` before that.
///
/// This is a lower bound: the relay responded no earlier than `waited` after `asked`, and its
/// clock, which measures both durations, includes time in suspension.
pub fn synced_until(asked: Moment, waited: Duration, age: Duration) -> Moment {
    asked + waited - age
}

//! The other proxies, and to which of them the statements of each group are forwarded.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use dandelionpitch_core::hash::{Map, Set};
use dandelionpitch_engine::{
    forwarding::INABILITY_PERIOD,
    ownership::{Peer, Plan},
    registry::{Entry, Incarnation, Role, Server},
    time::Moment,
};
use dandelionpitch_platform::peer;

use crate::{
    line::{backend::Backend, clock},
    metrics::Metrics,
};

/// The limit of connections to each other proxy: more than the statements that an owner runs
/// concurrently for a group.
const MAX_CONNECTIONS: usize = 16;

/// The number of idle connections kept to each other proxy.
const MAX_IDLE_CONNECTIONS: usize = 1;

/// How long a proxy that has left the list is still asked for quota permits, and to lend its rights:
/// about as long as a graceful shutdown takes.
const MAX_STOP_TIME: Duration = Duration::from_secs(4);

/// The other proxies.
#[derive(Default)]
pub struct Peers {
    /// The live proxies except this one, by id.
    backends: RefCell<Map<String, Rc<Backend>>>,
    /// Proxies that have left the list, most of them to stop, and when. They have quota permits until the
    /// loans to them end.
    departed: RefCell<Map<String, (Moment, Rc<Backend>)>>,
    /// The forwarding plan of each group for which there was a statement.
    plans: RefCell<Map<String, Plan>>,
    /// The proxies that left a statement of a group to others, by group and id, and when.
    unable: RefCell<Map<(String, String), Moment>>,
    /// Incremented with each choice, to spread the load over equal proxies.
    rotation: Cell<usize>,
    /// When the reachability of the proxies was last checked.
    checked_at: Cell<Moment>,
}

/// The least time between two reachability checks after failures.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The number of proxies checked at a time.
const MAX_CHECKED: usize = 32;

impl Peers {
    /// Sets the forwarding plan of a group.
    pub fn set_plan(&self, name: &str, plan: &Plan) {
        let mut plans = self.plans.borrow_mut();
        if plans.get(name) != Some(plan) {
            plans.insert(name.to_owned(), plan.clone());
        }
    }

    /// Applies the live proxies. `own` is the id of this proxy.
    pub fn update(&self, peers: &[Peer], own: &str, metrics: &Metrics) {
        let mut backends = self.backends.borrow_mut();
        let live: Set<&str> = peers.iter().map(|peer| peer.id.as_str()).collect();
        let mut departed = self.departed.borrow_mut();
        backends.retain(|id, backend| {
            let is_live = live.contains(id.as_str());
            if !is_live {
                departed.insert(id.clone(), (clock::now(), backend.clone()));
            }
            is_live
        });
        for peer in peers.iter().filter(|peer| peer.id != own) {
            let same = |backend: &Rc<Backend>| backend.server.address == peer.address;
            if !backends.get(&peer.id).is_some_and(same) {
                backends.insert(peer.id.clone(), new_backend(peer, metrics));
            }
        }
    }

    /// Records that a proxy failed, and checks in the background whether the other owners can be
    /// reached. Otherwise statements would wait for each of them in turn in a network partition.
    /// The number of checks is limited, as all proxies would connect to each other when all
    /// restart.
    pub fn note_failure(&self, peer: &Rc<Backend>) {
        peer.mark_down();
        let now = clock::now();
        if now.since(self.checked_at.get()) < MIN_CHECK_INTERVAL {
            return;
        }
        self.checked_at.set(now);
        let backends = self.backends.borrow();
        let owners = self
            .target_ids()
            .into_iter()
            .filter_map(|id| backends.get(&id).cloned());
        owners
            .take(MAX_CHECKED)
            .for_each(|owner| owner.probe_in_background());
    }

    /// The ids of the proxies to which statements of any group are forwarded, without duplicates, local
    /// owners first.
    fn target_ids(&self) -> Vec<String> {
        let plans = self.plans.borrow();
        let forwarded = plans.values().filter_map(|plan| match plan {
            Plan::Run { .. } => None,
            Plan::Forward { local, fallback } => Some((local, fallback)),
        });
        let (local, fallback): (Vec<_>, Vec<_>) = forwarded.unzip();
        let mut seen = Set::default();
        let all = local.into_iter().chain(fallback).flatten();
        all.filter(|id| seen.insert(id.as_str())).cloned().collect()
    }

    /// Closes idle connections that a burst of statements has left behind. Those of hundreds of proxies
    /// would use up the file descriptors of an owner's VM.
    pub fn close_spare_connections(&self) {
        let backends = self.backends.borrow();
        backends
            .values()
            .for_each(|peer| peer.pool.shrink(MAX_IDLE_CONNECTIONS));
    }

    /// The other proxy with this id, also if it has just left the list.
    pub fn get(&self, id: &str) -> Option<Rc<Backend>> {
        let live = self.backends.borrow().get(id).cloned();
        let departed = || {
            let departed = self.departed.borrow();
            departed.get(id).map(|(_, backend)| backend.clone())
        };
        live.or_else(departed)
    }

    /// Closes the pools of the proxies that have left the list, once they have stopped.
    pub fn close_departed(&self) {
        let now = clock::now();
        self.departed.borrow_mut().retain(|_, (since, backend)| {
            let is_kept = now.since(*since) < MAX_STOP_TIME;
            if !is_kept {
                backend.pool.close();
            }
            is_kept
        });
    }

    /// The other proxies that are not known to be unreachable, including those that are stopping.
    pub fn reachable(&self) -> Vec<Rc<Backend>> {
        let backends = self.backends.borrow();
        let departed = self.departed.borrow();
        let stopping = departed
            .iter()
            .filter(|(id, _)| !backends.contains_key(*id));
        let stopping = stopping.map(|(_, (_, backend))| backend);
        let all = backends.values().chain(stopping);
        all.filter(|peer| !peer.is_down()).cloned().collect()
    }

    /// Whether this proxy runs the group's statements itself instead of forwarding them.
    pub fn owns(&self, name: &str) -> bool {
        !matches!(self.plans.borrow().get(name), Some(Plan::Forward { .. }))
    }

    /// Records that a proxy left a statement of the group to others.
    pub fn note_unable(&self, name: &str, peer: &Backend) {
        let now = clock::now();
        let mut unable = self.unable.borrow_mut();
        unable.retain(|_, since| now.since(*since) < INABILITY_PERIOD);
        unable.insert((name.to_owned(), peer.server.id().to_owned()), now);
    }

    /// Whether a proxy recently left a statement of the group to others.
    fn is_unable(&self, name: &str, peer: &Backend, now: Moment) -> bool {
        let unable = self.unable.borrow();
        if unable.is_empty() {
            return false;
        }
        let since = unable.get(&(name.to_owned(), peer.server.id().to_owned()));
        since.is_some_and(|since| now.since(*since) < INABILITY_PERIOD)
    }

    /// The other owners of a group that this proxy owns.
    pub fn other_owners(&self, name: &str) -> Vec<Rc<Backend>> {
        let plans = self.plans.borrow();
        let Some(Plan::Run { others }) = plans.get(name) else {
            return Vec::new();
        };
        self.in_order(name, others.iter())
    }

    /// Up to `limit` proxies of other data centres. Successive calls start at different ones.
    pub fn in_other_dcs(&self, dc: &str, limit: usize) -> Vec<Rc<Backend>> {
        let backends = self.backends.borrow();
        let mut remote: Vec<_> = backends.values().filter(|p| p.server.dc != dc).collect();
        let rotation = self.rotation.get();
        self.rotation.set(rotation.wrapping_add(1));
        remote.sort_unstable_by_key(|peer| peer.server.address);
        let count = remote.len().max(1);
        remote.rotate_left(rotation % count);
        remote.into_iter().take(limit).cloned().collect()
    }

    /// The proxies to which a statement of the group is forwarded, in order of preference; `None`
    /// if this proxy runs it. Successive calls start with different owners of this data centre.
    pub fn forwarding_targets(&self, name: &str) -> Option<Vec<Rc<Backend>>> {
        let plans = self.plans.borrow();
        let Some(Plan::Forward { local, fallback }) = plans.get(name) else {
            return None;
        };
        let rotation = self.rotation.get();
        self.rotation.set(rotation.wrapping_add(1));
        let mut ids: Vec<&String> = local.iter().collect();
        let count = ids.len().max(1);
        ids.rotate_left(rotation % count);
        ids.extend(fallback);
        Some(self.in_order(name, ids.into_iter()))
    }

    /// The proxies with these ids. Those that failed or left a statement of the group to others recently come
    /// last, and unreachable ones are left out unless all are unreachable.
    fn in_order<'a>(&self, name: &str, ids: impl Iterator<Item = &'a String>) -> Vec<Rc<Backend>> {
        let backends = self.backends.borrow();
        let mut peers: Vec<Rc<Backend>> = ids.filter_map(|id| backends.get(id).cloned()).collect();
        let now = clock::now();
        if peers.iter().any(|peer| !peer.is_down()) {
            peers.retain(|peer| !peer.is_down());
        }
        peers.sort_by_key(|peer| (peer.is_avoided(now), self.is_unable(name, peer, now)));
        peers
    }
}

/// Represents another proxy as a backend server, so that it gets a connection pool.
fn new_backend(peer: &Peer, metrics: &Metrics) -> Rc<Backend> {
    let server = Server {
        incarnation: Incarnation::from(peer.id.as_str()),
        service: peer::SERVICE.to_owned(),
        address: peer.address,
        dc: peer.dc.clone(),
        slots: u32::MAX,
        role: Role::Replica,
        leaving: false,
    };
    let entry = Entry {
        server: Arc::new(server),
        missing_since: None,
        leaving_since: None,
        leaving_seen: None,
    };
    Backend::peer(&entry, MAX_CONNECTIONS, metrics.clone())
}

//! The other proxies as traffic sees them, and to which of them the statements of each group go.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use dandelionpitch_core::hash::{Map, Set};
use dandelionpitch_engine::{
    ownership::{Peer, Plan},
    registry::{Entry, Incarnation, Role, Server},
    time::Moment,
};
use dandelionpitch_platform::peer;

use crate::{
    line::{backend::Backend, clock, view::View},
    metrics::Metrics,
};

/// The most connections to one other proxy: more statements than it runs at once for one group. Hundreds of
/// proxies may have this many to the same owner.
const MOST_LINKS: usize = 16;

/// How many connections to one other proxy are kept that nobody uses.
const SPARE_LINKS: usize = 1;

/// The other proxies.
#[derive(Default)]
pub struct Peers {
    known: RefCell<Map<String, Rc<Backend>>>,
    plans: RefCell<Map<String, Plan>>,
    turn: Cell<usize>,
    /// When all were last checked.
    checked: Cell<Moment>,
}

/// The least time between two checks of all proxies that statements go to.
const CHECK_EVERY: Duration = Duration::from_secs(1);

/// The most that are checked at once.
const MOST_CHECKED: usize = 32;

impl Peers {
    /// Takes the live proxies, and who owns which group, as they now are.
    pub fn update(&self, view: &View, own: &str, metrics: &Metrics) {
        let plans = view.ownership.iter();
        let plans = plans.map(|(name, ownership)| (name.clone(), ownership.plan.clone()));
        *self.plans.borrow_mut() = plans.collect();
        let peers = &view.peers;
        let mut known = self.known.borrow_mut();
        let live: Set<&str> = peers.iter().map(|peer| peer.id.as_str()).collect();
        known.retain(|id, backend| {
            let lives = live.contains(id.as_str());
            if !lives {
                backend.pool.close();
            }
            lives
        });
        for peer in peers.iter().filter(|peer| peer.id != own) {
            let same = |known: &Rc<Backend>| known.server.address == peer.address;
            if !known.get(&peer.id).is_some_and(same) {
                known.insert(peer.id.clone(), backend(peer, metrics));
            }
        }
    }

    /// Notes that a proxy failed, and finds out about all others that statements go to.
    ///
    /// Load pattern: a cut takes half of all owners away at once. Guard: the first statement that meets it
    /// is enough, the others need not wait for each owner in turn. Of hundreds only some are checked,
    /// or a restart of all proxies would have each of them call on all others.
    pub fn note_failure(&self, peer: &Rc<Backend>) {
        peer.lose();
        let now = clock::now();
        if now.since(self.checked.get()) < CHECK_EVERY {
            return;
        }
        self.checked.set(now);
        let known = self.known.borrow();
        let owners = self
            .named()
            .into_iter()
            .filter_map(|id| known.get(&id).cloned());
        owners.take(MOST_CHECKED).for_each(|owner| owner.check());
    }

    /// The proxies that statements go to, those of the own data centre first, each once.
    fn named(&self) -> Vec<String> {
        let plans = self.plans.borrow();
        let handed = plans.values().filter_map(|plan| match plan {
            Plan::Run => None,
            Plan::Forward { local, fallback } => Some((local, fallback)),
        });
        let (local, fallback): (Vec<_>, Vec<_>) = handed.unzip();
        let mut seen = Set::default();
        let all = local.into_iter().chain(fallback).flatten();
        all.filter(|id| seen.insert(id.as_str())).cloned().collect()
    }

    /// Closes connections that were opened when much was under way and are not needed any more.
    ///
    /// Load pattern: after a restart of everything hundreds of proxies have many statements for one owner at
    /// once. Kept for good, their connections take the descriptors of the owner's VM.
    pub fn close_spare_connections(&self) {
        let known = self.known.borrow();
        known
            .values()
            .for_each(|peer| peer.pool.shrink(SPARE_LINKS));
    }

    /// Whether this proxy runs the group's statements itself.
    pub fn owns(&self, name: &str) -> bool {
        !matches!(self.plans.borrow().get(name), Some(Plan::Forward { .. }))
    }

    /// Some proxies of other data centres, others each time.
    pub fn in_other_dcs(&self, dc: &str, most: usize) -> Vec<Rc<Backend>> {
        let known = self.known.borrow();
        let mut outside: Vec<_> = known.values().filter(|p| p.server.dc != dc).collect();
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        outside.sort_unstable_by_key(|peer| peer.server.address);
        let count = outside.len().max(1);
        outside.rotate_left(turn % count);
        outside.into_iter().take(most).cloned().collect()
    }

    /// The proxies that a statement of the group goes to, best first; `None` if it is run here. Near ones
    /// take turns; those that failed a moment ago come last, those that are lost only if all are.
    pub fn forwarding_targets(&self, name: &str) -> Option<Vec<Rc<Backend>>> {
        let plans = self.plans.borrow();
        let Some(Plan::Forward { local, fallback }) = plans.get(name) else {
            return None;
        };
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        let mut ids: Vec<&String> = local.iter().collect();
        let count = ids.len().max(1);
        ids.rotate_left(turn % count);
        ids.extend(fallback);
        let known = self.known.borrow();
        let mut peers: Vec<Rc<Backend>> = ids
            .iter()
            .filter_map(|id| known.get(*id).cloned())
            .collect();
        let now = clock::now();
        if peers.iter().any(|peer| !peer.is_lost()) {
            peers.retain(|peer| !peer.is_lost());
        }
        peers.sort_by_key(|peer| peer.avoided(now));
        Some(peers)
    }
}

/// Another proxy, spoken to as a backend server is.
fn backend(peer: &Peer, metrics: &Metrics) -> Rc<Backend> {
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
    };
    Backend::peer(&entry, MOST_LINKS, metrics.clone())
}

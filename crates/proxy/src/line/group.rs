//! One database group as traffic sees it: its servers, who leads, and what a read must see.
//!
//! Everything here is asked for when a statement needs it, so a group without traffic costs
//! nothing. The rules are those of [`freshness`]; this module asks the questions.

mod durability;
mod freshness;
mod search;
mod single_flight;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use dandelionpitch_engine::{
    catalog::Service,
    freshness::{Lease, Watermark, Watermarks},
    ownership::{self, Allocation, Limits},
    placement,
    registry::{Entry, Incarnation, Role},
    time::Moment,
};
use serde_json::json;

use self::single_flight::SingleFlight;

use crate::{
    line::{backend::Backend, journal, reachability::FailureSignal, records::Reader},
    metrics::Metrics,
};

/// The server that leads, as far as this proxy knows.
#[derive(Clone)]
pub struct Leader {
    pub backend: Rc<Backend>,
    pub term: u64,
}

/// A database group.
pub struct Group {
    pub name: String,
    dc: String,
    failure_signal: FailureSignal,
    pub metrics: Metrics,
    servers: RefCell<Vec<Rc<Backend>>>,
    leader: RefCell<Option<Leader>>,
    marks: RefCell<Watermarks>,
    lease: Cell<Lease>,
    sync_replicas: Cell<usize>,
    owned: Cell<bool>,
    settled: Cell<bool>,
    /// Something has changed, and who leads is to be asked ahead.
    search_due: Cell<bool>,
    /// The servers that count for a promotion, those that have vanished included, if a holder of the
    /// failover duty has written them down.
    counted: RefCell<Option<Vec<Incarnation>>>,
    records: Reader,
    testimony: SingleFlight,
    /// A write to the primary is long without an answer, and none has been answered since.
    doubted: Cell<bool>,
    /// When a replica last spoke for another primary.
    denied: Cell<Moment>,
    /// The newest position of the primary whose lease was not yet confirmed.
    unconfirmed: Cell<Option<Watermark>>,
    searched: Cell<Moment>,
    search: SingleFlight,
    confirmation: SingleFlight,
    refresh: SingleFlight,
    turn: Cell<usize>,
}

impl Group {
    /// A group that nothing is known of.
    pub fn new(
        name: &str,
        dc: &str,
        failure_signal: FailureSignal,
        records: Reader,
        metrics: Metrics,
    ) -> Rc<Self> {
        Rc::new(Self {
            name: name.to_owned(),
            dc: dc.to_owned(),
            failure_signal,
            metrics,
            servers: RefCell::default(),
            leader: RefCell::default(),
            marks: RefCell::default(),
            lease: Cell::default(),
            sync_replicas: Cell::default(),
            owned: Cell::new(true),
            settled: Cell::default(),
            search_due: Cell::default(),
            counted: RefCell::default(),
            records,
            testimony: SingleFlight::default(),
            denied: Cell::default(),
            doubted: Cell::default(),
            unconfirmed: Cell::default(),
            searched: Cell::default(),
            search: SingleFlight::default(),
            confirmation: SingleFlight::default(),
            refresh: SingleFlight::default(),
            turn: Cell::default(),
        })
    }

    /// Takes the servers of a new view. A change of who is there or of how a server sees itself is
    /// a reason to ask again who leads.
    pub fn update(
        self: &Rc<Self>,
        entries: &[Entry],
        service: &Service,
        allocation: Allocation,
        counted: Option<&[Incarnation]>,
    ) {
        self.sync_replicas.set(service.sync_replicas as usize);
        let mut changed = false;
        let old = std::mem::take(&mut *self.servers.borrow_mut());
        let mut servers = Vec::with_capacity(entries.len());
        for entry in entries {
            let limits = Limits {
                max_connections: service.max_connections,
                slots: entry.server.slots,
            };
            let limit = match self.owned.get() {
                true => allocation.connections(limits),
                false => ownership::NON_OWNER_CONNECTIONS,
            };
            let same = |backend: &&Rc<Backend>| {
                backend.server.incarnation == entry.server.incarnation
                    && backend.server.address == entry.server.address
            };
            match old.iter().find(same) {
                Some(backend) => {
                    changed |= backend.server.role != entry.server.role;
                    backend.pool.set_limit(limit);
                    backend.registered(entry);
                    servers.push(backend.clone());
                }
                None => {
                    changed = true;
                    servers.push(self.new_backend(entry, limit));
                }
            }
        }
        for backend in old {
            let kept = |new: &Rc<Backend>| Rc::ptr_eq(new, &backend);
            if !servers.iter().any(kept) {
                changed = true;
                backend.pool.close();
                self.clear_leader(&backend);
            }
        }
        for backend in &servers {
            let counts = counted.is_some_and(|ids| ids.contains(&backend.server.incarnation));
            backend.counted.set(counts);
        }
        *self.counted.borrow_mut() = counted.map(<[Incarnation]>::to_vec);
        *self.servers.borrow_mut() = servers;
        let primaries = |entry: &&Entry| entry.server.role == Role::Primary;
        let leader = self
            .leader
            .borrow()
            .as_ref()
            .map(|l| l.backend.server.incarnation.clone());
        let registered = entries.iter().filter(primaries);
        let registered = registered.map(|entry| &entry.server.incarnation);
        changed |= !registered.into_iter().any(|id| Some(id) == leader.as_ref());
        if changed {
            self.search_due.set(true);
        }
        if self.owned.get() && self.settled.get() && self.search_due.take() {
            self.search_ahead();
        }
    }

    /// Notes whether this proxy runs the group's statements on connections of its own, and whether the
    /// other proxies know of it.
    ///
    /// Failure: proxies that start together each take themselves for owners, and their first questions are
    /// more connections than the servers take. Guard: nothing is asked ahead before the entry of this
    /// proxy has come back from the store; a caller's statement is still served at once.
    pub fn set_owned(&self, owned: bool, settled: bool) {
        self.owned.set(owned);
        self.settled.set(settled);
    }

    /// Closes idle connections of a group that others hold connections for.
    pub fn close_idle_if_not_owned(&self) {
        if !self.owned.get() {
            let servers = self.servers.borrow();
            servers.iter().for_each(|backend| backend.pool.close_idle());
        }
    }

    fn new_backend(&self, entry: &Entry, limit: usize) -> Rc<Backend> {
        Backend::new(
            entry,
            limit,
            self.failure_signal.clone(),
            self.metrics.clone(),
        )
    }

    /// All servers.
    pub fn servers(&self) -> Vec<Rc<Backend>> {
        self.servers.borrow().clone()
    }

    /// Who leads, asking all servers if it is not known.
    pub async fn leader(self: &Rc<Self>) -> Option<Leader> {
        let known = self.leader.borrow().clone();
        match known {
            Some(leader) => Some(leader),
            None => {
                self.find_leader().await;
                self.leader.borrow().clone()
            }
        }
    }

    /// Who leads, without asking.
    pub fn known_leader(&self) -> Option<Leader> {
        self.leader.borrow().clone()
    }

    /// Whether `backend` is known to lead.
    pub fn is_leader(&self, backend: &Rc<Backend>) -> bool {
        let leader = self.leader.borrow();
        leader
            .as_ref()
            .is_some_and(|leader| Rc::ptr_eq(&leader.backend, backend))
    }

    /// The term that `backend` is known to lead.
    pub fn leader_term(&self, backend: &Rc<Backend>) -> Option<u64> {
        let leader = self.known_leader()?;
        Rc::ptr_eq(&leader.backend, backend).then_some(leader.term)
    }

    /// Notes that `backend` does not lead, or cannot be reached.
    pub fn clear_leader(&self, backend: &Rc<Backend>) {
        if self.is_leader(backend) {
            *self.leader.borrow_mut() = None;
            self.revoke();
        }
    }

    /// Notes that a write to `backend` is long without an answer.
    pub fn note_slow_write(&self, backend: &Rc<Backend>) {
        if self.is_leader(backend) && !self.doubted.replace(true) {
            journal::write(
                "doubt",
                json!({ "service": self.name, "server": backend.server.id() }),
            );
            self.revoke();
        }
    }

    /// Notes that a write to `backend` was answered.
    pub fn note_write_answered(&self, backend: &Rc<Backend>) {
        if self.is_leader(backend) {
            self.doubted.set(false);
        }
    }

    /// Whether writes need the replicas' word first.
    ///
    /// Failure: the primary is cut off with this data centre; every write sent to it hangs, and its
    /// caller hears that the outcome is unknown and cannot repeat it. Guard: after the first one
    /// that hangs, a write is sent only if a replica, asked after it came, obeys the primary; else
    /// its caller hears that nothing was run.
    pub fn is_leader_suspect(&self) -> bool {
        self.doubted.get()
    }

    fn revoke(&self) {
        self.lease.set(Lease::default());
        self.unconfirmed.set(None);
    }

    /// The servers that may take a read, best first. Servers that leave or did not answer come
    /// last, and those that left too long ago not at all.
    pub fn read_candidates(&self, now: Moment) -> Vec<Rc<Backend>> {
        let mut servers = self.servers();
        servers.retain(|backend| backend.takes_work(now));
        let candidates: Vec<placement::Candidate> = servers
            .iter()
            .map(|backend| backend.candidate(self.is_leader(backend), &self.dc))
            .collect();
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        let mut order: Vec<Rc<Backend>> = placement::order(&candidates, turn)
            .into_iter()
            .map(|index| servers[index].clone())
            .collect();
        order.sort_by_key(|backend| {
            let leaving = backend.is_leaving() || backend.is_missing();
            (backend.avoided(now), leaving)
        });
        order
    }
}

/// The type under which groups are shared on the traffic thread.
pub type Groups = dandelionpitch_core::hash::Map<String, Rc<Group>>;

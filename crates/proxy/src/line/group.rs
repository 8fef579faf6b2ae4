//! A database group as the traffic thread sees it: its servers, the known leader, and the log
//! positions that a server must have reached to run a read.
//!
//! Statuses are requested only when a statement needs them, or after the list of servers has
//! changed. The engine's [`freshness`](dandelionpitch_engine::freshness) decides what they prove.

mod durability;
mod freshness;
mod quorum;
mod replication;
mod search;
mod single_flight;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use dandelionpitch_core::{hash, position::Position};
use dandelionpitch_engine::{
    catalog::Service,
    freshness::{Lease, Watermark, Watermarks},
    ownership::{self, Allocation, Limits, Share},
    placement,
    registry::{Entry, Incarnation, Role},
    slots::{Load, Mode},
    time::Moment,
};
use serde_json::json;

use self::{quorum::Quorum, single_flight::SingleFlight};

use crate::{
    config::ReplicaLag,
    line::{
        backend::{request::Client, Backend},
        journal,
        reachability::FailureSignal,
        records::Reader,
        restart::Observers,
    },
    metrics::Metrics,
};

/// The known leader of a group: the primary with the highest term that has answered.
#[derive(Clone)]
pub struct Leader {
    pub backend: Rc<Backend>,
    pub term: u64,
}

/// What a view says about one group.
#[derive(Clone, Debug, PartialEq)]
pub struct Inputs {
    /// The registered servers.
    pub entries: Arc<[Entry]>,
    /// The servers that count for promotions; `None` until a failover leader has recorded them.
    pub voters: Option<Arc<[Incarnation]>>,
    pub service: Service,
    pub allocation: Allocation,
    /// Whether callers have client accounts.
    pub has_accounts: bool,
    /// How the connections of idle transactions count.
    pub idle_transactions: Mode,
    /// Whether this proxy runs the group's statements on its own connections.
    pub is_owned: bool,
    /// Whether this proxy has read its own entry from the store, so that others know of it.
    pub is_announced: bool,
}

impl Inputs {
    /// The limits of this proxy's connections to one of the servers.
    fn share(&self, entry: &Entry) -> Share {
        let limits = Limits {
            max_connections: self.service.max_connections,
            slots: entry.server.slots,
        };
        match self.is_owned {
            true => {
                let idle = self.idle_transactions;
                self.allocation.share(limits, self.has_accounts, idle)
            }
            false => Share::from(ownership::NON_OWNER_CONNECTIONS),
        }
    }
}

/// A database group.
pub struct Group {
    pub name: String,
    dc: String,
    failure_signal: FailureSignal,
    observers: Observers,
    pub metrics: Metrics,
    replica_lag: ReplicaLag,
    servers: RefCell<Vec<Rc<Backend>>>,
    leader: RefCell<Option<Leader>>,
    watermarks: RefCell<Watermarks>,
    lease: Cell<Lease>,
    sync_replicas: Cell<usize>,
    owned: Cell<bool>,
    /// The part of the view that was applied last.
    applied: RefCell<Option<Inputs>>,
    /// Whether a search for the leader is due because registrations have changed.
    search_due: Cell<bool>,
    /// The servers that count for promotions, including unregistered ones; `None` until a failover
    /// leader has recorded them.
    voters: RefCell<Option<Vec<Incarnation>>>,
    records: Reader,
    record_read: SingleFlight,
    /// Whether a write to the leader is overdue, and none has been answered since.
    leader_suspect: Cell<bool>,
    /// When a replica last reported a newer primary than the leader.
    superseded_at: Cell<Moment>,
    /// The newest watermark that the lease does not cover yet.
    pending_watermark: Cell<Option<Watermark>>,
    last_search: Cell<Moment>,
    search: SingleFlight,
    quorum: Quorum,
    confirmation: SingleFlight,
    refresh: SingleFlight,
    rotation: Cell<usize>,
}

impl Group {
    /// A group whose servers and leader are not known yet.
    pub fn new(
        name: &str,
        dc: &str,
        failure_signal: FailureSignal,
        observers: Observers,
        records: Reader,
        metrics: Metrics,
        replica_lag: ReplicaLag,
    ) -> Rc<Self> {
        Rc::new(Self {
            name: name.to_owned(),
            dc: dc.to_owned(),
            failure_signal,
            observers,
            metrics,
            replica_lag,
            servers: RefCell::default(),
            leader: RefCell::default(),
            watermarks: RefCell::default(),
            lease: Cell::default(),
            sync_replicas: Cell::default(),
            owned: Cell::new(true),
            applied: RefCell::default(),
            search_due: Cell::default(),
            voters: RefCell::default(),
            records,
            record_read: SingleFlight::default(),
            superseded_at: Cell::default(),
            leader_suspect: Cell::default(),
            pending_watermark: Cell::default(),
            last_search: Cell::default(),
            search: SingleFlight::default(),
            quorum: Quorum::default(),
            confirmation: SingleFlight::default(),
            refresh: SingleFlight::default(),
            rotation: Cell::default(),
        })
    }

    /// Applies the group's part of a view, unless it is the one applied last. A search for the leader
    /// becomes due if servers or their registered roles have changed, or if the leader is not
    /// registered as a primary.
    ///
    /// No search is started in the background before this proxy has read its own entry from the
    /// store: proxies that start together all consider themselves owners at first, and their status
    /// requests could need more connections than the servers accept.
    pub fn update(self: &Rc<Self>, inputs: &Inputs) {
        if self.applied.borrow().as_ref() == Some(inputs) {
            return;
        }
        *self.applied.borrow_mut() = Some(inputs.clone());
        self.sync_replicas
            .set(inputs.service.sync_replicas as usize);
        self.owned.set(inputs.is_owned);
        let servers_changed = self.update_servers(inputs);
        let voters = inputs.voters.as_deref();
        for backend in self.servers.borrow().iter() {
            let counts = voters.is_some_and(|ids| ids.contains(&backend.server.incarnation));
            backend.is_voter.set(counts);
        }
        *self.voters.borrow_mut() = voters.map(<[Incarnation]>::to_vec);
        if servers_changed || !self.is_leader_registered(&inputs.entries) {
            self.search_due.set(true);
        }
        if inputs.is_owned && inputs.is_announced && self.search_due.take() {
            self.spawn_search();
        }
    }

    /// Replaces the servers; returns whether any was added, was removed or changed its role.
    fn update_servers(&self, inputs: &Inputs) -> bool {
        let mut changed = false;
        let old = std::mem::take(&mut *self.servers.borrow_mut());
        let mut servers = Vec::with_capacity(inputs.entries.len());
        for entry in inputs.entries.iter() {
            let limit = inputs.share(entry);
            let same = |backend: &&Rc<Backend>| {
                backend.server.incarnation == entry.server.incarnation
                    && backend.server.address == entry.server.address
            };
            match old.iter().find(same) {
                Some(backend) => {
                    changed |= backend.server.role != entry.server.role;
                    backend.pool.set_limit(limit);
                    backend.update_entry(entry);
                    servers.push(backend.clone());
                }
                None => {
                    changed = true;
                    servers.push(self.new_backend(entry, limit, inputs.idle_transactions));
                }
            }
        }
        for backend in old {
            let is_kept = |new: &Rc<Backend>| Rc::ptr_eq(new, &backend);
            if !servers.iter().any(is_kept) {
                changed = true;
                backend.pool.close();
                self.clear_leader(&backend);
            }
        }
        *self.servers.borrow_mut() = servers;
        changed
    }

    /// Whether the leader is known and registered as a primary.
    fn is_leader_registered(&self, entries: &[Entry]) -> bool {
        let leader = self.known_leader();
        leader.is_some_and(|leader| {
            let mut primaries = entries
                .iter()
                .filter(|entry| entry.server.role == Role::Primary);
            primaries.any(|entry| entry.server.incarnation == leader.backend.server.incarnation)
        })
    }

    /// Closes idle connections if other proxies own the group, and otherwise those that are no longer
    /// needed beside idle transactions, as a server refuses connections of new owners above its limit.
    /// Those of different client accounts stay open.
    pub fn close_spare_connections(&self) {
        let has_accounts =
            (self.applied.borrow().as_ref()).is_some_and(|inputs| inputs.has_accounts);
        for backend in self.servers.borrow().iter() {
            match (self.owned.get(), has_accounts) {
                (false, _) => backend.pool.close_idle(),
                (true, false) => backend.pool.shrink(backend.pool.limit()),
                (true, true) => {}
            }
        }
    }

    fn new_backend(&self, entry: &Entry, limit: Share, idle: Mode) -> Rc<Backend> {
        Backend::new(
            entry,
            limit,
            idle,
            self.observers.get(&entry.server.incarnation),
            self.failure_signal.clone(),
            self.metrics.clone(),
        )
    }

    /// What the connections to all servers are used for now.
    pub fn load(&self) -> Load {
        let servers = self.servers.borrow();
        servers.iter().map(|backend| backend.pool.load()).sum()
    }

    /// All servers.
    pub fn servers(&self) -> Vec<Rc<Backend>> {
        self.servers.borrow().clone()
    }

    /// The leader. Asks all servers if it is not known.
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

    /// The leader, if it is known.
    pub fn known_leader(&self) -> Option<Leader> {
        self.leader.borrow().clone()
    }

    /// Whether `backend` is the known leader.
    pub fn is_leader(&self, backend: &Rc<Backend>) -> bool {
        let leader = self.leader.borrow();
        leader
            .as_ref()
            .is_some_and(|leader| Rc::ptr_eq(&leader.backend, backend))
    }

    /// The term of `backend` if it is the known leader.
    pub fn leader_term(&self, backend: &Rc<Backend>) -> Option<u64> {
        let leader = self.known_leader()?;
        Rc::ptr_eq(&leader.backend, backend).then_some(leader.term)
    }

    /// Forgets the leader if it is `backend`, which does not lead or cannot be reached.
    pub fn clear_leader(&self, backend: &Rc<Backend>) {
        if self.is_leader(backend) {
            *self.leader.borrow_mut() = None;
            self.revoke_lease();
        }
    }

    /// Records that a write to `backend` is overdue.
    pub fn note_slow_write(&self, backend: &Rc<Backend>) {
        if self.is_leader(backend) && !self.leader_suspect.replace(true) {
            journal::write(
                "doubt",
                json!({ "service": self.name, "server": backend.server.id() }),
            );
            self.revoke_lease();
        }
    }

    /// Records that `backend` answered a write.
    pub fn note_write_answered(&self, backend: &Rc<Backend>) {
        if self.is_leader(backend) {
            self.leader_suspect.set(false);
        }
    }

    /// Whether a write to the leader is overdue, and none has been answered since. Further writes
    /// then have to be preceded by [`Self::confirm_leader`].
    ///
    /// A primary that is partitioned together with this data centre never answers writes, so their
    /// outcome is unknown and callers cannot retry them. Without confirmation from a replica, asked
    /// after the write arrived, a write is therefore refused as not run.
    pub fn is_leader_suspect(&self) -> bool {
        self.leader_suspect.get()
    }

    fn revoke_lease(&self) {
        self.lease.set(Lease::default());
        self.pending_watermark.set(None);
    }

    /// The servers that may run a read of `account`, in order of preference. Among equal servers, each
    /// account prefers another one, on which its connections are then reused. Servers that are leaving, missing
    /// or failed to answer recently come last, and servers that no longer accept work are excluded. With
    /// predicted lag, replicas that are not expected to have `required` yet come after all others.
    pub fn read_candidates(
        &self,
        account: Option<&Arc<str>>,
        required: Option<Position>,
        now: Moment,
    ) -> Vec<Rc<Backend>> {
        let mut servers = self.servers();
        servers.retain(|backend| backend.takes_work(now));
        let client = Client::Account(account.cloned());
        let candidates: Vec<placement::Candidate> = servers
            .iter()
            .map(|backend| backend.candidate(self.is_leader(backend), &self.dc, &client))
            .collect();
        let rotation = match account {
            Some(account) => hash::stable_hash(account) as usize,
            None => self.next_rotation(),
        };
        let mut order: Vec<Rc<Backend>> = placement::order(&candidates, rotation)
            .into_iter()
            .map(|index| servers[index].clone())
            .collect();
        let delays = |backend: &Rc<Backend>| self.read_delay(backend, required, now);
        if order.iter().any(|backend| !delays(backend).is_zero()) {
            self.metrics.read_moved();
        }
        order.sort_by_cached_key(|backend| {
            let leaving = backend.is_leaving() || backend.is_missing();
            let lacks = !self.predicts_lag()
                && required.is_some_and(|position| backend.lacks(position, now));
            let delay = delays(backend);
            let is_delayed = !delay.is_zero();
            (backend.is_avoided(now), is_delayed, leaving || lacks, delay)
        });
        order
    }

    fn next_rotation(&self) -> usize {
        let rotation = self.rotation.get();
        self.rotation.set(rotation.wrapping_add(1));
        rotation
    }
}

/// The groups by name.
pub type Groups = dandelionpitch_core::hash::Map<String, Rc<Group>>;

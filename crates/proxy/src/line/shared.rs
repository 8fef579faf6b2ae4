//! The state shared by all sessions on the traffic thread.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use dandelionpitch_engine::{
    catalog::Catalog, isolation::Isolation, planner::Planner, slots::Mode, startup, time::Moment,
};
use tokio::sync::watch;

use crate::{
    config::ReplicaLag,
    line::{
        backend::Backend,
        breakers::Breakers,
        clock,
        group::{Group, Groups, Inputs},
        mirror::Handle,
        peers::Peers,
        quota::Quota,
        reachability::FailureSignal,
        records::Reader,
        restart::Observers,
        stop::Stop,
        view::View,
    },
    metrics::Metrics,
};

/// How often idle connections are closed: those to servers of groups that this proxy does not own, opened
/// while the owners were unreachable, those opened beside idle transactions, and surplus ones to other
/// proxies.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_secs(3);

/// The state shared by all sessions on the traffic thread.
pub struct Shared {
    pub id: String,
    pub dc: String,
    pub started_at: Moment,
    /// How long a session that begins just after the start waits for a configuration.
    pub start_wait: Duration,
    pub view: watch::Receiver<Arc<View>>,
    pub groups: RefCell<Groups>,
    /// The other proxies, and the plans by which statements are forwarded to them.
    pub peers: Peers,
    /// Which groups' statements are forwarded.
    pub planner: RefCell<Planner>,
    pub metrics: Metrics,
    pub stop: Stop,
    pub isolation: watch::Receiver<Isolation>,
    pub failure_signal: FailureSignal,
    pub observers: Observers,
    pub records: Reader,
    /// How replicas that lag are chosen for reads.
    pub replica_lag: ReplicaLag,
    pub quota: Quota,
    pub breakers: Breakers,
    /// How the connections of idle transactions count.
    pub idle_transactions: Mode,
    /// The copy of the store's content, from which other proxies are served.
    pub mirror: Handle,
    /// How many callers are connected, plus the statements of other proxies in flight. A graceful
    /// shutdown waits until it is 0.
    pub open_count: Rc<Cell<usize>>,
}

impl Shared {
    /// The addresses of up to `limit` servers in other data centres, of any group.
    pub fn servers_in_other_dcs(&self, limit: usize) -> Vec<SocketAddr> {
        let view = self.view.borrow().clone();
        let servers = view.servers.values().flat_map(|entries| entries.iter());
        let remote = servers.filter(|entry| entry.server.dc != self.dc);
        remote
            .take(limit)
            .map(|entry| entry.server.address)
            .collect()
    }

    fn new_group(&self, name: &str) -> Rc<Group> {
        let (failure_signal, records) = (self.failure_signal.clone(), self.records.clone());
        Group::new(
            name,
            &self.dc,
            failure_signal,
            self.observers.clone(),
            records,
            self.metrics.clone(),
            self.replica_lag,
        )
    }

    /// Returns when idle sessions should be closed because this data centre is partitioned.
    pub async fn wait_for_isolation_close(&self) {
        let mut isolation = self.isolation.clone();
        loop {
            if isolation
                .borrow_and_update()
                .should_close_sessions(clock::now())
            {
                return;
            }
            // The isolation check reports each round as a change, so this is checked in time.
            if isolation.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Applies each new view until the control thread ends, and closes idle connections regularly.
    pub async fn apply_views(self: Rc<Self>, mut view: watch::Receiver<Arc<View>>) {
        let mut close_idle = tokio::time::interval(CLOSE_IDLE_INTERVAL);
        loop {
            tokio::select! {
                changed = view.changed() => match changed {
                    Ok(()) => {
                        let view = view.borrow_and_update().clone();
                        self.update(&view);
                    }
                    Err(_) => return,
                },
                _ = close_idle.tick() => {
                    self.groups.borrow().values().for_each(|group| group.close_spare_connections());
                    self.peers.close_spare_connections();
                    self.peers.close_departed();
                }
            }
        }
    }

    fn update(&self, view: &View) {
        let peers_changed = {
            let mut planner = self.planner.borrow_mut();
            planner.update(&view.peers, view.proxy_count, |name| view.limits(name))
        };
        if peers_changed {
            self.peers.update(&view.peers, &self.id, &self.metrics);
        }
        self.quota.update(view, &self.id);
        for group in self.groups.borrow().values() {
            self.update_group(group, view);
        }
    }

    /// Applies a view to one group, if the group is configured.
    fn update_group(&self, group: &Rc<Group>, view: &View) {
        let name = group.name.as_str();
        let service = view.catalog.as_ref().and_then(|c| c.services.get(name));
        let (Some(service), Some(limits)) = (service, view.limits(name)) else {
            return;
        };
        let mut planner = self.planner.borrow_mut();
        let ownership = planner.ownership(name, limits);
        self.peers.set_plan(name, &ownership.plan);
        group.update(&Inputs {
            entries: view.servers_of(name),
            voters: view.voters.get(name).cloned(),
            service: service.clone(),
            allocation: ownership.allocation,
            has_accounts: view.has_accounts(),
            idle_transactions: self.idle_transactions,
            is_owned: self.peers.owns(name),
            is_announced: view.peer(&self.id).is_some(),
        });
    }

    /// Waits until there is a configuration, for as long as [`startup`] allows.
    pub async fn wait_for_configuration(&self) {
        let limit = startup::session_wait(clock::now().since(self.started_at), self.start_wait);
        if limit.is_zero() || self.catalog().is_some() {
            return;
        }
        let mut view = self.view.clone();
        let configured = view.wait_for(|view| view.catalog.is_some());
        // Whether it arrived in time is seen from the view.
        let _ = tokio::time::timeout(limit, configured).await;
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.view.borrow().catalog.clone()
    }

    /// The group with this name, created with the current view if there was no statement for it yet.
    pub fn group(&self, name: &str) -> Rc<Group> {
        let known = self.groups.borrow().get(name).cloned();
        known.unwrap_or_else(|| {
            let group = self.new_group(name);
            let view = self.view.borrow().clone();
            self.update_group(&group, &view);
            let mut groups = self.groups.borrow_mut();
            groups.insert(name.to_owned(), group.clone());
            group
        })
    }

    /// The proxies to which a statement of the group is forwarded; `None` if this proxy runs it. See
    /// [`Peers::forwarding_targets`].
    pub fn forwarding_targets(&self, service: &str) -> Option<Vec<Rc<Backend>>> {
        // The first statement of a group plans it.
        self.group(service);
        self.peers.forwarding_targets(service)
    }
}

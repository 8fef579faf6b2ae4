//! The state shared by all sessions on the traffic thread.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use dandelionpitch_engine::{catalog::Catalog, isolation::Isolation};
use tokio::sync::watch;

use crate::{
    line::{
        backend::Backend,
        clock,
        group::{Group, Groups},
        mirror::Handle,
        peers::Peers,
        quota::Quota,
        reachability::FailureSignal,
        records::Reader,
        stop::Stop,
        view::View,
    },
    metrics::Metrics,
};

/// How often idle connections are closed: those to servers of groups that this proxy does not own, opened
/// while the owners were unreachable, and surplus ones to other proxies.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_secs(3);

/// The state shared by all sessions on the traffic thread.
pub struct Shared {
    pub id: String,
    pub dc: String,
    pub view: watch::Receiver<Arc<View>>,
    pub groups: RefCell<Groups>,
    /// The other proxies, and which groups' statements are forwarded to them.
    pub peers: Peers,
    pub metrics: Metrics,
    pub stop: Stop,
    pub isolation: watch::Receiver<Isolation>,
    pub failure_signal: FailureSignal,
    pub records: Reader,
    pub quota: Quota,
    /// The copy of the store's content, from which other proxies are served.
    pub mirror: Handle,
    /// How many callers are connected, plus the statements of other proxies in flight. A graceful
    /// shutdown waits until it is 0.
    pub open_count: Rc<Cell<usize>>,
}

impl Shared {
    /// The servers of all groups in other data centres.
    pub fn servers_in_other_dcs(&self) -> Vec<Rc<Backend>> {
        let groups = self.groups.borrow();
        let servers = groups.values().flat_map(|group| group.servers());
        servers
            .filter(|backend| backend.server.dc != self.dc)
            .collect()
    }

    fn new_group(&self, name: &str) -> Rc<Group> {
        let (failure_signal, records) = (self.failure_signal.clone(), self.records.clone());
        Group::new(
            name,
            &self.dc,
            failure_signal,
            records,
            self.metrics.clone(),
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
                    self.groups.borrow().values().for_each(|group| group.close_idle_if_not_owned());
                    self.peers.close_spare_connections();
                    self.peers.close_departed();
                }
            }
        }
    }

    fn update(&self, view: &View) {
        self.peers.update(view, &self.id, &self.metrics);
        self.quota.update(view, &self.id);
        let has_accounts = view.catalog.as_ref().is_some_and(|c| c.accounts.is_some());
        let is_announced = view.peers.iter().any(|peer| peer.id == self.id);
        let mut groups = self.groups.borrow_mut();
        for (name, entries) in &view.servers {
            let group = groups
                .entry(name.clone())
                .or_insert_with(|| self.new_group(name));
            let catalog = view.catalog.as_ref();
            let service = catalog.and_then(|catalog| catalog.services.get(name));
            let ownership = view.ownership.get(name);
            if let (Some(service), Some(ownership)) = (service, ownership) {
                let voters = view.voters.get(name).map(Vec::as_slice);
                group.set_owned(self.peers.owns(name), is_announced);
                let share = (ownership.allocation, has_accounts);
                group.update(entries, service, share, voters);
            }
        }
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.view.borrow().catalog.clone()
    }

    /// The group with this name, created if it is not known yet.
    pub fn group(&self, name: &str) -> Rc<Group> {
        let mut groups = self.groups.borrow_mut();
        groups
            .entry(name.to_owned())
            .or_insert_with(|| self.new_group(name))
            .clone()
    }
}

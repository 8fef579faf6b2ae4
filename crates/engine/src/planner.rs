//! How this proxy serves the groups that its callers use, for the current list of proxies.
//!
//! A proxy of a large deployment sees statements for few of the groups, so a group is planned when
//! its first statement arrives, and only planned groups are updated when the list changes.

use std::sync::Arc;

use dandelionpitch_core::hash::{Map, Set};

use crate::ownership::{self, Allocation, Change, Limits, Peer, Plan, Query};

/// Which proxies hold connections to the servers of a group, and whether this proxy runs or
/// forwards its statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ownership {
    pub allocation: Allocation,
    pub plan: Plan,
}

/// The planned groups of one proxy.
#[derive(Clone, Debug)]
pub struct Planner {
    /// The proxy's id.
    own: String,
    dc: String,
    peers: Arc<[Peer]>,
    /// The number of data centres with proxies.
    dcs: usize,
    /// How many proxies share the servers.
    proxy_count: usize,
    planned: Map<String, Ownership>,
}

impl Planner {
    /// A planner of the proxy with the id `own` in `dc`, which knows of no other proxies yet.
    pub fn new(own: &str, dc: &str) -> Self {
        Self {
            own: own.to_owned(),
            dc: dc.to_owned(),
            peers: Arc::default(),
            dcs: 0,
            proxy_count: 1,
            planned: Map::default(),
        }
    }

    /// Applies the live proxies, and how many share the servers; returns whether the list of proxies is
    /// another one. `limits` returns those of a group's servers, or `None` if the group is no longer
    /// configured.
    pub fn update(
        &mut self,
        peers: &Arc<[Peer]>,
        proxy_count: usize,
        limits: impl Fn(&str) -> Option<Limits>,
    ) -> bool {
        let dcs: Set<&str> = peers.iter().map(|peer| peer.dc.as_str()).collect();
        let dcs = dcs.len();
        let change = Change::new(&self.peers, peers);
        self.planned.retain(|service, known| {
            let Some(limits) = limits(service) else {
                return false;
            };
            let allocation = Allocation::new(proxy_count, dcs, limits);
            let query = Query {
                own: &self.own,
                dc: &self.dc,
                service,
            };
            known.plan = match known.allocation == allocation {
                true => ownership::replan(&known.plan, &change, peers, query, allocation),
                false => ownership::plan(peers, query.own, query.dc, service, allocation),
            };
            known.allocation = allocation;
            true
        });
        let is_other_list = !Arc::ptr_eq(&self.peers, peers);
        self.peers = peers.clone();
        self.dcs = dcs;
        self.proxy_count = proxy_count;
        is_other_list
    }

    /// How the group is served, planned anew if it was not planned under the same allocation.
    pub fn ownership(&mut self, service: &str, limits: Limits) -> &Ownership {
        let allocation = Allocation::new(self.proxy_count, self.dcs, limits);
        let known = self.planned.get(service);
        if known.is_none_or(|known| known.allocation != allocation) {
            let plan = ownership::plan(&self.peers, &self.own, &self.dc, service, allocation);
            let ownership = Ownership { allocation, plan };
            self.planned.insert(service.to_owned(), ownership);
        }
        &self.planned[service]
    }
}

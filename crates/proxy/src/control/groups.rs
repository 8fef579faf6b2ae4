//! The groups of the bundle in force: their servers with pools and probes, who watches them, and the
//! records that say who leads.

use std::{net::SocketAddr, sync::Arc};

use dandelionpitch_core::bundle::{self, Bundle};
use tokio_util::sync::CancellationToken;

use super::{duty::Member, probe::Probe, Change, Control};
use crate::{
    pool,
    view::{self, Group, Held, Server},
};

impl Control {
    /// Puts `bundle` in force unless it is not newer.
    ///
    /// Failure: a watch replay or a late answer offers an older bundle, and applying it would
    /// revert the configuration. Guard: only a strictly higher version is applied.
    pub(super) fn apply(&mut self, bundle: Bundle) -> Change {
        let current = self.bundle.as_ref().map_or(0, |bundle| bundle.version);
        if bundle.version <= current {
            if bundle.version < current {
                log::info!(target: "control", "Kept version {current}; offered {}.", bundle.version);
            }
            return Change::Nothing;
        }
        let mut old = std::mem::take(&mut self.groups);
        for group in bundle.groups.values() {
            let kept = old.remove(&group.name);
            let built = self.build(group, kept.as_ref());
            self.groups.insert(group.name.clone(), built);
        }
        log::info!(target: "control", "Applied bundle version {} (was {current}).", bundle.version);
        self.bundle = Some(Arc::new(bundle));
        self.assign()
    }

    /// Starts to watch the groups that are now this proxy's to watch, and stops the others.
    pub(super) fn assign(&mut self) -> Change {
        let me = Member {
            dc: self.config.dc.clone(),
            id: self.config.id.clone(),
        };
        self.members.add(me.clone());
        let mut probes = std::mem::take(&mut self.probes);
        for (name, group) in &mut self.groups {
            group.watched = self.members.watchers(name).contains(&&me);
            if !group.watched {
                for server in &group.servers {
                    server.status.set(None);
                }
                continue;
            }
            for server in &group.servers {
                let address = server.address;
                let start = || Probe::start(address, name, &self.config, self.out.clone());
                let probe = probes.remove(&address).unwrap_or_else(start);
                self.probes.insert(address, probe);
            }
        }
        Change::Routing
    }

    /// The group's servers, with the pools and statuses of those it already had.
    fn build(&self, group: &bundle::Group, kept: Option<&Group>) -> Group {
        let servers = group
            .servers
            .iter()
            .map(|&address| self.server(address, group, kept))
            .collect();
        Group {
            servers,
            fresh_for: view::fresh_for(self.config.backend.status_every),
            claim_limit: self.config.failover.claim_limit,
            held: self.records.get(&group.name).cloned(),
            watched: kept.is_some_and(|kept| kept.watched),
            found: kept.map(|kept| kept.found.clone()).unwrap_or_default(),
        }
    }

    fn server(&self, address: SocketAddr, group: &bundle::Group, kept: Option<&Group>) -> Server {
        let old = kept.and_then(|kept| kept.servers.iter().find(|s| s.address == address));
        if let Some(old) = old.filter(|old| old.pool.status().max_size == group.pool_size) {
            return old.clone();
        }
        Server {
            address,
            pool: pool::build(address, &group.name, group.pool_size, &self.config),
            status: old.map(|old| old.status.clone()).unwrap_or_default(),
            leaving: self.leaving.contains(&address),
            rest: old.map(|old| old.rest.clone()).unwrap_or_default(),
            superseded: CancellationToken::new(),
        }
    }

    /// Takes a primary record from the KV unless it is older than the one held, and looks at
    /// the group's servers at once.
    pub(super) fn hold(&mut self, group: String, held: Held) -> Change {
        let newest = self.records.get(&group).map_or(0, |held| held.revision);
        if held.revision <= newest {
            return Change::Nothing;
        }
        if let Some(group) = self.groups.get_mut(&group) {
            group.held = Some(held.clone());
        }
        self.records.insert(group.clone(), held);
        self.hurry(&group);
        self.supersede();
        Change::Routing
    }

    /// Marks the servers that are leaving, in every group.
    pub(super) fn leave(&mut self, leaving: Vec<SocketAddr>) -> Change {
        for server in self.groups.values_mut().flat_map(|g| &mut g.servers) {
            let leaves = leaving.contains(&server.address);
            if leaves && !server.leaving {
                log::info!(target: "control", "Server {} is leaving.", server.address);
            }
            server.leaving = leaves;
        }
        self.leaving = leaving;
        Change::Routing
    }
}

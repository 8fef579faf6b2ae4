//! The groups of the bundle in force: their servers with pools and probes, who watches them, and the
//! records that say who leads.

use std::{net::SocketAddr, sync::Arc};

use dandelionpitch_core::{
    bundle::{self, Bundle},
    hash::Set,
};
use tokio_util::sync::CancellationToken;

use super::{assignment::Member, probe::Probe, Change, Control};
use crate::{
    pool,
    view::{self, Group, Server, StoredRecord},
};

impl Control {
    /// Puts `bundle` in force unless it is not newer.
    ///
    /// Failure: a watch replay or a late answer offers an older bundle, and applying it would
    /// revert the configuration. Guard: only a strictly higher version is applied.
    pub(super) fn apply_bundle(&mut self, bundle: Bundle) -> Change {
        let current = self.bundle.as_ref().map_or(0, |bundle| bundle.version);
        if bundle.version <= current {
            if bundle.version < current {
                log::info!(target: "control", "Kept version {current}; offered {}.", bundle.version);
            }
            return Change::Unchanged;
        }
        log::info!(target: "control", "Applied bundle version {} (was {current}).", bundle.version);
        self.bundle = Some(Arc::new(bundle));
        self.rebuild()
    }

    /// Builds all groups anew from the bundle in force and the records.
    fn rebuild(&mut self) -> Change {
        let Some(bundle) = self.bundle.clone() else {
            return Change::Unchanged;
        };
        let listed = bundle.groups.values().flat_map(|group| &group.servers);
        let listed: Set<SocketAddr> = listed.copied().collect();
        let mut old = std::mem::take(&mut self.groups);
        for group in bundle.groups.values() {
            let kept = old.remove(&group.name);
            let built = self.build(group, kept.as_ref(), &listed);
            self.groups.insert(group.name.clone(), built);
        }
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
                let start = || Probe::start(address, name, &self.config, self.tx.clone());
                let probe = probes.remove(&address).unwrap_or_else(start);
                self.probes.insert(address, probe);
            }
        }
        Change::Routing
    }

    /// The group's servers, with the pools and statuses of those it already had, and those that were
    /// taken out and count.
    fn build(&self, group: &bundle::Group, kept: Option<&Group>, taken: &Set<SocketAddr>) -> Group {
        let stored = self.records.get(&group.name).cloned();
        let had = kept.into_iter().flat_map(|kept| &kept.servers);
        let recorded = stored.iter().flat_map(|stored| &stored.record.members);
        let known: Vec<SocketAddr> = had.map(|s| s.address).chain(recorded.copied()).collect();
        let mut servers: Vec<Server> = group
            .servers
            .iter()
            .map(|&address| self.server(address, group, kept, true))
            .collect();
        for address in known {
            let here = servers.iter().any(|server| server.address == address);
            if !here && !taken.contains(&address) {
                servers.push(self.server(address, group, kept, false));
            }
        }
        Group {
            servers,
            status_ttl: view::status_ttl(self.config.backend.status_every),
            claim_limit: self.config.failover.claim_limit,
            stored,
            unreadable: self.unreadable.contains(&group.name),
            watched: kept.is_some_and(|kept| kept.watched),
            discovery: kept.map(|kept| kept.discovery.clone()).unwrap_or_default(),
        }
    }

    fn server(
        &self,
        address: SocketAddr,
        group: &bundle::Group,
        kept: Option<&Group>,
        listed: bool,
    ) -> Server {
        let leaving = !listed || self.leaving.contains(&address);
        let old = kept.and_then(|kept| kept.servers.iter().find(|s| s.address == address));
        if let Some(old) = old.filter(|old| old.pool.status().max_size == group.pool_size) {
            return Server {
                leaving,
                listed,
                ..old.clone()
            };
        }
        Server {
            address,
            pool: pool::build(address, &group.name, group.pool_size, &self.config),
            status: old.map(|old| old.status.clone()).unwrap_or_default(),
            leaving,
            listed,
            cooldown: old.map(|old| old.cooldown.clone()).unwrap_or_default(),
            superseded: CancellationToken::new(),
        }
    }

    /// Takes a primary record from the KV unless it is older than the one held, and looks at
    /// the group's servers at once.
    pub(super) fn apply_record(&mut self, group: String, stored: StoredRecord) -> Change {
        let known = self.records.get(&group);
        if known.is_some_and(|known| stored.revision <= known.revision) {
            return Change::Unchanged;
        }
        let stored = match known {
            Some(known) => known.reconcile(stored),
            None => stored,
        };
        let mut others = false;
        if let Some(group) = self.groups.get_mut(&group) {
            let recorded = &stored.record.members;
            let here = |address| group.servers.iter().any(|s| s.address == address);
            others = !recorded.iter().all(|&address| here(address));
            let before = group.servers.len();
            let counts = |s: &Server| s.listed || recorded.contains(&s.address);
            group.servers.retain(counts);
            others |= group.servers.len() < before;
            group.stored = Some(stored.clone());
        }
        self.records.insert(group.clone(), stored);
        if others {
            self.rebuild();
        }
        self.probe_now(&group);
        self.update_leaders();
        Change::Routing
    }

    /// Notes that the KV came back from a copy: what it does not hold any more is written as if nothing had
    /// been there.
    pub(super) fn handle_restore(&mut self, era: u64) -> Change {
        log::warn!(target: "control", "The KV came back from a copy; era {era}.");
        for (group, stored) in &mut self.records {
            stored.lost_in_restore = true;
            stored.revision = 0;
            if let Some(known) = self.groups.get_mut(group) {
                known.stored = Some(stored.clone());
            }
        }
        Change::Routing
    }

    /// Notes that the KV has a record of the group that cannot be read.
    pub(super) fn mark_unreadable(&mut self, group: String) -> Change {
        if let Some(known) = self.groups.get_mut(&group) {
            known.unreadable = true;
        }
        self.unreadable.insert(group);
        Change::Routing
    }

    /// Marks the servers that are leaving, in every group.
    pub(super) fn mark_leaving(&mut self, leaving: Vec<SocketAddr>) -> Change {
        for server in self.groups.values_mut().flat_map(|g| &mut g.servers) {
            let leaves = !server.listed || leaving.contains(&server.address);
            if leaves && !server.leaving {
                log::info!(target: "control", "Server {} is leaving.", server.address);
            }
            server.leaving = leaves;
        }
        self.leaving = leaving;
        Change::Routing
    }
}

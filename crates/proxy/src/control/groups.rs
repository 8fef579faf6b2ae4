//! The database groups of the applied bundle: their servers with pools and probes, whether this
//! proxy watches them, and their primary records.

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
    /// Applies `bundle` if its version is higher than the current one.
    ///
    /// A replayed watch event or a delayed response can contain an older bundle, which must not
    /// revert the configuration.
    pub(super) fn apply_bundle(&mut self, bundle: Bundle) -> Change {
        let current = self.bundle.as_ref().map_or(0, |bundle| bundle.version);
        if bundle.version <= current {
            if bundle.version < current {
                log::info!(target: "control", "Ignored bundle version {}; version {current} is applied.", bundle.version);
            }
            return Change::Unchanged;
        }
        log::info!(target: "control", "Applied bundle version {} (was {current}).", bundle.version);
        self.bundle = Some(Arc::new(bundle));
        self.rebuild()
    }

    /// Rebuilds all groups from the applied bundle and the primary records.
    fn rebuild(&mut self) -> Change {
        let Some(bundle) = self.bundle.clone() else {
            return Change::Unchanged;
        };
        let listed = bundle.groups.values().flat_map(|group| &group.servers);
        let listed: Set<SocketAddr> = listed.copied().collect();
        let mut old = std::mem::take(&mut self.groups);
        for group in bundle.groups.values() {
            let previous = old.remove(&group.name);
            let built = self.build(group, previous.as_ref(), &listed);
            self.groups.insert(group.name.clone(), built);
        }
        self.assign()
    }

    /// Starts watching the groups assigned to this proxy and stops watching all others.
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

    /// Builds a group. Servers that were in `previous` keep their pools and statuses. Servers that
    /// are in `previous` or named by the record but that no group lists are added as unlisted ones,
    /// as they may still count for the promotion quorum.
    fn build(
        &self,
        group: &bundle::Group,
        previous: Option<&Group>,
        all_listed: &Set<SocketAddr>,
    ) -> Group {
        let stored = self.records.get(&group.name).cloned();
        let previous_servers = previous.into_iter().flat_map(|previous| &previous.servers);
        let recorded = stored.iter().flat_map(|stored| &stored.record.members);
        let known: Vec<SocketAddr> = previous_servers
            .map(|s| s.address)
            .chain(recorded.copied())
            .collect();
        let mut servers: Vec<Server> = group
            .servers
            .iter()
            .map(|&address| self.server(address, group, previous, true))
            .collect();
        for address in known {
            let is_present = servers.iter().any(|server| server.address == address);
            if !is_present && !all_listed.contains(&address) {
                servers.push(self.server(address, group, previous, false));
            }
        }
        Group {
            servers,
            status_ttl: view::status_ttl(self.config.backend.status_every),
            claim_limit: self.config.failover.claim_limit,
            stored,
            unreadable: self.unreadable.contains(&group.name),
            watched: previous.is_some_and(|previous| previous.watched),
            discovery: previous
                .map(|previous| previous.discovery.clone())
                .unwrap_or_default(),
        }
    }

    fn server(
        &self,
        address: SocketAddr,
        group: &bundle::Group,
        previous: Option<&Group>,
        listed: bool,
    ) -> Server {
        let leaving = !listed || self.leaving.contains(&address);
        let old =
            previous.and_then(|previous| previous.servers.iter().find(|s| s.address == address));
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

    /// Stores a primary record from the KV if its revision is newer than that of the known one, and
    /// polls the group's servers immediately.
    pub(super) fn apply_record(&mut self, group: String, stored: StoredRecord) -> Change {
        let known = self.records.get(&group);
        if known.is_some_and(|known| stored.revision <= known.revision) {
            return Change::Unchanged;
        }
        let stored = match known {
            Some(known) => known.reconcile(stored),
            None => stored,
        };
        let mut changed = false;
        if let Some(group) = self.groups.get_mut(&group) {
            let recorded = &stored.record.members;
            let is_present = |address| group.servers.iter().any(|s| s.address == address);
            changed = !recorded.iter().all(|&address| is_present(address));
            let before = group.servers.len();
            let is_voter = |s: &Server| s.listed || recorded.contains(&s.address);
            group.servers.retain(is_voter);
            changed |= group.servers.len() < before;
            group.stored = Some(stored.clone());
        }
        self.records.insert(group.clone(), stored);
        if changed {
            self.rebuild();
        }
        self.probe_now(&group);
        self.update_leaders();
        Change::Routing
    }

    /// Marks all known records as lost after the KV was restored from a backup. A record that the
    /// backup lacks is then written as a new key.
    pub(super) fn handle_restore(&mut self, era: u64) -> Change {
        log::warn!(target: "control", "The KV was restored from a backup; its era is now {era}.");
        for (group, stored) in &mut self.records {
            stored.lost_in_restore = true;
            stored.revision = 0;
            if let Some(known) = self.groups.get_mut(group) {
                known.stored = Some(stored.clone());
            }
        }
        Change::Routing
    }

    /// Marks the group's primary record in the KV as unparseable.
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

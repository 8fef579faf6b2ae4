//! The state that the control thread publishes to the traffic thread.

use std::sync::Arc;

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{
    catalog::Catalog,
    ownership::{self, Limits, Peer},
    registry::{Entry, Groups, Incarnation},
};

/// The servers of each group that count for promotions.
pub type Voters = Map<Arc<str>, Arc<[Incarnation]>>;

/// The configuration in force, the backend servers, and the proxies that share them.
///
/// Each part is shared with the view before unless it has changed, so that publishing a change of one
/// group or proxy does not copy all others.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// `None` until a configuration has been read from the store.
    pub catalog: Option<Arc<Catalog>>,
    /// The servers of each group.
    pub servers: Arc<Groups>,
    /// The servers of each group that count for promotions, for the groups for which a failover
    /// leader has recorded them.
    pub voters: Arc<Voters>,
    /// How many proxies share the servers, including this one and those that went missing recently.
    pub proxy_count: usize,
    /// How many proxies may issue quota permits, including this one.
    pub quota_members: usize,
    /// Whether an earlier process of this proxy was registered when this one started, so that the others
    /// already count it.
    pub has_predecessor: bool,
    /// Whether this proxy's own entry is known only from a seed's copy, and not from the store.
    pub is_unconfirmed: bool,
    /// The live proxies, to which statements can be forwarded, sorted by id.
    pub peers: Arc<[Peer]>,
}

impl View {
    /// The version of the configuration in force, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.version)
    }

    /// The servers of a group, sorted by incarnation.
    pub fn servers_of(&self, service: &str) -> Arc<[Entry]> {
        self.servers.get(service).cloned().unwrap_or_default()
    }

    /// The limits of each server of a configured group.
    pub fn limits(&self, service: &str) -> Option<Limits> {
        let configured = self.catalog.as_ref()?.services.get(service)?;
        let servers = self.servers.get(service);
        let slots = servers.iter().flat_map(|entries| entries.iter());
        let slots = slots.map(|entry| entry.server.slots).min();
        Some(Limits {
            max_connections: configured.max_connections,
            slots: slots.unwrap_or(1),
        })
    }

    /// Whether callers have client accounts.
    pub fn has_accounts(&self) -> bool {
        let catalog = self.catalog.as_ref();
        catalog.is_some_and(|catalog| catalog.accounts.is_some())
    }

    /// The live proxy with this id.
    pub fn peer(&self, id: &str) -> Option<&Peer> {
        ownership::find(&self.peers, id)
    }
}

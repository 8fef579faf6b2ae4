//! What the control thread publishes to traffic.

use std::sync::Arc;

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{
    catalog::Catalog,
    ownership::{Allocation, Peer, Plan},
    registry::{Entry, Incarnation},
};

/// The configuration in force, the backend servers, and how many proxies share them.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// `None` until the first one was read from the store.
    pub catalog: Option<Arc<Catalog>>,
    /// The servers of each group.
    pub servers: Map<String, Vec<Entry>>,
    /// The servers of each group that count for a promotion, where a holder of the failover duty has
    /// written them down.
    pub voters: Map<String, Vec<Incarnation>>,
    /// How many proxies share the servers, this one and those that have just gone included.
    pub proxy_count: usize,
    /// The proxies that statements can be handed to.
    pub peers: Vec<Peer>,
    /// Who holds connections to the servers of each group.
    pub ownership: Map<String, Ownership>,
}

/// Who holds connections to the servers of a group, and what that means for this proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ownership {
    pub allocation: Allocation,
    pub plan: Plan,
}

impl View {
    /// The version of the configuration in force; 0 is none.
    pub fn version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.version)
    }
}

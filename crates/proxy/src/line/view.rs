//! The state that the control thread publishes to the traffic thread.

use std::sync::Arc;

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{
    catalog::Catalog,
    ownership::{Allocation, Peer, Plan},
    registry::{Entry, Incarnation},
};

/// The configuration in force, the backend servers, and the proxies that share them.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// `None` until a configuration has been read from the store.
    pub catalog: Option<Arc<Catalog>>,
    /// The servers of each group.
    pub servers: Map<String, Vec<Entry>>,
    /// The servers of each group that count for promotions, for the groups for which a failover
    /// leader has recorded them.
    pub voters: Map<String, Vec<Incarnation>>,
    /// How many proxies share the servers, including this one and those that went missing recently.
    pub proxy_count: usize,
    /// How many proxies may issue quota permits, including this one.
    pub quota_members: usize,
    /// Whether an earlier process of this proxy was registered when this one started, so that the others
    /// already count it.
    pub has_predecessor: bool,
    /// The live proxies, to which statements can be forwarded.
    pub peers: Vec<Peer>,
    /// Which proxies open connections to the servers of each group.
    pub ownership: Map<String, Ownership>,
}

/// Which proxies open connections to the servers of a group, and whether this proxy runs or forwards
/// its statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ownership {
    pub allocation: Allocation,
    pub plan: Plan,
}

impl View {
    /// The version of the configuration in force, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.version)
    }
}

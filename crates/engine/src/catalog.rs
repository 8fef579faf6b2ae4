//! The operators' configuration: which databases callers may name, where each goes and how stale
//! its reads may be.

use std::{sync::Arc, time::Duration};

use dandelionpitch_core::hash::Map;

/// What the reads of a route must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Every acknowledged commit.
    Latest,
    /// Every commit acknowledged more than the allowance ago.
    Bounded(Duration),
    /// As bounded, and every commit of the same session.
    Session(Duration),
}

/// Where the statements for one database go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name, for logs.
    pub name: String,
    /// The database group that serves it.
    pub service: String,
    pub consistency: Consistency,
    /// How long one statement may take.
    pub timeout: Duration,
    /// Within which a whole operation should be answered.
    pub target: Duration,
    /// 0 is the most important.
    pub priority: u32,
}

/// One database group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// How many connections each of its servers takes, from all proxies together.
    pub max_connections: u32,
    /// How many replicas must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalog {
    pub version: u64,
    /// Routes by the database name callers use.
    pub routes: Map<String, Arc<Route>>,
    /// Database groups by name.
    pub services: Map<String, Service>,
    /// How long a transaction may rest between statements.
    pub transaction_idle_timeout: Duration,
}

impl Catalog {
    /// Whether this version replaces `current`: only a higher one does.
    ///
    /// Failure: a stale read of the store, or a watch answered late, brings an older version after
    /// a newer one was in force, and a dropped route is served again. Guard: versions only grow
    /// within a process.
    pub fn replaces(&self, current: Option<&Self>) -> bool {
        current.is_none_or(|current| self.version > current.version)
    }
}

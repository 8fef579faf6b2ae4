//! The configuration published by operators: the databases that callers may open, the database group
//! that serves each and how stale its reads may be.

use std::{sync::Arc, time::Duration};

use dandelionpitch_core::hash::Map;

use crate::{
    account::{Account, Directory, Fault},
    refusal::{Code, Refusal},
};

/// Which commits the reads of a route must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Every acknowledged commit.
    Latest,
    /// Every commit acknowledged longer ago than this staleness bound.
    Bounded(Duration),
    /// Like `Bounded`, and every commit of the same session.
    Session(Duration),
}

/// How the statements for one database are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Used in logs.
    pub name: String,
    /// The name of the database group that serves it.
    pub service: String,
    pub consistency: Consistency,
    /// The maximum duration of a statement.
    pub timeout: Duration,
    /// The latency target of an operation, which limits queueing and retries.
    pub target: Duration,
    /// 0 is the highest priority.
    pub priority: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// The configuration of a database group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The connection limit of each of its servers, for all proxies together.
    pub max_connections: u32,
    /// The number of replicas that must receive a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// A version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    pub version: u64,
    /// Routes by the database name that callers use.
    pub routes: Map<String, Arc<Route>>,
    /// Database groups by name.
    pub services: Map<String, Service>,
    /// The client accounts; `None` if callers need no key.
    pub accounts: Option<Directory>,
    /// How long a transaction may be idle between statements before it is rolled back.
    pub transaction_idle_timeout: Duration,
}

impl Catalog {
    /// Whether this configuration replaces `current`, that is, has a higher version.
    ///
    /// Prevents a stale read or a late watch response from bringing back an older configuration, for
    /// example one with a route that has been removed since.
    pub fn replaces(&self, current: Option<&Self>) -> bool {
        current.is_none_or(|current| self.version > current.version)
    }

    /// What is wrong with the client accounts. A configuration with faults is served nevertheless.
    pub fn faults(&self) -> &[Fault] {
        self.accounts.as_ref().map_or(&[], Directory::faults)
    }

    /// The account of a caller that uses `route` with `key`; `None` if the caller needs none.
    ///
    /// # Errors
    ///
    /// If the route requires a key and no account holds this one.
    pub fn authorize(&self, route: &Route, key: &str) -> Result<Option<Arc<Account>>, Refusal> {
        let Some(accounts) = &self.accounts else {
            return Ok(None);
        };
        match accounts.holder(key) {
            Some(account) => Ok(Some(account.clone())),
            None if route.public => Ok(None),
            None => {
                let why = format!("no account holds the key in version {}", self.version);
                Err(Refusal::new(Code::Unauthorized, why))
            }
        }
    }
}

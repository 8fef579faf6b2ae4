//! The configuration bundle: database groups, which callers go to which group, and how stale
//! each caller's reads may be.
//!
//! Operators write a bundle as TOML, sign it off and put it into the platform KV under
//! [`crate::keys::BUNDLE`]. Versions only grow: the CLI refuses to put a version that is not
//! higher than the one in force, and a proxy never applies a lower version than it runs
//! (`docs/DESIGN.md`, "Configuration bundles").

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{hash::Map, Error};

/// The most servers one group may list; a stand-in group has three.
const MAX_SERVERS: usize = 16;

/// A checked bundle, as proxies use it.
#[derive(Clone, Debug, PartialEq)]
pub struct Bundle {
    /// The version; higher versions replace lower ones and never the other way round.
    pub version: u64,
    /// Who signed this version off.
    pub signed_off_by: Vec<String>,
    /// Database groups by name.
    pub groups: Map<String, Group>,
    /// Callers by user name.
    pub callers: Map<String, Arc<Caller>>,
}

/// One replicated database group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// The group's name, as callers' database name.
    pub name: String,
    /// The servers of the group; which one is primary is learnt at run time.
    pub servers: Vec<SocketAddr>,
    /// Backend connections a proxy keeps per server at most.
    pub pool_size: usize,
    /// How many replicas must receive a commit before the primary acknowledges it, as the
    /// group itself is set up. A primary is replaced only when this is at least 1.
    pub sync_replicas: usize,
}

/// What one caller (a PostgreSQL user name) may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The user name the caller connects with.
    pub user: String,
    /// The group its statements go to.
    pub group: String,
    /// How far behind the primary a replica may be to serve this caller's reads; zero sends
    /// every read to the primary.
    pub max_staleness: Duration,
    /// How long one statement of this caller may take before the proxy gives it up.
    pub timeout: Duration,
}

/// The TOML shape of a bundle, as operators write it.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    pub version: u64,
    #[serde(default)]
    pub signed_off_by: Vec<String>,
    #[serde(default, rename = "group")]
    pub groups: Vec<GroupTable>,
    #[serde(default, rename = "caller")]
    pub callers: Vec<CallerTable>,
}

/// The TOML shape of one group.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GroupTable {
    pub name: String,
    pub servers: Vec<SocketAddr>,
    #[serde(default = "default_pool_size")]
    pub pool_size: usize,
    #[serde(default = "default_sync_replicas")]
    pub sync_replicas: usize,
}

/// The TOML shape of one caller.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerTable {
    pub user: String,
    pub group: String,
    #[serde(default, with = "humantime_serde")]
    pub max_staleness: Duration,
    #[serde(default = "default_timeout", with = "humantime_serde")]
    pub timeout: Duration,
}

fn default_pool_size() -> usize {
    8
}

fn default_sync_replicas() -> usize {
    1
}

fn default_timeout() -> Duration {
    Duration::from_secs(30)
}

impl Bundle {
    /// Parses and checks a bundle from TOML text.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let wire: Document = toml::from_str(text)?;
        Self::try_from(wire)
    }

    /// The caller entry for a user name, if the bundle knows it.
    pub fn caller(&self, user: &str) -> Option<&Arc<Caller>> {
        self.callers.get(user)
    }
}

impl TryFrom<Document> for Bundle {
    type Error = Error;

    fn try_from(wire: Document) -> Result<Self, Self::Error> {
        if wire.version == 0 {
            return Err(rule("version: must be 1 or higher"));
        }
        let mut groups = Map::default();
        for group in wire.groups {
            let group = Group::try_from(group)?;
            if groups.contains_key(&group.name) {
                return Err(rule(format!("group {:?}: named twice", group.name)));
            }
            groups.insert(group.name.clone(), group);
        }
        let mut callers = Map::default();
        for caller in wire.callers {
            let caller = Caller::try_from(caller)?;
            if !groups.contains_key(&caller.group) {
                let text = format!("caller {:?}: no group {:?}", caller.user, caller.group);
                return Err(rule(text));
            }
            if callers.contains_key(&caller.user) {
                return Err(rule(format!("caller {:?}: named twice", caller.user)));
            }
            callers.insert(caller.user.clone(), Arc::new(caller));
        }
        Ok(Self {
            version: wire.version,
            signed_off_by: wire.signed_off_by,
            groups,
            callers,
        })
    }
}

impl TryFrom<GroupTable> for Group {
    type Error = Error;

    fn try_from(wire: GroupTable) -> Result<Self, Self::Error> {
        if wire.name.is_empty() {
            return Err(rule("group.name: must not be empty"));
        }
        if wire.servers.is_empty() || wire.servers.len() > MAX_SERVERS {
            let text = format!("group {:?}: servers: 1 to {MAX_SERVERS} needed", wire.name);
            return Err(rule(text));
        }
        if wire.pool_size == 0 {
            return Err(rule(format!(
                "group {:?}: pool_size: must be 1 or more",
                wire.name
            )));
        }
        if wire.sync_replicas >= wire.servers.len() && wire.servers.len() > 1 {
            let text = "sync_replicas: must be below the number of servers";
            return Err(rule(format!("group {:?}: {text}", wire.name)));
        }
        Ok(Self {
            name: wire.name,
            servers: wire.servers,
            pool_size: wire.pool_size,
            sync_replicas: wire.sync_replicas,
        })
    }
}

impl TryFrom<CallerTable> for Caller {
    type Error = Error;

    fn try_from(wire: CallerTable) -> Result<Self, Self::Error> {
        if wire.timeout.is_zero() {
            let text = format!("caller {:?}: timeout: must be above zero", wire.user);
            return Err(rule(text));
        }
        Ok(Self {
            user: wire.user,
            group: wire.group,
            max_staleness: wire.max_staleness,
            timeout: wire.timeout,
        })
    }
}

fn rule(text: impl Into<String>) -> Error {
    Error::BundleRule(text.into())
}

//! The configuration bundle: database groups, the group that each caller is routed to, and the
//! staleness bound of each caller's reads.
//!
//! Operators write a bundle as TOML, sign it off and put it into the platform KV under
//! [`crate::keys::BUNDLE`]. Versions only increase: the CLI refuses a version that is not higher
//! than the current one, and a proxy never applies a lower version than the one it runs
//! (`docs/DESIGN.md`, "Configuration bundles").

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{hash::Map, Error};

const MAX_SERVERS: usize = 16;

/// A validated bundle.
#[derive(Clone, Debug, PartialEq)]
pub struct Bundle {
    /// A proxy replaces its bundle only by one of a higher version.
    pub version: u64,
    /// The operators who signed off this version.
    pub signed_off_by: Vec<String>,
    /// Database groups by name.
    pub groups: Map<String, Group>,
    /// Callers by user name.
    pub callers: Map<String, Arc<Caller>>,
}

/// One replicated database group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// The group's name; callers use it as the database name.
    pub name: String,
    /// The servers of the group; the primary is discovered at run time.
    pub servers: Vec<SocketAddr>,
    /// Maximum number of backend connections per proxy and server.
    pub pool_size: usize,
    /// Number of replicas that must receive a commit before the primary acknowledges it. It must
    /// match the group's own setting; failover is enabled only if it is at least 1.
    pub sync_replicas: usize,
}

/// Routing and limits of one caller, identified by its PostgreSQL user name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The user name the caller connects with.
    pub user: String,
    /// The group that its statements are routed to.
    pub group: String,
    /// Maximum lag of a replica that serves this caller's reads; zero sends every read to the
    /// primary.
    pub max_staleness: Duration,
    /// Time limit for one statement.
    pub timeout: Duration,
}

/// TOML representation of a [`Bundle`].
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

/// TOML representation of a [`Group`].
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

/// TOML representation of a [`Caller`].
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
    /// Parses TOML text and validates the result.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let document: Document = toml::from_str(text)?;
        Self::try_from(document)
    }

    /// Returns the caller with the given user name.
    pub fn caller(&self, user: &str) -> Option<&Arc<Caller>> {
        self.callers.get(user)
    }
}

impl TryFrom<Document> for Bundle {
    type Error = Error;

    fn try_from(document: Document) -> Result<Self, Self::Error> {
        if document.version == 0 {
            return Err(rule_error("version: must be 1 or higher"));
        }
        let mut groups = Map::default();
        for group in document.groups {
            let group = Group::try_from(group)?;
            if groups.contains_key(&group.name) {
                return Err(rule_error(format!(
                    "group {:?}: duplicate name",
                    group.name
                )));
            }
            groups.insert(group.name.clone(), group);
        }
        let mut callers = Map::default();
        for caller in document.callers {
            let caller = Caller::try_from(caller)?;
            if !groups.contains_key(&caller.group) {
                let text = format!("caller {:?}: no group {:?}", caller.user, caller.group);
                return Err(rule_error(text));
            }
            if callers.contains_key(&caller.user) {
                return Err(rule_error(format!(
                    "caller {:?}: duplicate name",
                    caller.user
                )));
            }
            callers.insert(caller.user.clone(), Arc::new(caller));
        }
        Ok(Self {
            version: document.version,
            signed_off_by: document.signed_off_by,
            groups,
            callers,
        })
    }
}

impl TryFrom<GroupTable> for Group {
    type Error = Error;

    fn try_from(table: GroupTable) -> Result<Self, Self::Error> {
        if table.name.is_empty() {
            return Err(rule_error("group.name: must not be empty"));
        }
        if table.servers.is_empty() || table.servers.len() > MAX_SERVERS {
            let text = format!(
                "group {:?}: servers: must list 1 to {MAX_SERVERS} addresses",
                table.name
            );
            return Err(rule_error(text));
        }
        if table.pool_size == 0 {
            return Err(rule_error(format!(
                "group {:?}: pool_size: must be 1 or more",
                table.name
            )));
        }
        if table.sync_replicas >= table.servers.len() && table.servers.len() > 1 {
            let text = "sync_replicas: must be below the number of servers";
            return Err(rule_error(format!("group {:?}: {text}", table.name)));
        }
        Ok(Self {
            name: table.name,
            servers: table.servers,
            pool_size: table.pool_size,
            sync_replicas: table.sync_replicas,
        })
    }
}

impl TryFrom<CallerTable> for Caller {
    type Error = Error;

    fn try_from(table: CallerTable) -> Result<Self, Self::Error> {
        if table.timeout.is_zero() {
            let text = format!("caller {:?}: timeout: must be above zero", table.user);
            return Err(rule_error(text));
        }
        Ok(Self {
            user: table.user,
            group: table.group,
            max_staleness: table.max_staleness,
            timeout: table.timeout,
        })
    }
}

fn rule_error(text: impl Into<String>) -> Error {
    Error::BundleRule(text.into())
}

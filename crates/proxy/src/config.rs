//! The proxy's settings, read from TOML; the rest of the daemon reads this, never the CLI.
//!
//! A process learns its addresses and data centre from its settings (brief, "Where it will
//! run"). Unknown keys are refused, so a misspelt key cannot silently fall back to a default.

use std::{net::SocketAddr, path::Path, time::Duration};

use serde::Deserialize;

use crate::error::Error;

/// The settings used when no file is given: a proxy on loopback next to a local KV.
pub const EMBEDDED: &str = r#"
id = "proxy-1"
dc = "dc-1"
listen = "127.0.0.1:6432"
operator_listen = "127.0.0.1:8432"
kv = "http://127.0.0.1:2379"
"#;

/// Settings of one proxy process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// This proxy's name, unique in the fleet.
    pub id: String,
    /// The data centre this proxy runs in.
    pub dc: String,
    /// Where callers connect (PostgreSQL wire protocol).
    pub listen: SocketAddr,
    /// Where operators connect (HTTP).
    pub operator_listen: SocketAddr,
    /// The platform KV endpoint, `http://host:port`.
    pub kv: String,
    /// How the proxy talks to backend servers.
    #[serde(default)]
    pub backend: Backend,
}

/// Settings for backend connections.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Backend {
    /// The user name the proxy connects to backend servers with.
    pub user: String,
    /// How long opening a backend connection may take.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// How long a statement may wait for a free pooled connection.
    #[serde(with = "humantime_serde")]
    pub pool_wait: Duration,
    /// How often each server's role, term and log position are read.
    #[serde(with = "humantime_serde")]
    pub status_every: Duration,
}

impl Default for Backend {
    fn default() -> Self {
        Self {
            user: "dandelionpitch".to_owned(),
            connect_timeout: Duration::from_secs(2),
            pool_wait: Duration::from_secs(2),
            status_every: Duration::from_millis(50),
        }
    }
}

impl Config {
    /// Reads the settings from `path`, or the embedded defaults when there is none.
    pub fn load(path: Option<&Path>) -> Result<Self, Error> {
        let text = match path {
            Some(path) => std::fs::read_to_string(path).map_err(|source| Error::Read {
                path: path.display().to_string(),
                source,
            })?,
            None => EMBEDDED.to_owned(),
        };
        Self::parse(&text)
    }

    /// Parses settings from TOML text.
    pub fn parse(text: &str) -> Result<Self, Error> {
        Ok(toml::from_str(text)?)
    }
}

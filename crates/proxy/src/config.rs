//! The proxy's settings, read from TOML; the rest of the daemon reads this, never the CLI.
//!
//! A process learns its addresses and data centre from its settings (brief, "Where it will
//! run"). Unknown keys are refused, so a misspelt key cannot silently fall back to a default.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

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
#[derive(Clone, Debug, Deserialize, PartialEq)]
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
    /// The platform's VM list, `http://host:port/path`; without it no server is known to leave.
    #[serde(default)]
    pub vms: Option<String>,
    /// How long a planned stop waits for requests and transactions in progress.
    #[serde(default = "default_drain_limit", with = "humantime_serde")]
    pub drain_limit: Duration,
    /// When a primary counts as failed.
    #[serde(default)]
    pub failover: Failover,
    /// How the proxy talks to backend servers.
    #[serde(default)]
    pub backend: Backend,
    /// Present where callers and backend servers speak the line protocol (`docs/PLATFORM.md`).
    #[serde(default)]
    pub line: Option<Line>,
    /// The file these settings were read from.
    #[serde(skip)]
    pub path: Option<PathBuf>,
}

/// Settings of a proxy whose callers and backend servers speak the line protocol.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// Where the platform's promotion call is served, `host:port`.
    pub promoter: SocketAddr,
    /// How long after SIGTERM the process is killed.
    #[serde(with = "humantime_serde")]
    pub grace: Duration,
    /// Where counters are served as text, besides the operators' address.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Where other proxies hand statements to this one; without it, it only hands on.
    #[serde(default)]
    pub peer: Option<SocketAddr>,
    /// Within which a new configuration has to be in force on every proxy.
    #[serde(default = "default_config_within", with = "humantime_serde")]
    pub config_within: Duration,
    /// The VM's processor share, in cores: proxies with more run more statements for others.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// The bandwidth of the VM's link, in megabits a second.
    #[serde(default = "default_link")]
    pub link_mbps: f64,
}

fn default_config_within() -> Duration {
    Duration::from_secs(3)
}

fn default_cores() -> f64 {
    1.0
}

fn default_link() -> f64 {
    1_000.0
}

fn default_drain_limit() -> Duration {
    Duration::from_secs(10)
}

/// Settings for backend connections.
#[derive(Clone, Debug, Deserialize, PartialEq)]
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
    /// How long a server may take to answer a status read.
    #[serde(with = "humantime_serde")]
    pub status_timeout: Duration,
    /// How long sent bytes may stay unacknowledged before a connection counts as lost.
    #[serde(with = "humantime_serde")]
    pub silent_after: Duration,
}

/// Settings of the failover role.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Failover {
    /// How long this proxy and the replicas must have missed a primary before it is replaced.
    #[serde(with = "humantime_serde")]
    pub after: Duration,
    /// Proxies wait a further part of this, each its own, so that one claims and the others
    /// see it.
    #[serde(with = "humantime_serde")]
    pub spread: Duration,
    /// How long a proxy that has claimed a term is given to promote a server before another
    /// claims the next one; well above what a promotion takes.
    #[serde(with = "humantime_serde")]
    pub claim_limit: Duration,
    /// How long a server may take to obey a fence or a promotion.
    #[serde(with = "humantime_serde")]
    pub step_timeout: Duration,
}

impl Default for Failover {
    fn default() -> Self {
        Self {
            after: Duration::from_millis(300),
            spread: Duration::from_millis(100),
            claim_limit: Duration::from_secs(2),
            step_timeout: Duration::from_secs(3),
        }
    }
}

impl Default for Backend {
    fn default() -> Self {
        Self {
            user: "dandelionpitch".to_owned(),
            connect_timeout: Duration::from_secs(2),
            pool_wait: Duration::from_secs(2),
            status_every: Duration::from_millis(50),
            status_timeout: Duration::from_millis(250),
            silent_after: Duration::from_secs(5),
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
        let mut config = Self::parse(&text)?;
        config.path = path.map(Path::to_owned);
        Ok(config)
    }

    /// Parses settings from TOML text.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let config: Self = toml::from_str(text)?;
        config.check()?;
        Ok(config)
    }

    /// Whether a process that runs by `old` runs by these settings too: addresses and names are
    /// only read at the start.
    pub fn needs_no_restart(&self, old: &Self) -> bool {
        let line = |config: &Self| config.line.as_ref().map(|line| line.promoter);
        (
            &self.id,
            &self.dc,
            self.listen,
            self.operator_listen,
            &self.kv,
            line(self),
        ) == (
            &old.id,
            &old.dc,
            old.listen,
            old.operator_listen,
            &old.kv,
            line(old),
        )
    }

    fn grace(&self) -> Duration {
        self.line.as_ref().map_or(Duration::MAX, |line| line.grace)
    }

    fn config_within(&self) -> Duration {
        let line = self.line.as_ref();
        line.map_or(Duration::MAX, |line| line.config_within)
    }

    /// A zero period would make a loop spin; the message names the key.
    fn check(&self) -> Result<(), Error> {
        let positive = [
            ("backend.connect_timeout", self.backend.connect_timeout),
            ("backend.pool_wait", self.backend.pool_wait),
            ("backend.status_every", self.backend.status_every),
            ("backend.status_timeout", self.backend.status_timeout),
            ("backend.silent_after", self.backend.silent_after),
            ("failover.after", self.failover.after),
            ("failover.claim_limit", self.failover.claim_limit),
            ("failover.step_timeout", self.failover.step_timeout),
            ("line.grace", self.grace()),
            ("line.config_within", self.config_within()),
        ];
        match positive.iter().find(|(_, value)| value.is_zero()) {
            Some((key, _)) => Err(Error::Rule(format!("{key}: must be above zero"))),
            None => Ok(()),
        }
    }
}

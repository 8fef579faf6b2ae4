//! The proxy's settings, read from TOML.
//!
//! Unknown keys are rejected, so that a misspelt key cannot silently fall back to a default.

mod policy;

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use dandelionpitch_engine::{quota::Tolerance, slots::Mode};
use serde::Deserialize;

use crate::error::Error;

pub use policy::{Recovery, ReplicaLag};

/// The settings used if no file is given: a proxy on loopback with a local key-value store (KV).
pub const DEFAULT_SETTINGS: &str = r#"
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
    /// The name of this proxy, unique among all proxies.
    pub id: String,
    /// The data centre that this proxy runs in.
    pub dc: String,
    /// The address for callers (PostgreSQL wire protocol).
    pub listen: SocketAddr,
    /// The address of the operator endpoint (HTTP).
    pub operator_listen: SocketAddr,
    /// The endpoint of the platform's KV, `http://host:port`.
    pub kv: String,
    /// The platform's VM list, `http://host:port/path`. Without it, the proxy does not know when a
    /// server is about to stop.
    #[serde(default)]
    pub vms: Option<String>,
    /// How long a planned stop waits for in-flight requests and open transactions.
    #[serde(default = "default_drain_limit", with = "humantime_serde")]
    pub drain_limit: Duration,
    /// When and how a failed primary is replaced.
    #[serde(default)]
    pub failover: Failover,
    /// Connections to backend servers.
    #[serde(default)]
    pub backend: Backend,
    /// Present if callers and backend servers speak the line protocol (`docs/PLATFORM.md`).
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
    /// The address of the platform service that promotes servers.
    pub promoter: SocketAddr,
    /// How many promotions that service executes per second, for all proxies together.
    #[serde(default = "default_promotions_per_second")]
    pub promotions_per_second: f64,
    /// The time between SIGTERM and the platform killing the process.
    #[serde(with = "humantime_serde")]
    pub grace: Duration,
    /// A second address that serves metrics as text, in addition to the operator endpoint.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The address at which other proxies forward statements to this one. Without it, this proxy
    /// forwards statements but accepts no forwarded ones.
    #[serde(default)]
    pub peer: Option<SocketAddr>,
    /// The addresses at which other proxies accept forwarded statements, from which a starting process
    /// copies the store's content if the store does not answer. They may be out of date.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The time within which a new configuration must be applied on every proxy.
    #[serde(default = "default_config_within", with = "humantime_serde")]
    pub config_within: Duration,
    /// Whether an owner that cannot reach the servers of a group leaves statements to the other owners.
    #[serde(default)]
    pub try_other_owners: bool,
    /// How long a session that begins just after the start of the process waits for a configuration.
    #[serde(default, with = "humantime_serde")]
    pub start_wait: Duration,
    /// The VM's CPU share, in cores. Proxies with more CPU and bandwidth run more forwarded
    /// statements.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// The bandwidth of the VM's network link, in megabits per second.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// The span over which the operations of a client account are counted.
    #[serde(default = "default_quota_window", with = "humantime_serde")]
    pub quota_window: Duration,
    /// The part of an account's limit that is tolerated above it.
    #[serde(default)]
    pub quota_excess: f64,
    /// The number of operations that are tolerated above it.
    #[serde(default)]
    pub quota_margin: f64,
    /// What is done with a statement that finds no primary.
    #[serde(default)]
    pub recovery: Recovery,
    /// How replicas that lack the log position of a read are avoided.
    #[serde(default)]
    pub replica_lag: ReplicaLag,
    /// Whether the connections of transactions count like those of running statements while their
    /// callers pause, or separately.
    #[serde(default)]
    pub idle_transactions: Mode,
}

/// Each seed that does not answer delays the next one, and a proxy of a large deployment needs no more than
/// a few.
const MAX_SEEDS: usize = 3;

impl Line {
    /// Rejects seeds that nothing can listen on, and too many of them.
    fn validate_seeds(&self) -> Result<(), Error> {
        let invalid = |why: String| Err(Error::OutOfRange(format!("line.seeds: {why}")));
        if self.seeds.len() > MAX_SEEDS {
            let count = self.seeds.len();
            return invalid(format!(
                "{count} addresses, at most {MAX_SEEDS} are allowed"
            ));
        }
        let cannot_listen = |seed: &&SocketAddr| seed.port() == 0 || seed.ip().is_unspecified();
        match self.seeds.iter().find(cannot_listen) {
            Some(seed) => invalid(format!("{seed} is not the address of a proxy")),
            None => Ok(()),
        }
    }

    /// Whether the settings are those of a deployment with client accounts.
    pub fn has_quotas(&self) -> bool {
        self.quota_margin > 0.0 || self.quota_excess > 0.0
    }

    /// What is tolerated above a client account's limit.
    pub fn tolerance(&self) -> Tolerance {
        Tolerance {
            window: self.quota_window,
            excess: self.quota_excess,
            margin: self.quota_margin,
        }
    }
}

fn default_quota_window() -> Duration {
    Duration::from_secs(5)
}

fn default_promotions_per_second() -> f64 {
    50.0
}

fn default_config_within() -> Duration {
    Duration::from_secs(3)
}

fn default_cores() -> f64 {
    1.0
}

fn default_link_mbps() -> f64 {
    1_000.0
}

fn default_drain_limit() -> Duration {
    Duration::from_secs(10)
}

/// Settings for backend connections.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Backend {
    /// The user name for connections to backend servers.
    pub user: String,
    /// Timeout for opening a backend connection.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// How long a statement may wait for a primary or a free pooled connection.
    #[serde(with = "humantime_serde")]
    pub pool_wait: Duration,
    /// The interval at which each server's role, term and log position are polled.
    #[serde(with = "humantime_serde")]
    pub status_every: Duration,
    /// How long a server may take to answer a status request.
    #[serde(with = "humantime_serde")]
    pub status_timeout: Duration,
    /// How long sent bytes may remain unacknowledged before the connection is closed, and how long
    /// a connection may be idle before it is probed.
    #[serde(with = "humantime_serde")]
    pub silent_after: Duration,
}

/// Settings for replacing a failed primary.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Failover {
    /// How long a quorum of replicas must not have heard from a primary before it is replaced.
    #[serde(with = "humantime_serde")]
    pub after: Duration,
    /// The maximum additional delay before a failover. Each proxy waits a different fraction of it,
    /// so that one claims the term and the others see the claim.
    #[serde(with = "humantime_serde")]
    pub spread: Duration,
    /// How long a proxy that has claimed a term has to promote a server before another proxy may
    /// claim the next term.
    #[serde(with = "humantime_serde")]
    pub claim_limit: Duration,
    /// How long a server may take to complete a fence or a promotion.
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
    /// Reads the settings from `path`, or the built-in defaults if it is `None`.
    pub fn load(path: Option<&Path>) -> Result<Self, Error> {
        let text = match path {
            Some(path) => std::fs::read_to_string(path).map_err(|source| Error::Read {
                path: path.display().to_string(),
                source,
            })?,
            None => DEFAULT_SETTINGS.to_owned(),
        };
        let mut config = Self::parse(&text)?;
        config.path = path.map(Path::to_owned);
        Ok(config)
    }

    /// Parses and validates settings from TOML text.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let config: Self = toml::from_str(text)?;
        config.validate()?;
        Ok(config)
    }

    fn grace(&self) -> Duration {
        self.line.as_ref().map_or(Duration::MAX, |line| line.grace)
    }

    fn config_within(&self) -> Duration {
        let line = self.line.as_ref();
        line.map_or(Duration::MAX, |line| line.config_within)
    }

    fn quota_window(&self) -> Duration {
        let line = self.line.as_ref();
        line.map_or(Duration::MAX, |line| line.quota_window)
    }

    fn validate(&self) -> Result<(), Error> {
        self.validate_positive()?;
        self.line.as_ref().map_or(Ok(()), Line::validate_seeds)
    }

    /// Rejects zero durations: a loop with a zero polling interval would spin.
    fn validate_positive(&self) -> Result<(), Error> {
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
            ("line.quota_window", self.quota_window()),
        ];
        let line = self.line.as_ref();
        let has_rate = line.is_none_or(|line| line.promotions_per_second > 0.0);
        let rate = (!has_rate).then_some("line.promotions_per_second");
        let zero = positive.iter().find(|(_, value)| value.is_zero());
        match zero.map(|(key, _)| *key).or(rate) {
            Some(key) => Err(Error::OutOfRange(format!("{key}: must be above zero"))),
            None => Ok(()),
        }
    }
}

//! The control part of the proxy: follows the bundle in the platform KV, reads each backend
//! server's status, keeps this proxy's heartbeat record, and publishes a [`View`] to traffic.
//!
//! All control state lives on one thread with its own runtime; traffic threads only read the
//! published views (`docs/DESIGN.md`, "Threads").

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use dandelionpitch_core::{
    bundle::Bundle,
    hash::Map,
    keys,
    kv::{self, EventType},
    position::Position,
};
use serde::Serialize;
use tokio::sync::{mpsc, watch};
use tokio_postgres::{NoTls, SimpleQueryMessage};

use crate::{
    config::Config,
    pool,
    view::{self, Group, Role, Server, Status, View},
};

/// Pause before the bundle watch is opened again after the KV failed.
const WATCH_RETRY: Duration = Duration::from_millis(250);
/// The lease of the heartbeat record, in seconds.
const HEARTBEAT_TTL: u64 = 10;
/// How often the heartbeat lease is renewed.
const HEARTBEAT_EVERY: Duration = Duration::from_secs(3);

/// This proxy's heartbeat record in the KV, read by `dpctl status`.
#[derive(Debug, Serialize)]
pub struct Heartbeat<'a> {
    pub id: &'a str,
    pub dc: &'a str,
    pub listen: SocketAddr,
    pub operator: SocketAddr,
    pub bundle_version: u64,
}

/// Starts the control thread; it runs until the process ends.
pub fn spawn(
    config: Config,
    listen: SocketAddr,
    operator: SocketAddr,
    view: watch::Sender<Arc<View>>,
) {
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("the control runtime starts");
            runtime.block_on(run(config, listen, operator, view));
        })
        .expect("the control thread starts");
}

struct Control {
    config: Config,
    listen: SocketAddr,
    operator: SocketAddr,
    kv: kv::Client,
    bundle: Option<Arc<Bundle>>,
    groups: Map<String, Group>,
    probes: Map<SocketAddr, tokio_postgres::Client>,
    lease: Option<i64>,
}

async fn run(
    config: Config,
    listen: SocketAddr,
    operator: SocketAddr,
    view: watch::Sender<Arc<View>>,
) {
    let kv = kv::Client::new(&config.kv);
    let (bundles, mut incoming) = mpsc::channel(16);
    tokio::spawn(follow(kv.clone(), bundles));
    let mut status_tick = tokio::time::interval(config.backend.status_every);
    let mut heartbeat_tick = tokio::time::interval(HEARTBEAT_EVERY);
    let mut control = Control {
        config,
        listen,
        operator,
        kv,
        bundle: None,
        groups: Map::default(),
        probes: Map::default(),
        lease: None,
    };
    loop {
        tokio::select! {
            Some(bundle) = incoming.recv() => {
                if control.apply(bundle) {
                    control.poll().await;
                    control.heartbeat(true).await;
                }
            }
            _ = status_tick.tick() => control.poll().await,
            _ = heartbeat_tick.tick() => control.heartbeat(false).await,
        }
        let _ = view.send(Arc::new(View {
            bundle: control.bundle.clone(),
            groups: control.groups.clone(),
        }));
    }
}

/// Reads the bundle key and then watches it; sends every bundle that parses.
async fn follow(kv: kv::Client, bundles: mpsc::Sender<Bundle>) {
    loop {
        if let Err(error) = follow_once(&kv, &bundles).await {
            log::warn!(target: "control", "Bundle watch failed: {error}.");
        }
        tokio::time::sleep(WATCH_RETRY).await;
    }
}

async fn follow_once(
    kv: &kv::Client,
    bundles: &mpsc::Sender<Bundle>,
) -> Result<(), dandelionpitch_core::Error> {
    let current = kv.get(keys::BUNDLE).await?;
    let start = current.as_ref().map_or(0, |kv| kv.mod_revision + 1);
    if let Some(current) = current {
        offer(&current.value, bundles).await;
    }
    let mut watch = kv.watch(keys::BUNDLE, start).await?;
    while let Some(events) = watch.next().await? {
        for event in events.into_iter().filter(|e| e.kind == EventType::Put) {
            offer(&event.kv.value, bundles).await;
        }
    }
    Ok(())
}

async fn offer(value: &[u8], bundles: &mpsc::Sender<Bundle>) {
    match Bundle::parse(&String::from_utf8_lossy(value)) {
        Ok(bundle) => {
            let _ = bundles.send(bundle).await;
        }
        Err(error) => log::error!(target: "control", "Ignored a bundle in the KV: {error}."),
    }
}

impl Control {
    /// Puts `bundle` in force unless it is not newer; true when it was applied.
    ///
    /// Failure: a watch replay or a late answer offers an older bundle, and applying it would
    /// revert the configuration. Guard: only a strictly higher version is applied.
    fn apply(&mut self, bundle: Bundle) -> bool {
        let current = self.bundle.as_ref().map_or(0, |bundle| bundle.version);
        if bundle.version <= current {
            log::info!(target: "control", "Kept version {current}; offered {}.", bundle.version);
            return false;
        }
        let mut groups = Map::default();
        for (name, group) in &bundle.groups {
            let kept = self.groups.remove(name);
            let servers = group
                .servers
                .iter()
                .map(|&address| {
                    let old = kept
                        .as_ref()
                        .and_then(|g| g.servers.iter().find(|s| s.address == address));
                    match old {
                        Some(server) if server.pool.status().max_size == group.pool_size => {
                            server.clone()
                        }
                        _ => Server {
                            address,
                            pool: pool::build(address, name, group.pool_size, &self.config.backend),
                            status: None,
                        },
                    }
                })
                .collect();
            let fresh_for = view::fresh_for(self.config.backend.status_every);
            groups.insert(name.clone(), Group { servers, fresh_for });
        }
        self.groups = groups;
        log::info!(target: "control", "Applied bundle version {} (was {current}).", bundle.version);
        self.bundle = Some(Arc::new(bundle));
        true
    }

    /// Reads the status of every server, all at once, each bounded by the status period.
    async fn poll(&mut self) {
        let addresses: Vec<(String, SocketAddr)> = self
            .groups
            .iter()
            .flat_map(|(name, g)| g.servers.iter().map(move |s| (name.clone(), s.address)))
            .collect();
        let limit = self.config.backend.connect_timeout;
        let reads = addresses.iter().map(|(name, address)| {
            let probe = self.probes.remove(address);
            let user = self.config.backend.user.clone();
            async move {
                let probe = match probe {
                    Some(probe) if !probe.is_closed() => Some(probe),
                    _ => connect(*address, name, &user, limit).await,
                };
                let status = match &probe {
                    Some(probe) => tokio::time::timeout(limit, status(probe))
                        .await
                        .ok()
                        .flatten(),
                    None => None,
                };
                (*address, probe, status)
            }
        });
        let results = futures::future::join_all(reads).await;
        for (address, probe, status) in results {
            if let Some(probe) = probe {
                self.probes.insert(address, probe);
            }
            for group in self.groups.values_mut() {
                for server in group.servers.iter_mut().filter(|s| s.address == address) {
                    server.status = status;
                }
            }
        }
    }

    /// Writes or renews this proxy's heartbeat record; `changed` rewrites it.
    async fn heartbeat(&mut self, changed: bool) {
        if let Some(lease) = self.lease {
            match self.kv.keepalive(lease).await {
                Ok(0) => self.lease = None,
                Ok(_) if !changed => return,
                Ok(_) => {}
                Err(error) => {
                    log::warn!(target: "control", "Heartbeat renewal failed: {error}.");
                    return;
                }
            }
        }
        let lease = match self.lease {
            Some(lease) => lease,
            None => match self.kv.grant(HEARTBEAT_TTL).await {
                Ok(lease) => lease,
                Err(error) => {
                    log::warn!(target: "control", "Heartbeat lease refused: {error}.");
                    return;
                }
            },
        };
        let record = Heartbeat {
            id: &self.config.id,
            dc: &self.config.dc,
            listen: self.listen,
            operator: self.operator,
            bundle_version: self.bundle.as_ref().map_or(0, |bundle| bundle.version),
        };
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let key = keys::proxy(&self.config.id);
        match self.kv.put(&key, &value, Some(lease)).await {
            Ok(_) => self.lease = Some(lease),
            Err(error) => log::warn!(target: "control", "Heartbeat write failed: {error}."),
        }
    }
}

async fn connect(
    address: SocketAddr,
    database: &str,
    user: &str,
    limit: Duration,
) -> Option<tokio_postgres::Client> {
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user(user)
        .dbname(database)
        .connect_timeout(limit);
    let (client, connection) = config.connect(NoTls).await.ok()?;
    tokio::spawn(connection);
    Some(client)
}

async fn status(probe: &tokio_postgres::Client) -> Option<Status> {
    let messages = probe
        .simple_query("SHOW dandelionpitch.status")
        .await
        .ok()?;
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    })?;
    let role = match row.get("role")? {
        "primary" => Role::Primary,
        _ => Role::Replica,
    };
    Some(Status {
        role,
        position: Position {
            term: row.get("term")?.parse().ok()?,
            lsn: row.get("lsn")?.parse().ok()?,
        },
        lag: Duration::from_millis(row.get("lag_ms")?.parse().ok()?),
        read_at: Instant::now(),
    })
}

//! Fake platform that speaks the line protocol: one database group, the store its servers register
//! in, and the promotion API, in one process.
//!
//! It implements the protocol independently of the proxy's codec, so that a bug in that codec
//! cannot cancel itself out in tests.

mod connection;
mod database;
mod http;
mod store;
mod test_api;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rocket::tokio::{net::TcpListener, sync::Notify};

use database::Database;
use store::Store;

/// Configuration of the platform.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub servers: usize,
    /// Number of connections each server accepts.
    pub max_connections: usize,
    /// Time after which a replica applies an entry it has received.
    pub lag: Duration,
    /// Number of replicas that must receive a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// Time a call to the promotion API takes.
    pub promote_call_duration: Duration,
    /// Time from the end of that call to the promotion itself.
    pub promotion_effect_delay: Duration,
    /// Time a primary keeps its role after it first reaches a primary of a higher term.
    pub step_down_delay: Duration,
}

/// Service name of the database group.
pub const SERVICE: &str = "ledger";

/// A statement that a server ran successfully.
#[derive(Clone, Debug)]
pub struct Run {
    /// The client name in `START`.
    pub client: String,
    pub id: String,
    pub at: Instant,
}

/// State of the platform.
#[derive(Debug)]
pub struct Platform {
    pub store: Store,
    pub database: Database,
    /// The operators' last configuration, also kept across restores of the store.
    pub config: Vec<u8>,
    /// The statements that servers ran, in their order.
    pub runs: Vec<Run>,
    /// Fencing tokens of all calls to the promotion API, in the order of the calls.
    pub fencing_tokens: Vec<u64>,
}

/// Handle to the platform, shared by all connections.
#[derive(Clone, Debug)]
pub struct Shared {
    pub platform: Arc<Mutex<Platform>>,
    /// Notified after each update of the platform.
    pub changed: Arc<Notify>,
    pub settings: Settings,
}

impl Shared {
    /// Updates the platform, synchronizes the registrations in the store with the servers, and
    /// wakes all tasks that wait for changes.
    pub fn update<T>(&self, update: impl FnOnce(&mut Platform) -> T) -> T {
        let result = {
            let mut platform = self.platform.lock().expect("platform lock is not poisoned");
            let result = update(&mut platform);
            let Platform {
                store, database, ..
            } = &mut *platform;
            database.register(store);
            result
        };
        self.changed.notify_waiters();
        result
    }
}

/// Runs the platform on `host` until the process ends. Prints the address of its HTTP server on
/// stdout.
pub async fn serve(host: std::net::IpAddr, settings: Settings) -> std::io::Result<()> {
    let mut listeners = Vec::new();
    let mut addrs: Vec<SocketAddr> = Vec::new();
    for _ in 0..settings.servers {
        let listener = TcpListener::bind((host, 0)).await?;
        addrs.push(listener.local_addr()?);
        listeners.push(listener);
    }
    let shared = Shared {
        platform: Arc::new(Mutex::new(Platform {
            store: Store::default(),
            database: Database::new(&addrs, settings),
            config: Vec::new(),
            runs: Vec::new(),
            fencing_tokens: Vec::new(),
        })),
        changed: Arc::default(),
        settings,
    };
    shared.update(|_| ());
    for (index, listener) in listeners.into_iter().enumerate() {
        rocket::tokio::spawn(connection::serve(listener, index, shared.clone()));
    }
    http::serve(host, shared)
        .await
        .map_err(|error| std::io::Error::other(error.to_string()))
}

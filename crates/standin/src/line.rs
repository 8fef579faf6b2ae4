//! The stand-in of a platform that speaks the line protocol: one database group of servers, the
//! store they register in, and the call that promotes one of them, all in one process.
//!
//! It is written from the platform's published protocol, apart from the proxy's own codec, so that
//! the tests do not only show that the codec agrees with itself.

mod connection;
mod database;
mod http;
mod store;
mod test_api;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use rocket::tokio::{net::TcpListener, sync::Notify};

use database::Database;
use store::Store;

/// How the stand-in is set up.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub servers: usize,
    /// How many connections each of them takes.
    pub max_connections: usize,
    /// How late a replica applies what it has received.
    pub lag: Duration,
    /// How many replicas must receive a commit before it is acknowledged.
    pub sync: usize,
    /// How long the call that promotes a server takes.
    pub promote: Duration,
    /// How long after the call a promotion takes effect.
    pub effect: Duration,
    /// How long a primary leads on after it has reached a primary of a later term.
    pub outranked: Duration,
}

/// The name of the one group.
pub const SERVICE: &str = "ledger";

/// Everything the stand-in keeps.
#[derive(Debug)]
pub struct World {
    pub store: Store,
    pub database: Database,
    /// The configuration that was put last.
    pub config: Vec<u8>,
    /// The fencing tokens of the calls for promotions, in their order.
    pub tokens: Vec<u64>,
}

/// The world, shared by all connections, and the signal that it has changed.
#[derive(Clone, Debug)]
pub struct Shared {
    pub world: Arc<Mutex<World>>,
    pub changed: Arc<Notify>,
    pub settings: Settings,
}

impl Shared {
    /// Changes the world and tells all who wait for it.
    pub fn change<T>(&self, change: impl FnOnce(&mut World) -> T) -> T {
        let result = {
            let mut world = self.world.lock().expect("no change panics");
            let result = change(&mut world);
            let World {
                store, database, ..
            } = &mut *world;
            database.register(store);
            result
        };
        self.changed.notify_waiters();
        result
    }
}

/// Serves the stand-in until the process ends; prints its addresses as JSON.
pub async fn serve(host: std::net::IpAddr, settings: Settings) -> std::io::Result<()> {
    let mut listeners = Vec::new();
    let mut addresses: Vec<SocketAddr> = Vec::new();
    for _ in 0..settings.servers {
        let listener = TcpListener::bind((host, 0)).await?;
        addresses.push(listener.local_addr()?);
        listeners.push(listener);
    }
    let shared = Shared {
        world: Arc::new(Mutex::new(World {
            store: Store::default(),
            database: Database::new(&addresses, settings),
            config: Vec::new(),
            tokens: Vec::new(),
        })),
        changed: Arc::default(),
        settings,
    };
    shared.change(|_| ());
    for (index, listener) in listeners.into_iter().enumerate() {
        rocket::tokio::spawn(connection::serve(listener, index, shared.clone()));
    }
    http::serve(host, shared)
        .await
        .map_err(|error| std::io::Error::other(error.to_string()))
}

//! The stand-in database group: servers on loopback that speak PostgreSQL wire protocol through
//! `pgwire`, with terms, log positions, replication with a settable lag, promotion, and faults.
//! Test support; not shipped.

mod connection;
mod fault;
mod incarnation;
mod sql;
mod state;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tokio::net::{TcpListener, TcpStream};

use fault::{Fault, Faults};
use incarnation::Switch;
use state::Group;

/// How often the primary reaches its replicas and they apply what is due.
const REPLICATE_EVERY: Duration = Duration::from_millis(2);
/// How long a restarted server waits before it tries again to listen on its address.
const LISTEN_RETRY: Duration = Duration::from_millis(10);

/// How a stand-in group behaves.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How many servers; the first is primary.
    pub servers: usize,
    /// How late a replica applies what it has received.
    pub lag: Duration,
    /// How many replicas must receive a commit before it is acknowledged.
    pub sync: usize,
    /// How long a promotion takes.
    pub promote: Duration,
}

/// What the connections to all servers of a group share.
#[derive(Debug)]
pub struct Shared {
    settings: Settings,
    group: Mutex<Group>,
    faults: Mutex<Faults>,
    switches: Vec<Switch>,
}

impl Shared {
    fn new(settings: Settings) -> Self {
        Self {
            settings,
            group: Mutex::new(Group::new(settings.servers, settings.lag, settings.sync)),
            faults: Mutex::new(Faults::default()),
            switches: (0..settings.servers).map(|_| Switch::new()).collect(),
        }
    }

    /// Whether a caller in `dc` gets no answer from `server` now, on a connection opened when
    /// there had been `silences`.
    fn blocked(&self, server: usize, dc: &str, silences: u64) -> bool {
        let frozen = self.group.lock().unwrap().frozen(server);
        let faults = self.faults.lock().unwrap();
        frozen || faults.cut(server, dc) || faults.silences(server) > silences
    }

    /// Switches a fault on or off; an unknown server is refused.
    fn set(&self, fault: Fault) -> Result<(), String> {
        if fault.server() >= self.settings.servers {
            return Err(format!("no server {}", fault.server()));
        }
        let mut group = self.group.lock().unwrap();
        let mut faults = self.faults.lock().unwrap();
        match fault {
            Fault::Kill(server) => {
                group.set_up(server, false);
                self.switches[server].kill();
            }
            Fault::Start(server) => {
                group.set_up(server, true);
                self.switches[server].start();
            }
            Fault::Wipe(server) => {
                group.wipe(server);
                group.set_up(server, true);
                self.switches[server].start();
            }
            Fault::Freeze(server) => group.set_frozen(server, true),
            Fault::Thaw(server) => group.set_frozen(server, false),
            Fault::Isolate(server) => group.set_isolated(server, true),
            Fault::Join(server) => group.set_isolated(server, false),
            Fault::Cut(server, dc) => faults.set_cut(server, dc, true),
            Fault::Heal(server, dc) => faults.set_cut(server, dc, false),
            Fault::Silence(server) => faults.silence(server),
            Fault::SlowFence(server, ms) => faults.set_slow_fence(server, ms),
        }
        Ok(())
    }
}

/// Serves a group on `host` until the process ends; prints the servers' addresses on stdout,
/// the first being the primary.
pub async fn serve(host: std::net::IpAddr, settings: Settings) -> std::io::Result<()> {
    let shared = Arc::new(Shared::new(settings));
    let mut addresses: Vec<SocketAddr> = Vec::with_capacity(settings.servers);
    for index in 0..settings.servers {
        let listener = TcpListener::bind((host, 0)).await?;
        addresses.push(listener.local_addr()?);
        tokio::spawn(run(listener, shared.clone(), index));
    }
    let list: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    crate::announce(&list.join(","));
    loop {
        tokio::time::sleep(REPLICATE_EVERY).await;
        shared.group.lock().unwrap().replicate(Instant::now());
    }
}

/// Runs one server through its kills and starts.
async fn run(listener: TcpListener, shared: Arc<Shared>, index: usize) {
    let address = listener.local_addr().expect("a bound listener");
    let switch = &shared.switches[index];
    let mut listener = Some(listener);
    loop {
        if let Some(open) = listener.take() {
            let life = switch.life();
            switch.set_listens(true);
            tokio::select! {
                () = accept(open, &shared, index) => {}
                () = life.ended() => {}
            }
            switch.set_listens(false);
        }
        switch.started().await;
        match TcpListener::bind(address).await {
            Ok(open) => listener = Some(open),
            Err(_) => tokio::time::sleep(LISTEN_RETRY).await,
        }
    }
}

async fn accept(listener: TcpListener, shared: &Arc<Shared>, index: usize) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        tokio::spawn(serve_connection(socket, shared.clone(), index));
    }
}

/// Serves one connection until it ends or the server is killed.
///
/// Failure: a kill is answered before the killed server's connections have noticed it, and one
/// of them answers a statement that was sent after the kill. Guard: a connection looks for the
/// end of its life before it looks for statements, and answers none after it.
async fn serve_connection(socket: TcpStream, shared: Arc<Shared>, index: usize) {
    let _ = socket.set_nodelay(true);
    let life = shared.switches[index].life();
    let handlers = connection::Handlers(connection::Connection::new(shared, index, life.clone()));
    tokio::select! {
        biased;
        () = life.ended() => {}
        _ = pgwire::tokio::process_socket(socket, None, handlers) => {}
    }
}

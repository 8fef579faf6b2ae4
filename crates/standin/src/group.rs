//! Fake database group for tests: servers that speak the PostgreSQL wire protocol through `pgwire`,
//! with terms, log positions, replication with a configurable lag, promotion and fault injection.

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
use incarnation::Lifecycle;
use state::Group;

/// Interval at which primaries replicate and replicas apply entries older than their lag.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(2);
/// Delay between attempts of a restarted server to bind its address.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Configuration of a group.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of servers; the first is the initial primary.
    pub servers: usize,
    /// Time after which a replica applies an entry.
    pub lag: Duration,
    /// Number of replicas that must receive a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// Time a promotion takes.
    pub promotion_delay: Duration,
}

/// State shared by all connections to all servers of a group.
#[derive(Debug)]
pub struct Shared {
    settings: Settings,
    group: Mutex<Group>,
    faults: Mutex<Faults>,
    lifecycles: Vec<Lifecycle>,
}

impl Shared {
    fn new(settings: Settings) -> Self {
        Self {
            settings,
            group: Mutex::new(Group::new(
                settings.servers,
                settings.lag,
                settings.sync_replicas,
            )),
            faults: Mutex::new(Faults::default()),
            lifecycles: (0..settings.servers).map(|_| Lifecycle::new()).collect(),
        }
    }

    /// Whether `server` must not answer a caller in data centre `dc`. `silence_count` is the number
    /// of `silence` faults the server had received when the caller's connection was opened.
    fn is_blocked(&self, server: usize, dc: &str, silence_count: u64) -> bool {
        let frozen = self.group.lock().unwrap().is_frozen(server);
        let faults = self.faults.lock().unwrap();
        frozen || faults.is_partitioned(server, dc) || faults.silence_count(server) > silence_count
    }

    /// Applies a fault, or returns an error if its server does not exist.
    fn apply_fault(&self, fault: Fault) -> Result<(), String> {
        if fault.server() >= self.settings.servers {
            return Err(format!("server {} does not exist", fault.server()));
        }
        let mut group = self.group.lock().unwrap();
        let mut faults = self.faults.lock().unwrap();
        match fault {
            Fault::Kill(server) => {
                group.set_running(server, false);
                self.lifecycles[server].kill();
            }
            Fault::Start(server) => {
                group.set_running(server, true);
                self.lifecycles[server].start();
            }
            Fault::Wipe(server) => {
                group.wipe(server);
                group.set_running(server, true);
                self.lifecycles[server].start();
            }
            Fault::Freeze(server) => group.set_frozen(server, true),
            Fault::Thaw(server) => group.set_frozen(server, false),
            Fault::Isolate(server) => group.set_isolated(server, true),
            Fault::Rejoin(server) => group.set_isolated(server, false),
            Fault::Partition(server, dc) => faults.set_partitioned(server, dc, true),
            Fault::Heal(server, dc) => faults.set_partitioned(server, dc, false),
            Fault::Silence(server) => faults.silence(server),
            Fault::SlowFence(server, ms) => faults.set_fence_delay(server, ms),
        }
        Ok(())
    }
}

/// Runs a group on `host` until the process ends. Prints the servers' addresses on stdout,
/// separated by commas, the initial primary first.
pub async fn serve(host: std::net::IpAddr, settings: Settings) -> std::io::Result<()> {
    let shared = Arc::new(Shared::new(settings));
    let mut addrs: Vec<SocketAddr> = Vec::with_capacity(settings.servers);
    for index in 0..settings.servers {
        let listener = TcpListener::bind((host, 0)).await?;
        addrs.push(listener.local_addr()?);
        tokio::spawn(run(listener, shared.clone(), index));
    }
    let addr_list: Vec<String> = addrs.iter().map(SocketAddr::to_string).collect();
    crate::announce(&addr_list.join(","));
    loop {
        tokio::time::sleep(REPLICATION_INTERVAL).await;
        shared.group.lock().unwrap().replicate(Instant::now());
    }
}

/// Accepts connections for one server while it is running, across kills and restarts.
async fn run(listener: TcpListener, shared: Arc<Shared>, index: usize) {
    let addr = listener
        .local_addr()
        .expect("bound listener has an address");
    let lifecycle = &shared.lifecycles[index];
    let mut listener = Some(listener);
    loop {
        if let Some(open) = listener.take() {
            let incarnation = lifecycle.incarnation();
            lifecycle.set_listening(true);
            tokio::select! {
                () = accept(open, &shared, index) => {}
                () = incarnation.wait_ended() => {}
            }
            lifecycle.set_listening(false);
        }
        lifecycle.wait_started().await;
        match TcpListener::bind(addr).await {
            Ok(open) => listener = Some(open),
            Err(_) => tokio::time::sleep(LISTEN_RETRY_DELAY).await,
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

/// Serves one connection until it closes or the server is killed.
///
/// The `select!` is biased so that a connection checks for a kill before it reads a statement:
/// otherwise it could answer a statement sent after the kill was acknowledged.
async fn serve_connection(socket: TcpStream, shared: Arc<Shared>, index: usize) {
    let _ = socket.set_nodelay(true);
    let incarnation = shared.lifecycles[index].incarnation();
    let handlers = connection::Handlers(connection::Connection::new(
        shared,
        index,
        incarnation.clone(),
    ));
    tokio::select! {
        biased;
        () = incarnation.wait_ended() => {}
        _ = pgwire::tokio::process_socket(socket, None, handlers) => {}
    }
}

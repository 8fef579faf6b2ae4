//! The stand-in database group: servers on loopback that speak PostgreSQL wire protocol through
//! `pgwire`, with terms, log positions, asynchronous replication with a settable lag, and
//! promotion. Test support; not shipped.

mod server;
mod sql;
mod state;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tokio::net::TcpListener;

use state::Group;

/// How often the replicas copy what is due from the primary's log.
const REPLICATE_EVERY: Duration = Duration::from_millis(2);

/// Serves a group of `count` servers on `host` until the process ends; prints their
/// addresses on stdout, the first being the primary.
pub async fn serve(host: std::net::IpAddr, count: usize, lag: Duration) -> std::io::Result<()> {
    let group = Arc::new(Mutex::new(Group::new(count, lag)));
    let mut addresses: Vec<SocketAddr> = Vec::with_capacity(count);
    for index in 0..count {
        let listener = TcpListener::bind((host, 0)).await?;
        addresses.push(listener.local_addr()?);
        tokio::spawn(accept(listener, group.clone(), index));
    }
    let list: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    crate::announce(&list.join(","));
    loop {
        tokio::time::sleep(REPLICATE_EVERY).await;
        group.lock().unwrap().replicate(Instant::now());
    }
}

async fn accept(listener: TcpListener, group: Arc<Mutex<Group>>, index: usize) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        let _ = socket.set_nodelay(true);
        let handlers = server::Handlers(server::Connection::new(group.clone(), index));
        tokio::spawn(pgwire::tokio::process_socket(socket, None, handlers));
    }
}

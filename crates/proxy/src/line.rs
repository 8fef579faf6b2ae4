//! The proxy for callers and backend servers that speak the line protocol (`docs/PLATFORM.md`). It
//! has one thread for control state and one for traffic.
//!
//! [`traffic`] handles callers' sessions and runs their statements, [`group`] decides which servers
//! may run a statement, and [`backend::pool`] manages the connections to them. [`control`] tracks
//! the configuration, the servers and the other proxies, and publishes them as a [`view`].

pub mod backend;
pub mod breakers;
pub mod clock;
pub mod control;
pub mod group;
pub mod isolation;
pub mod journal;
pub mod load;
pub mod mirror;
pub mod operator;
pub mod peers;
pub mod quota;
pub mod reachability;
pub mod records;
pub mod restart;
pub mod shared;
pub mod stop;
pub mod traffic;
pub mod view;

use std::{cell::RefCell, rc::Rc, sync::Arc};

use dandelionpitch_engine::{feed::Budget, isolation::Isolation, ownership, planner::Planner};
use tokio::{net::TcpListener, sync::watch, task::LocalSet};

use self::{
    control::{state::PeerEndpoint, thread},
    shared::Shared,
    traffic::{origin::Origin, session},
    view::View,
};
use crate::{
    config::{Config, Line},
    error::Error,
    metrics::Metrics,
};

/// Runs the proxy until it has shut down gracefully.
pub fn run(config: Config, line: Line) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Listen)?;
    LocalSet::new().block_on(&runtime, serve(config, line))
}

async fn serve(config: Config, line: Line) -> Result<(), Error> {
    let started_at = clock::now();
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(Error::Listen)?;
    let listen = listener.local_addr().map_err(Error::Listen)?;
    let peers = listen_for_peers(&line).await?;
    let peer = PeerEndpoint {
        address: match &peers {
            Some(peers) => Some(peers.local_addr().map_err(Error::Listen)?),
            None => None,
        },
        capacity: ownership::capacity(line.cores, line.link_mbps),
    };
    let (publish, view) = watch::channel(Arc::new(View::default()));
    let metrics = Metrics::default();
    let stop = stop::Stop::new(line.grace);
    let (publish_isolation, isolation) = watch::channel(Isolation::default());
    let (records, responder) = records::channel();
    let (publish_loads, loads) = watch::channel(Vec::new());
    let budget = Budget::new(line.config_within);
    let mirror = mirror::Handle::new(budget.max_relay_age);
    let endpoint = operator::Context {
        id: config.id.clone(),
        dc: config.dc.clone(),
        view: view.clone(),
        isolation: isolation.clone(),
        stopping: stop.shutdown_token(),
        metrics: metrics.clone(),
        mirror: mirror.clone(),
        loads,
    };
    let observers = restart::Observers::default();
    let channels = thread::Channels {
        publish,
        responder,
        observers: observers.clone(),
        mirror: mirror.clone(),
    };
    let operator = thread::spawn(&config, &line, peer, channels, endpoint)?;
    let operator = operator
        .await
        .map_err(|_| Error::Listen(std::io::Error::other("operator endpoint did not start")))?;
    crate::announce::print_addresses(listen, operator);
    journal::start();
    journal::process("start", &config.id, &listen.to_string());
    let failure_signal = reachability::FailureSignal::default();
    let shared = Rc::new(Shared {
        id: config.id.clone(),
        dc: config.dc.clone(),
        started_at,
        start_wait: line.start_wait,
        breakers: breakers::Breakers::new(line.try_other_owners),
        view: view.clone(),
        groups: RefCell::default(),
        peers: peers::Peers::default(),
        planner: RefCell::new(Planner::new(&config.id, &config.dc)),
        metrics,
        stop: stop.clone(),
        isolation,
        failure_signal: failure_signal.clone(),
        observers,
        records,
        replica_lag: line.replica_lag,
        quota: quota::Quota::new(&config.id, line.tolerance()),
        idle_transactions: line.idle_transactions,
        mirror,
        open_count: Rc::default(),
    });
    let isolation_check = isolation::run(shared.clone(), failure_signal, publish_isolation);
    tokio::task::spawn_local(isolation_check);
    tokio::task::spawn_local(shared.clone().apply_views(view));
    tokio::task::spawn_local(quota::run(shared.clone()));
    tokio::task::spawn_local(load::run(shared.clone(), publish_loads));
    tokio::task::spawn_local(stop::watch_settings(config.clone()));
    if let Some(listener) = peers {
        tokio::task::spawn_local(accept_peers(listener, shared.clone()));
    }
    accept(&listener, &shared, &stop).await?;
    drop(listener);
    stop.drain(shared.open_count.clone()).await;
    journal::process("stop", &config.id, &listen.to_string());
    journal::flush();
    Ok(())
}

/// Accepts callers until the process is shutting down and the load balancer no longer sends new ones.
async fn accept(
    listener: &TcpListener,
    shared: &Rc<Shared>,
    stop: &stop::Stop,
) -> Result<(), Error> {
    let mut closed = std::pin::pin!(stop.clone().wait_for_listener_close());
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => session::spawn(stream, shared.clone(), Origin::Caller),
                Err(error) => {
                    // No file descriptor left, or the caller disconnected before it was accepted.
                    journal::trouble("accept", &error.to_string());
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            closed = &mut closed => return closed,
        }
    }
}

/// Binds the listener for other proxies, if one is configured.
async fn listen_for_peers(line: &Line) -> Result<Option<TcpListener>, Error> {
    match line.peer {
        Some(address) => {
            let listener = TcpListener::bind(address).await;
            listener.map(Some).map_err(Error::Listen)
        }
        None => Ok(None),
    }
}

/// Accepts other proxies until the process exits: they keep forwarding statements to this one until
/// they learn that it is shutting down.
async fn accept_peers(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => session::spawn(stream, shared.clone(), Origin::Peer),
            Err(error) => {
                journal::trouble("accept", &error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// The delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
pub const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(10);

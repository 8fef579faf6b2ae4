//! Start-up and shutdown of the proxy: listeners, the control thread, the traffic runtime.
//!
//! On SIGTERM or SIGINT, the proxy reports itself as not ready to the load balancer and closes the
//! caller listener. Idle sessions are closed at once. Other sessions are closed when their request
//! is answered and their transaction has ended, or after the setting `drain_limit`.

use std::{
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use tokio::{net::TcpListener, signal::unix, sync::watch};
use tokio_util::sync::CancellationToken;

use crate::{
    config::Config,
    control,
    error::Error,
    line,
    metrics::Metrics,
    operator,
    session::{Handlers, Session, Shared},
    view::View,
};

/// How often a stopping proxy checks whether a session is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Runs the proxy until SIGTERM or SIGINT.
pub fn run(config: Config) -> Result<(), Error> {
    if let Some(line) = config.line.clone() {
        return line::run(config, line);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .build()
        .map_err(Error::Listen)?;
    runtime.block_on(serve(config))
}

async fn serve(config: Config) -> Result<(), Error> {
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(Error::Listen)?;
    let listen = listener.local_addr().map_err(Error::Listen)?;
    let (view_tx, view) = watch::channel(Arc::new(View::default()));
    let metrics = Metrics::default();
    let stopping = CancellationToken::new();
    let (address_tx, operator_address) = tokio::sync::oneshot::channel();
    tokio::spawn(operator::serve(
        config.operator_listen,
        config.id.clone(),
        config.dc.clone(),
        view.clone(),
        metrics.clone(),
        stopping.clone(),
        address_tx,
    ));
    let operator_address = operator_address
        .await
        .map_err(|_| Error::Listen(std::io::Error::other("operator endpoint did not start")))?;
    let addresses = control::Addresses {
        listen,
        operator: operator_address,
    };
    let acquire_timeout = config.backend.pool_wait;
    let status_timeout = config.backend.status_timeout;
    let drain_limit = config.drain_limit;
    control::spawn(config, addresses, metrics.clone(), view_tx);
    crate::announce::print_addresses(listen, operator_address);
    log::info!(
        target: "daemon",
        "Listening for callers on {listen} and for operators on {operator_address}."
    );
    let shared = Arc::new(Shared {
        view,
        metrics,
        acquire_timeout,
        status_timeout,
    });
    let open_sessions = Arc::new(AtomicUsize::new(0));
    let mut sigterm = unix::signal(unix::SignalKind::terminate()).map_err(Error::Listen)?;
    let mut accepts = true;
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let socket = match accepted {
                    Ok((socket, _)) => socket,
                    Err(error) => {
                        // No file descriptor left, or the caller disconnected before it was accepted.
                        if std::mem::replace(&mut accepts, false) {
                            log::warn!(target: "daemon", "Could not accept a caller: {error}.");
                        }
                        tokio::time::sleep(line::ACCEPT_RETRY_DELAY).await;
                        continue;
                    }
                };
                accepts = true;
                let _ = socket.set_nodelay(true);
                let session = Session::new(shared.clone());
                let (open_sessions, stopping) = (open_sessions.clone(), stopping.clone());
                open_sessions.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(async move {
                    let handlers = Handlers(session.clone());
                    tokio::select! {
                        _ = pgwire::tokio::process_socket(socket, None, handlers) => {}
                        () = wait_until_closable(&session, &stopping) => {}
                    }
                    open_sessions.fetch_sub(1, Ordering::SeqCst);
                });
            }
            _ = sigterm.recv() => break,
            _ = tokio::signal::ctrl_c() => break,
        }
    }
    drop(listener);
    stopping.cancel();
    drain(&open_sessions, drain_limit).await;
    Ok(())
}

/// Returns once the proxy is stopping and the session is idle.
async fn wait_until_closable(session: &Session, stopping: &CancellationToken) {
    stopping.cancelled().await;
    while !session.is_idle() {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
    }
}

/// Waits until all sessions are closed, for at most `limit`.
async fn drain(open_sessions: &AtomicUsize, limit: Duration) {
    log::info!(
        target: "daemon", "Stopping; {} sessions open.", open_sessions.load(Ordering::SeqCst)
    );
    let deadline = Instant::now() + limit;
    while open_sessions.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
    }
    log::info!(
        target: "daemon", "Stopped; {} sessions still open.", open_sessions.load(Ordering::SeqCst)
    );
}

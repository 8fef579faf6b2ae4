//! Start-up and stop of the proxy: listeners, the control thread, the traffic runtime.
//!
//! A planned stop (SIGTERM or SIGINT) reports not ready to the balancer and closes the caller
//! listener. Sessions at rest are closed at once; a request in progress gets its whole answer
//! and an open transaction its end first, up to the setting `drain_limit`.

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

/// How often a stopping proxy looks whether a session has come to rest.
const LOOK_AGAIN: Duration = Duration::from_millis(10);

/// Runs the proxy until a planned stop.
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
    let (publish, view) = watch::channel(Arc::new(View::default()));
    let metrics = Metrics::default();
    let stopping = CancellationToken::new();
    let (bound, operator_address) = tokio::sync::oneshot::channel();
    tokio::spawn(operator::serve(
        config.operator_listen,
        config.id.clone(),
        config.dc.clone(),
        view.clone(),
        metrics.clone(),
        stopping.clone(),
        bound,
    ));
    let operator_address = operator_address
        .await
        .map_err(|_| Error::Listen(std::io::Error::other("operator endpoint did not start")))?;
    let addresses = control::Addresses {
        listen,
        operator: operator_address,
    };
    let patience = config.backend.pool_wait;
    let check_limit = config.backend.status_timeout;
    let drain_limit = config.drain_limit;
    control::spawn(config, addresses, metrics.clone(), publish);
    crate::announce::print_addresses(listen, operator_address);
    log::info!(target: "daemon", "Listening for callers on {listen}, operators on {operator_address}.");
    let shared = Arc::new(Shared {
        view,
        metrics,
        patience,
        check_limit,
    });
    let open = Arc::new(AtomicUsize::new(0));
    let mut stop = unix::signal(unix::SignalKind::terminate()).map_err(Error::Listen)?;
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((socket, _)) = accepted else { continue };
                let _ = socket.set_nodelay(true);
                let session = Session::new(shared.clone());
                let (open, stopping) = (open.clone(), stopping.clone());
                open.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(async move {
                    let handlers = Handlers(session.clone());
                    tokio::select! {
                        _ = pgwire::tokio::process_socket(socket, None, handlers) => {}
                        () = retire(&session, &stopping) => {}
                    }
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
            _ = stop.recv() => break,
            _ = tokio::signal::ctrl_c() => break,
        }
    }
    drop(listener);
    stopping.cancel();
    drain(&open, drain_limit).await;
    Ok(())
}

/// Returns once the proxy is stopping and the session is at rest.
async fn retire(session: &Session, stopping: &CancellationToken) {
    stopping.cancelled().await;
    while !session.at_rest() {
        tokio::time::sleep(LOOK_AGAIN).await;
    }
}

async fn drain(open: &AtomicUsize, limit: Duration) {
    log::info!(target: "daemon", "Stopping; {} sessions open.", open.load(Ordering::SeqCst));
    let deadline = Instant::now() + limit;
    while open.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
        tokio::time::sleep(LOOK_AGAIN).await;
    }
    log::info!(target: "daemon", "Stopped; {} sessions left.", open.load(Ordering::SeqCst));
}

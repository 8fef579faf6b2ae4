//! The operator HTTP endpoint: status, readiness and metrics.

use std::{net::SocketAddr, sync::Arc};

use rocket::{get, http::Status, routes, serde::json::Json, State};
use serde::Serialize;
use tokio::sync::{oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::{
    metrics::{Metrics, Sample},
    view::View,
};

/// The body of `GET /status`.
#[derive(Debug, Serialize)]
pub struct Report {
    pub id: String,
    pub dc: String,
    pub bundle_version: u64,
    /// The number of live proxies known to this one, including itself.
    pub members: usize,
    pub groups: Vec<GroupReport>,
}

/// One group in the status report.
#[derive(Debug, Serialize)]
pub struct GroupReport {
    pub name: String,
    pub primary: Option<SocketAddr>,
    /// Whether this proxy polls the status of the group's servers.
    pub watched: bool,
    pub servers: Vec<ServerReport>,
}

/// One server in the status report.
#[derive(Debug, Serialize)]
pub struct ServerReport {
    pub address: SocketAddr,
    /// Whether the applied bundle lists the server. An unlisted one still counts towards the
    /// promotion quorum.
    pub listed: bool,
    pub role: Option<String>,
    pub position: Option<String>,
    pub lag_ms: Option<u128>,
}

struct Context {
    stopping: CancellationToken,
    id: String,
    dc: String,
    view: watch::Receiver<Arc<View>>,
    metrics: Metrics,
}

#[get("/status")]
fn status(context: &State<Context>) -> Json<Report> {
    let view = context.view.borrow().clone();
    let now = std::time::Instant::now();
    let groups = view
        .groups
        .iter()
        .map(|(name, group)| GroupReport {
            name: name.clone(),
            watched: group.watched,
            primary: group.primary(now).map(|index| group.servers[index].address),
            servers: group
                .servers
                .iter()
                .map(|server| ServerReport {
                    address: server.address,
                    listed: server.listed,
                    role: server
                        .status
                        .get()
                        .map(|s| format!("{:?}", s.role).to_lowercase()),
                    position: server.status.get().map(|s| s.position.to_string()),
                    lag_ms: server.status.get().map(|s| s.lag.as_millis()),
                })
                .collect(),
        })
        .collect();
    Json(Report {
        id: context.id.clone(),
        dc: context.dc.clone(),
        bundle_version: view.bundle.as_ref().map_or(0, |bundle| bundle.version),
        members: view.members,
        groups,
    })
}

/// Whether the load balancer should send new connections to this proxy: it has applied a bundle and
/// is not stopping. A proxy that loses its connection to the key-value store stays ready.
#[get("/ready")]
fn ready(context: &State<Context>) -> Status {
    let has_bundle = context.view.borrow().bundle.is_some();
    match has_bundle && !context.stopping.is_cancelled() {
        true => Status::Ok,
        false => Status::ServiceUnavailable,
    }
}

#[get("/metrics")]
fn metrics(context: &State<Context>) -> Json<Vec<Sample>> {
    Json(context.metrics.samples())
}

/// The `rocket` configuration of an operator endpoint. The daemon itself handles signals and logs.
pub fn figment(address: SocketAddr) -> rocket::figment::Figment {
    rocket::Config::figment()
        .merge(("address", address.ip()))
        .merge(("port", address.port()))
        .merge(("log_level", "off"))
        .merge(("cli_colors", false))
        .merge(("shutdown.ctrlc", false))
        .merge(("shutdown.signals", Vec::<String>::new()))
}

/// Sends the bound address once the endpoint listens.
pub fn report_bound_address(address_tx: oneshot::Sender<SocketAddr>) -> rocket::fairing::AdHoc {
    let address_tx = std::sync::Mutex::new(Some(address_tx));
    rocket::fairing::AdHoc::on_liftoff("bound", move |rocket| {
        let config = rocket.config();
        let address = SocketAddr::new(config.address, config.port);
        if let Some(address_tx) = address_tx.lock().unwrap().take() {
            // The receiver is gone if the daemon stops during start-up.
            let _ = address_tx.send(address);
        }
        Box::pin(async {})
    })
}

/// Serves the operator endpoint until shutdown, and sends the bound address once it listens.
pub async fn serve(
    address: SocketAddr,
    id: String,
    dc: String,
    view: watch::Receiver<Arc<View>>,
    metrics: Metrics,
    stopping: CancellationToken,
    address_tx: oneshot::Sender<SocketAddr>,
) -> Result<(), rocket::Error> {
    let _ = rocket::custom(figment(address))
        .manage(Context {
            stopping,
            id,
            dc,
            view,
            metrics,
        })
        .mount("/", routes![status, ready, metrics])
        .attach(report_bound_address(address_tx))
        .launch()
        .await?;
    Ok(())
}

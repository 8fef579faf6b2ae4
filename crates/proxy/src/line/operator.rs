//! The operators' HTTP endpoint: readiness, status and metrics.

use std::{net::SocketAddr, sync::Arc};

use dandelionpitch_engine::isolation::Isolation;
use dandelionpitch_engine::ownership::Plan;
use rocket::{get, http::Status, routes, serde::json::Json, State};
use serde::Serialize;
use tokio::sync::{oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::{
    line::{clock, journal, mirror, view::View},
    metrics::Metrics,
    operator,
};

/// What `GET /status` answers.
#[derive(Debug, Serialize)]
pub struct Report {
    pub id: String,
    pub dc: String,
    /// The version of the configuration in force.
    pub version: u64,
    /// Live proxies, this one included.
    pub members: usize,
    /// The groups whose connections this proxy holds, for itself or for others as well.
    pub owns: Vec<String>,
    pub servers: Vec<ServerReport>,
    /// Who tells this proxy what changes in the store, and how old that may be.
    pub changes: mirror::Report,
    /// Log lines left out because standard output was not read.
    pub log_lines_dropped: u64,
}

/// One backend server in the status report.
#[derive(Debug, Serialize)]
pub struct ServerReport {
    pub id: String,
    /// When its present life started, in Unix milliseconds; 0 if it does not say.
    pub born: u64,
    pub service: String,
    pub address: SocketAddr,
    pub leaving: bool,
    pub missing: bool,
}

/// What the endpoint reads.
pub struct Context {
    pub id: String,
    pub dc: String,
    pub view: watch::Receiver<Arc<View>>,
    pub isolated: watch::Receiver<Isolation>,
    pub stopping: CancellationToken,
    pub metrics: Metrics,
    pub mirror: mirror::Handle,
}

/// Whether the balancer should send new callers: a configuration is in force, the process is not
/// stopping and not cut off with its data centre. A proxy that has lost only the store stays ready.
#[get("/ready")]
fn ready(context: &State<Context>) -> Status {
    let serves = context.view.borrow().catalog.is_some();
    let isolated = context.isolated.borrow().is_isolated(clock::now());
    match serves && !isolated && !context.stopping.is_cancelled() {
        true => Status::Ok,
        false => Status::ServiceUnavailable,
    }
}

#[get("/status")]
fn status(context: &State<Context>) -> Json<Report> {
    let view = context.view.borrow().clone();
    let servers = view.servers.values().flatten().map(|entry| ServerReport {
        id: entry.server.incarnation.id.clone(),
        born: entry.server.incarnation.born,
        service: entry.server.service.clone(),
        address: entry.server.address,
        leaving: entry.server.leaving,
        missing: entry.missing_since.is_some(),
    });
    Json(Report {
        id: context.id.clone(),
        dc: context.dc.clone(),
        version: view.version(),
        members: view.proxy_count,
        owns: owned(&view),
        servers: servers.collect(),
        changes: context.mirror.report(),
        log_lines_dropped: journal::dropped(),
    })
}

fn owned(view: &View) -> Vec<String> {
    let own = view.ownership.iter();
    let own = own.filter(|(_, ownership)| ownership.plan == Plan::Run);
    let mut names: Vec<String> = own.map(|(name, _)| name.clone()).collect();
    names.sort_unstable();
    names
}

#[get("/metrics")]
fn metrics(context: &State<Context>) -> String {
    let changes = context.mirror.report();
    context.metrics.changes_age(changes.age_ms);
    context.metrics.store_era(changes.era);
    context.metrics.log_lines_dropped(journal::dropped());
    context.metrics.text()
}

/// Builds an endpoint that serves nothing but the counters.
pub fn metrics_only(address: SocketAddr, metrics: Metrics) -> rocket::Rocket<rocket::Build> {
    rocket::custom(operator::figment(address))
        .manage(metrics)
        .mount("/", routes![counters])
}

#[get("/metrics")]
fn counters(metrics: &State<Metrics>) -> String {
    metrics.log_lines_dropped(journal::dropped());
    metrics.text()
}

/// Builds the endpoint; it serves once launched.
pub fn build(
    address: SocketAddr,
    context: Context,
    bound: oneshot::Sender<SocketAddr>,
) -> rocket::Rocket<rocket::Build> {
    rocket::custom(operator::figment(address))
        .manage(context)
        .mount("/", routes![ready, status, metrics])
        .attach(operator::tell_bound(bound))
}

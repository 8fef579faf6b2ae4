//! The HTTP endpoint for operators: readiness, status and metrics.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dandelionpitch_engine::{
    account::Directory, isolation::Isolation, planner::Planner, registry::Entry,
};
use rocket::{get, http::Status, routes, serde::json::Json, State};
use serde::Serialize;
use tokio::sync::{oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::{
    line::{
        clock, journal, load, mirror,
        recovery::{Outage, Outages},
        view::View,
    },
    metrics::Metrics,
    operator,
};

/// The response to `GET /status`.
#[derive(Debug, Serialize)]
pub struct Report {
    pub id: String,
    pub dc: String,
    /// The version of the configuration in force.
    pub version: u64,
    /// How many proxies share the servers, including this one.
    pub members: usize,
    /// The groups whose statements this proxy runs on connections of its own.
    pub owns: Vec<String>,
    pub servers: Vec<ServerReport>,
    /// The groups that have no primary as far as this proxy knows, if its statements wait for one.
    pub without_primary: Vec<OutageReport>,
    /// What this proxy's own connections are used for, of the groups that have any load.
    pub loads: Vec<load::Report>,
    /// The client accounts and their limits, without their keys.
    pub accounts: Vec<AccountReport>,
    /// Where this proxy gets changes of the store, and how stale its copy is.
    pub changes: mirror::Report,
    /// Log lines dropped because standard output was not read fast enough.
    pub log_lines_dropped: u64,
}

/// One group without a primary in the status report.
#[derive(Debug, Serialize)]
pub struct OutageReport {
    pub service: String,
    pub lasted_ms: u64,
    /// When a primary is expected; `None` if that cannot be told.
    pub expected_in_ms: Option<u64>,
    /// The statements that wait for it, as of the last search for it.
    pub waiting: usize,
}

/// One client account in the status report; its limit is for all proxies together.
#[derive(Debug, Serialize)]
pub struct AccountReport {
    pub name: String,
    pub rate_per_second: f64,
    pub burst: f64,
}

/// One backend server in the status report.
#[derive(Debug, Serialize)]
pub struct ServerReport {
    pub id: String,
    /// When its current incarnation started, in Unix milliseconds; 0 if unknown.
    pub born: u64,
    pub service: String,
    pub address: SocketAddr,
    pub leaving: bool,
    pub missing: bool,
}

/// The state that the endpoint reports.
pub struct Context {
    pub id: String,
    pub dc: String,
    pub view: watch::Receiver<Arc<View>>,
    pub isolation: watch::Receiver<Isolation>,
    pub outages: watch::Receiver<Outages>,
    pub stopping: CancellationToken,
    pub metrics: Metrics,
    pub mirror: mirror::Handle,
    pub loads: watch::Receiver<Vec<load::Report>>,
}

/// Whether the load balancer should send new callers: a configuration is in force, the process is not
/// stopping, and its data centre is not partitioned. A proxy that has lost only the store stays ready.
#[get("/ready")]
fn ready(context: &State<Context>) -> Status {
    let has_configuration = context.view.borrow().catalog.is_some();
    let isolated = context.isolation.borrow().is_isolated(clock::now());
    match has_configuration && !isolated && !context.stopping.is_cancelled() {
        true => Status::Ok,
        false => Status::ServiceUnavailable,
    }
}

#[get("/status")]
fn status(context: &State<Context>) -> Json<Report> {
    let view = context.view.borrow().clone();
    let entries = view.servers.values().flat_map(|entries| entries.iter());
    let is_configured = |entry: &&Entry| view.limits(&entry.server.service).is_some();
    let servers = entries.filter(is_configured).map(|entry| ServerReport {
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
        owns: owned_groups(&view, context),
        servers: servers.collect(),
        without_primary: outages(&context.outages.borrow()),
        loads: context.loads.borrow().clone(),
        accounts: accounts(&view),
        changes: context.mirror.report(),
        log_lines_dropped: journal::dropped(),
    })
}

fn outages(outages: &Outages) -> Vec<OutageReport> {
    let now = clock::now();
    let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let report = |(service, outage): (&String, &Outage)| OutageReport {
        service: service.clone(),
        lasted_ms: millis(now.since(outage.started)),
        expected_in_ms: outage.expected_end.map(|end| millis(now.until(end))),
        waiting: outage.waiting,
    };
    outages.iter().map(report).collect()
}

fn accounts(view: &View) -> Vec<AccountReport> {
    let catalog = view.catalog.iter();
    let accounts = catalog.flat_map(|catalog| &catalog.accounts);
    let reports = accounts
        .flat_map(Directory::iter)
        .map(|account| AccountReport {
            name: account.name.clone(),
            rate_per_second: account.limit.rate,
            burst: account.limit.burst,
        });
    let mut reports: Vec<AccountReport> = reports.collect();
    reports.sort_unstable_by(|a, b| a.name.cmp(&b.name));
    reports
}

fn owned_groups(view: &View, context: &Context) -> Vec<String> {
    let mut planner = Planner::new(&context.id, &context.dc);
    planner.update(&view.peers, view.proxy_count, |name| view.limits(name));
    let services = view.catalog.iter().flat_map(|c| c.services.keys());
    let mut names: Vec<String> = services.cloned().collect();
    names.retain(|name| {
        let limits = view.limits(name);
        limits.is_some_and(|limits| planner.ownership(name, limits).plan.runs())
    });
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

/// Builds an endpoint that serves only the metrics.
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

/// Builds the endpoint, which serves once launched and then sends its listening address to `bound`.
pub fn build(
    address: SocketAddr,
    context: Context,
    bound: oneshot::Sender<SocketAddr>,
) -> rocket::Rocket<rocket::Build> {
    rocket::custom(operator::figment(address))
        .manage(context)
        .mount("/", routes![ready, status, metrics])
        .attach(operator::report_bound_address(bound))
}

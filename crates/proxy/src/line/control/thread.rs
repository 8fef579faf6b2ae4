//! Starts the control thread and the tasks on it.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use dandelionpitch_engine::{
    feed::{Budget, Subscription},
    registry::Registry,
    seed::{self, Search},
    time::Moment,
};
use dandelionpitch_platform::{
    promoter::Promoter,
    store::{Store, Value},
};
use tokio::{
    sync::{mpsc, oneshot, watch, Notify},
    task::LocalSet,
};

use crate::{
    config::{Config, Line},
    error::Error,
    line::{
        clock,
        control::{
            election, failover, follow, heartbeat, observation, record_lookup,
            state::{Control, PeerEndpoint},
        },
        journal,
        mirror::Handle,
        operator,
        records::{Request, Responder},
        restart::Observers,
        view::View,
    },
};

/// What the control thread shares with the traffic thread.
pub struct Channels {
    pub publish: watch::Sender<Arc<View>>,
    pub responder: Responder,
    pub observers: Observers,
    pub mirror: Handle,
}

/// Starts the control thread, which runs until the process ends. The returned receiver gets the address
/// of the operator endpoint once it listens.
pub fn spawn(
    config: &Config,
    line: &Line,
    peer: PeerEndpoint,
    channels: Channels,
    endpoint: operator::Context,
) -> Result<oneshot::Receiver<SocketAddr>, Error> {
    let started_at = clock::now();
    let Channels {
        publish,
        responder,
        observers,
        mirror,
    } = channels;
    let store = Store::new(&config.kv)?;
    let (metrics, stopping) = (endpoint.metrics.clone(), endpoint.stopping.clone());
    let (bound, address) = oneshot::channel();
    let endpoint = operator::build(config.operator_listen, endpoint, bound);
    let metrics_endpoint = line
        .metrics
        .map(|address| operator::metrics_only(address, metrics.clone()));
    let promoter = Promoter::new(&format!("http://{}", line.promoter));
    let (id, dc) = (config.id.clone(), config.dc.clone());
    let has_quotas = line.has_quotas();
    let seeds = Search::new(&line.seeds, peer.address, &config.id);
    let (budget, promotions_per_second) =
        (Budget::new(line.config_within), line.promotions_per_second);
    let start = move || {
        let mut registry = Registry::default();
        registry.note_synced(Moment::default());
        let subscription = RefCell::new(Subscription::new(&[], &id, &dc));
        let control = Rc::new(Control {
            name: format!("{id}@{}", started_at.millis()),
            started_at,
            id,
            dc,
            peer,
            budget,
            metrics,
            stopping,
            store: RefCell::new(store),
            promoter,
            election: RefCell::default(),
            vacated: Notify::default(),
            elected: Notify::default(),
            active_attempts: Cell::default(),
            registry: RefCell::new(registry),
            records: RefCell::default(),
            catalog: RefCell::default(),
            members: RefCell::default(),
            has_quotas,
            predecessor: Cell::default(),
            is_unconfirmed: Cell::default(),
            store_state: watch::Sender::new(seed::Store::Asked(started_at)),
            invalid_registrations: RefCell::default(),
            lease: Cell::default(),
            is_announced: Cell::default(),
            is_following: Cell::new(false),
            subscription,
            mirror,
            observers,
            list_needed_at: Cell::default(),
            synced_until_ms: responder.synced_until_ms,
            publish,
        });
        run(
            control,
            seeds,
            promotions_per_second,
            responder.requests,
            endpoint,
            metrics_endpoint,
        );
    };
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(start)
        .map_err(Error::Listen)?;
    Ok(address)
}

type Endpoint = rocket::Rocket<rocket::Build>;

fn run(
    control: Rc<Control>,
    seeds: Search<Value>,
    promotions_per_second: f64,
    requests: mpsc::UnboundedReceiver<Request>,
    endpoint: Endpoint,
    metrics_endpoint: Option<Endpoint>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the control runtime starts");
    LocalSet::new().block_on(&runtime, async move {
        tokio::task::spawn_local(follow::run(control.clone(), seeds));
        tokio::task::spawn_local(heartbeat::run(control.clone()));
        tokio::task::spawn_local(election::run(control.clone()));
        tokio::task::spawn_local(failover::run(control.clone(), promotions_per_second));
        tokio::task::spawn_local(observation::run(control.clone()));
        tokio::task::spawn_local(record_lookup::run(control.clone(), requests));
        if let Some(metrics_endpoint) = metrics_endpoint {
            tokio::task::spawn_local(serve_metrics(metrics_endpoint));
        }
        if let Err(error) = endpoint.launch().await {
            journal::trouble("operator endpoint", &error.to_string());
        }
        std::future::pending::<()>().await;
    });
}

/// Serves the metrics endpoint. A failure is only logged, as traffic does not depend on it.
async fn serve_metrics(endpoint: Endpoint) {
    if let Err(error) = endpoint.launch().await {
        journal::trouble("metrics endpoint", &error.to_string());
    }
}

//! Starts the control thread and the tasks on it.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use dandelionpitch_engine::{feed::Subscription, registry::Registry, time::Moment};
use dandelionpitch_platform::{promoter::Promoter, store::Store};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::LocalSet,
};

use crate::{
    config::{Config, Line},
    error::Error,
    line::{
        clock,
        control::{
            duty, failover, follow, member,
            state::{Control, PeerPort},
            testify,
        },
        journal,
        mirror::Handle,
        operator,
        records::{Request, Responder},
        view::View,
    },
};

/// What the control thread shares with traffic.
pub struct Links {
    pub publish: watch::Sender<Arc<View>>,
    pub responder: Responder,
    pub mirror: Handle,
}

/// Starts the control thread, which runs until the process ends; returns where operators connect.
pub fn spawn(
    config: &Config,
    line: &Line,
    peer: PeerPort,
    links: Links,
    endpoint: operator::Context,
) -> Result<oneshot::Receiver<SocketAddr>, Error> {
    let started = clock::now();
    let Links {
        publish,
        responder,
        mirror,
    } = links;
    let store = Store::new(&config.kv)?;
    let (metrics, stopping) = (endpoint.metrics.clone(), endpoint.stopping.clone());
    let (bound, address) = oneshot::channel();
    let endpoint = operator::build(config.operator_listen, endpoint, bound);
    let counters = line
        .metrics
        .map(|address| operator::metrics_only(address, metrics.clone()));
    let promoter = Promoter::new(&format!("http://{}", line.promoter));
    let (id, dc) = (config.id.clone(), config.dc.clone());
    let config_within = line.config_within;
    let start = move || {
        let mut registry = Registry::default();
        registry.note_synced(Moment::default());
        let place = RefCell::new(Subscription::new(&[], &id, &dc));
        let control = Rc::new(Control {
            name: format!("{id}@{}", started.millis()),
            started,
            id,
            dc,
            peer,
            config_within,
            metrics,
            stopping,
            store: RefCell::new(store),
            promoter,
            duty: RefCell::default(),
            attempts: Cell::default(),
            registry: RefCell::new(registry),
            records: RefCell::default(),
            catalog: RefCell::default(),
            members: RefCell::default(),
            unreadable: RefCell::default(),
            followed_lately: Cell::new(false),
            place,
            mirror,
            followed: responder.synced_until_ms,
            publish,
        });
        run(control, responder.requests, endpoint, counters);
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
    inquiries: mpsc::UnboundedReceiver<Request>,
    endpoint: Endpoint,
    counters: Option<Endpoint>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the control runtime starts");
    LocalSet::new().block_on(&runtime, async move {
        tokio::task::spawn_local(follow::run(control.clone()));
        tokio::task::spawn_local(member::run(control.clone()));
        tokio::task::spawn_local(duty::run(control.clone()));
        tokio::task::spawn_local(failover::run(control.clone()));
        tokio::task::spawn_local(testify::run(control.clone(), inquiries));
        if let Some(counters) = counters {
            tokio::task::spawn_local(serve_counters(counters));
        }
        if let Err(error) = endpoint.launch().await {
            journal::trouble("operator endpoint", &error.to_string());
        }
        std::future::pending::<()>().await;
    });
}

/// Serves the counters; traffic goes on without them.
async fn serve_counters(counters: Endpoint) {
    if let Err(error) = counters.launch().await {
        journal::trouble("metrics endpoint", &error.to_string());
    }
}

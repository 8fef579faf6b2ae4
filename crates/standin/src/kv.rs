//! Fake platform KV: the calls of the etcd v3 JSON gateway that dandelionpitch uses, served with
//! `rocket`, with injectable faults.

mod routes;
mod store;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use dandelionpitch_core::kv::ERA_HEADER;
use rocket::tokio::{self, sync::oneshot};
use serde::{Deserialize, Serialize};

pub use store::Store;

/// Interval at which leases are expired and snapshots taken.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);

/// Faults of one server, set by tests through `POST /fault`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Every KV call fails with 503 and has no effect.
    #[serde(default)]
    pub down: bool,
    /// Delay before each KV call is processed.
    #[serde(default)]
    pub delay_ms: u64,
    /// Writes are applied but answered with 500, as if the response were lost.
    #[serde(default)]
    pub lose_answer: bool,
}

/// State of one HTTP server: the store, shared by all servers, and the server's own faults.
#[derive(Clone, Debug)]
pub struct State {
    pub store: Arc<Mutex<Store>>,
    pub fault: Arc<Mutex<Fault>>,
}

/// Serves one store through `servers` HTTP servers, the first of them on `addr`, until the process
/// ends. Prints their URLs on stdout, separated by commas.
pub async fn serve(addr: SocketAddr, servers: usize) -> Result<(), rocket::Error> {
    let store = Arc::new(Mutex::new(Store::new()));
    let mut ready = Vec::with_capacity(servers);
    for index in 0..servers {
        let state = State {
            store: store.clone(),
            fault: Arc::new(Mutex::new(Fault::default())),
        };
        let port = match index {
            0 => addr.port(),
            _ => 0,
        };
        ready.push(rocket(SocketAddr::new(addr.ip(), port), state));
    }
    let mut urls = Vec::with_capacity(servers);
    let mut running = Vec::with_capacity(servers);
    for (server, url) in ignite(ready).await? {
        running.push(tokio::spawn(server.launch()));
        urls.extend(url.await);
    }
    crate::announce(&urls.join(","));
    tokio::spawn(maintain(store));
    for server in running {
        server.await.expect("server task does not panic")?;
    }
    Ok(())
}

/// Ignites all servers before the first is launched.
///
/// Building a Rocket enables logging for the whole process until that Rocket is ignited. A server
/// launched in between would log to stdout, where callers expect the URLs.
async fn ignite(
    servers: Vec<Server<rocket::Build>>,
) -> Result<Vec<Server<rocket::Ignite>>, rocket::Error> {
    let mut ignited = Vec::with_capacity(servers.len());
    for (server, url) in servers {
        ignited.push((server.ignite().await?, url));
    }
    Ok(ignited)
}

/// A server before launch, and the receiver of its URL.
type Server<P> = (rocket::Rocket<P>, oneshot::Receiver<String>);

fn rocket(addr: SocketAddr, state: State) -> Server<rocket::Build> {
    let (url_tx, url) = oneshot::channel();
    let figment = rocket::Config::figment()
        .merge(("address", addr.ip()))
        .merge(("port", addr.port()))
        .merge(("log_level", "off"))
        .merge(("shutdown.ctrlc", false));
    let url_tx = Mutex::new(Some(url_tx));
    let server = rocket::custom(figment)
        .manage(state)
        .mount("/", routes::all())
        .attach(rocket::fairing::AdHoc::on_response(
            "era",
            |request, response| {
                Box::pin(async move {
                    if let Some(state) = request.rocket().state::<State>() {
                        let era = state.store.lock().unwrap().era();
                        response.set_raw_header(ERA_HEADER, era.to_string());
                    }
                })
            },
        ))
        .attach(rocket::fairing::AdHoc::on_liftoff("bound", move |rocket| {
            let config = rocket.config();
            if let Some(url_tx) = url_tx.lock().unwrap().take() {
                let _ = url_tx.send(format!("http://{}:{}", config.address, config.port));
            }
            Box::pin(async {})
        }));
    (server, url)
}

async fn maintain(store: Arc<Mutex<Store>>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        let mut store = store.lock().unwrap();
        store.expire_leases(Instant::now());
        store.snapshot(Instant::now());
    }
}

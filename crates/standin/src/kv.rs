//! The stand-in of the platform KV: the etcd v3 JSON gateway's calls on `rocket`, with fault
//! hooks (down, slow, answer lost after the write applied).

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

/// How often expired leases are swept.
const SWEEP_EVERY: Duration = Duration::from_millis(100);

/// Faults an experiment can switch on through `POST /fault`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Every call answers 503 and changes nothing.
    #[serde(default)]
    pub down: bool,
    /// Every call waits this long first.
    #[serde(default)]
    pub delay_ms: u64,
    /// Writes take effect but their answer is an error, as when an answer is lost.
    #[serde(default)]
    pub lose_answer: bool,
}

/// One address of the stand-in: the store all doors share, and the faults at this door.
#[derive(Clone, Debug)]
pub struct State {
    /// Keys, leases and watches.
    pub store: Arc<Mutex<Store>>,
    /// The faults in force.
    pub fault: Arc<Mutex<Fault>>,
}

/// Serves the stand-in KV on `doors` addresses, the first being `address`, until the process
/// ends; prints their URLs on stdout, separated by commas.
pub async fn serve(address: SocketAddr, doors: usize) -> Result<(), rocket::Error> {
    let store = Arc::new(Mutex::new(Store::new()));
    let mut ready = Vec::with_capacity(doors);
    for index in 0..doors {
        let state = State {
            store: store.clone(),
            fault: Arc::new(Mutex::new(Fault::default())),
        };
        let port = match index {
            0 => address.port(),
            _ => 0,
        };
        ready.push(rocket(SocketAddr::new(address.ip(), port), state));
    }
    let mut urls = Vec::with_capacity(doors);
    let mut running = Vec::with_capacity(doors);
    for (door, url) in ignite(ready).await? {
        running.push(tokio::spawn(door.launch()));
        urls.extend(url.await);
    }
    crate::announce(&urls.join(","));
    tokio::spawn(sweep(store));
    for door in running {
        door.await.expect("a door does not panic")?;
    }
    Ok(())
}

/// Readies every door before the first is launched.
///
/// Failure: making a Rocket switches the process's log level on until that Rocket is
/// ignited; a door launched meanwhile prints a line where the addresses are expected. Guard:
/// no door is made or ignited once one is launched.
async fn ignite(
    doors: Vec<Door<rocket::Build>>,
) -> Result<Vec<Door<rocket::Ignite>>, rocket::Error> {
    let mut ignited = Vec::with_capacity(doors.len());
    for (door, url) in doors {
        ignited.push((door.ignite().await?, url));
    }
    Ok(ignited)
}

/// A server on its way, and where it will say its URL.
type Door<P> = (rocket::Rocket<P>, oneshot::Receiver<String>);

fn rocket(address: SocketAddr, state: State) -> Door<rocket::Build> {
    let (bound, url) = oneshot::channel();
    let figment = rocket::Config::figment()
        .merge(("address", address.ip()))
        .merge(("port", address.port()))
        .merge(("log_level", "off"))
        .merge(("shutdown.ctrlc", false));
    let bound = Mutex::new(Some(bound));
    let door = rocket::custom(figment)
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
            if let Some(bound) = bound.lock().unwrap().take() {
                let _ = bound.send(format!("http://{}:{}", config.address, config.port));
            }
            Box::pin(async {})
        }));
    (door, url)
}

async fn sweep(store: Arc<Mutex<Store>>) {
    loop {
        tokio::time::sleep(SWEEP_EVERY).await;
        let mut store = store.lock().unwrap();
        store.expire(Instant::now());
        store.copy(Instant::now());
    }
}

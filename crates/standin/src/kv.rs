//! The stand-in of the platform KV: the etcd v3 JSON gateway's calls on `rocket`, with fault
//! hooks (down, slow, answer lost after the write applied).

mod routes;
mod store;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

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

/// The stand-in's state shared by the routes.
#[derive(Debug)]
pub struct State {
    /// Keys, leases and watches.
    pub store: Mutex<Store>,
    /// The faults in force.
    pub fault: Mutex<Fault>,
}

/// Serves the stand-in KV at `address` until the process ends; prints the URL on stdout.
pub async fn serve(address: std::net::SocketAddr) -> Result<(), rocket::Error> {
    let state = Arc::new(State {
        store: Mutex::new(Store::new()),
        fault: Mutex::new(Fault::default()),
    });
    tokio::spawn(sweep(state.clone()));
    let figment = rocket::Config::figment()
        .merge(("address", address.ip()))
        .merge(("port", address.port()))
        .merge(("log_level", "off"))
        .merge(("shutdown.ctrlc", false));
    let _ = rocket::custom(figment)
        .manage(state)
        .mount("/", routes::all())
        .attach(rocket::fairing::AdHoc::on_liftoff("announce", |rocket| {
            Box::pin(async move {
                let config = rocket.config();
                crate::announce(&format!("http://{}:{}", config.address, config.port));
            })
        }))
        .launch()
        .await?;
    Ok(())
}

async fn sweep(state: Arc<State>) {
    loop {
        tokio::time::sleep(SWEEP_EVERY).await;
        state.store.lock().unwrap().expire(Instant::now());
    }
}

//! Copies the store's content from another proxy while the store does not answer a process that starts.
//! [`engine::seed`] decides which proxy is asked, and when.
//!
//! [`engine::seed`]: dandelionpitch_engine::seed

use std::net::SocketAddr;

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{
    feed,
    mirror::Mirror,
    seed::{Search, Step, Verdict},
    time::Moment,
};
use dandelionpitch_platform::{store::Value, Error};

use crate::line::{
    clock,
    control::{relay::Relay, state::Control},
    journal,
};

/// The id sent to a seed, whose own id is not known.
const UNKNOWN_ID: &str = "-";

/// A complete copy of the store's content.
pub struct Copied {
    pub seed: SocketAddr,
    pub mirror: Mirror<Value>,
    pub parts: usize,
    /// The time up to which it has every change.
    pub synced_until: Moment,
}

/// The connection to a seed, and the last failure, which is logged once.
struct Client {
    relay: Relay,
    failure: String,
}

impl Client {
    fn new(seed: SocketAddr) -> Self {
        Self {
            relay: Relay::at(UNKNOWN_ID, seed),
            failure: String::new(),
        }
    }

    fn note_failure(&mut self, seed: SocketAddr, error: &Error) {
        let failure = error.to_string();
        if self.failure != failure {
            journal::trouble("seed", &format!("{seed}: {failure}"));
            self.failure = failure;
        }
    }
}

/// Asks the seeds until they have sent a complete copy.
pub async fn copy(control: &Control, mut search: Search<Value>) -> Copied {
    let mut store = control.store_state.subscribe();
    let mut clients: Map<SocketAddr, Client> = Map::default();
    loop {
        let state = *store.borrow_and_update();
        let seed = match search.step(state, clock::now()) {
            Step::Ask(seed) => seed,
            Step::Wait(delay) => {
                // The loop handles both a timeout and a change of the state.
                let _ = tokio::time::timeout(delay, store.changed()).await;
                continue;
            }
        };
        let client = clients.entry(seed).or_insert_with(|| Client::new(seed));
        match ask(client, &mut search).await {
            Ok(Some(synced_until)) => {
                return Copied {
                    seed,
                    parts: search.parts(),
                    mirror: search.into_mirror(),
                    synced_until,
                }
            }
            Ok(None) => {}
            Err(error) => {
                client.note_failure(seed, &error);
                search.note_failure();
            }
        }
    }
}

/// Requests the next part. Once the copy is complete, returns the time up to which it has every change.
async fn ask(client: &mut Client, search: &mut Search<Value>) -> Result<Option<Moment>, Error> {
    let asked = clock::now();
    let response = client.relay.copy(search.progress()).await?;
    let timing = response.timing;
    match search.apply(&response.part) {
        Verdict::Incomplete => Ok(None),
        Verdict::Complete => Ok(Some(feed::synced_until(asked, timing.waited, timing.age))),
        Verdict::Unusable => {
            let text = "it cannot continue the copy of another seed";
            Err(Error::Protocol(text.to_owned()))
        }
    }
}

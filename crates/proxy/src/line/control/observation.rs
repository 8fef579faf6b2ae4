//! Asks registered servers once for their status, while this process is a relay.
//!
//! Relays claim the failover leadership first. A new leader without an earlier status of a server would
//! have to wait for a list of registrations that proves that the server has not restarted.

use std::{collections::VecDeque, rc::Rc, sync::Arc, time::Duration};

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::registry::{Groups, Incarnation, Server};
use dandelionpitch_platform::backend::Command;

use crate::line::{
    control::{probe::Probe, state::Control},
    journal,
    restart::Observer,
};

/// The time between two requests. Each opens a connection, which occupies a slot of the server for a while.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// The timeout of a request, including the connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// How often a server is asked that does not answer.
const MAX_ATTEMPTS: u32 = 5;

/// A server that has not been asked successfully, and how often it was.
struct Pending {
    server: Arc<Server>,
    attempts: u32,
}

/// What is known of the registered servers.
#[derive(Default)]
struct Observation {
    /// The registrations for which the rest was updated last.
    groups: Arc<Groups>,
    /// Keeps what the statuses have proved.
    observers: Map<Incarnation, Observer>,
    pending: VecDeque<Pending>,
}

/// Asks servers until the process ends.
pub async fn run(control: Rc<Control>) {
    let mut observation = Observation::default();
    loop {
        tokio::time::sleep(REQUEST_INTERVAL).await;
        if !control.subscription.borrow().is_relay || !control.is_registered() {
            continue;
        }
        observation.update(&control);
        observation.ask_next().await;
    }
}

impl Observation {
    /// Applies the current registrations, if they have changed.
    fn update(&mut self, control: &Control) {
        let groups = control.registry.borrow().groups().clone();
        if Arc::ptr_eq(&groups, &self.groups) {
            return;
        }
        let mut known = std::mem::take(&mut self.observers);
        for entry in groups.values().flat_map(|entries| entries.iter()) {
            let id = &entry.server.incarnation;
            // Without a birth, no list shows a restart.
            if !id.is_dated() {
                continue;
            }
            let observer = known.remove(id).unwrap_or_else(|| {
                let server = entry.server.clone();
                self.pending.push_back(Pending {
                    server,
                    attempts: 0,
                });
                control.observers.get(id)
            });
            self.observers.insert(id.clone(), observer);
        }
        self.groups = groups;
    }

    /// Asks the next server of which no status is known.
    async fn ask_next(&mut self) {
        while let Some(next) = self.pending.pop_front() {
            let id = &next.server.incarnation;
            let observer = self.observers.get(id);
            let unknown = observer.filter(|observer| observer.established_by().is_none());
            if let Some(observer) = unknown.cloned() {
                return self.ask(next, observer).await;
            }
        }
    }

    async fn ask(&mut self, pending: Pending, observer: Observer) {
        let Pending { server, attempts } = pending;
        let probe = Probe::new(server.clone(), observer);
        let Err(error) = probe.send(Command::Status, REQUEST_TIMEOUT).await else {
            return;
        };
        let attempts = attempts + 1;
        match attempts < MAX_ATTEMPTS {
            true => self.pending.push_back(Pending { server, attempts }),
            false => journal::trouble("observation", &format!("{}: {error}", server.incarnation)),
        }
    }
}

//! Incarnations of one server: a kill ends an incarnation, a start begins the next.

use tokio::sync::watch;

#[derive(Clone, Copy, Debug)]
struct State {
    /// Requested state; `listening` follows it.
    running: bool,
    kills: u64,
    listening: bool,
}

/// Kills and starts a server and tracks its state.
#[derive(Debug)]
pub struct Lifecycle(watch::Sender<State>);

impl Lifecycle {
    /// Creates the lifecycle of a running server.
    pub fn new() -> Self {
        let first = State {
            running: true,
            kills: 0,
            listening: true,
        };
        Self(watch::channel(first).0)
    }

    /// Ends the current incarnation and with it the server's listener and connections.
    pub fn kill(&self) {
        self.0.send_modify(|state| {
            state.running = false;
            state.kills += 1;
        });
    }

    /// Requests the start of the next incarnation.
    pub fn start(&self) {
        self.0.send_modify(|state| state.running = true);
    }

    /// Returns a handle to the current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        let states = self.0.subscribe();
        let kills = states.borrow().kills;
        Incarnation { states, kills }
    }

    /// Records whether the server accepts connections.
    pub fn set_listening(&self, listening: bool) {
        self.0.send_modify(|state| state.listening = listening);
    }

    /// Waits until a start has been requested.
    pub async fn wait_started(&self) {
        let _ = self.0.subscribe().wait_for(|state| state.running).await;
    }

    /// Waits until the last kill or start has completed, so that the server accepts connections if
    /// and only if it is running.
    pub async fn wait_settled(&self) {
        let settled = |state: &State| state.running == state.listening;
        let _ = self.0.subscribe().wait_for(settled).await;
    }
}

/// Handle to one incarnation of a server, held by tasks that must end with it.
///
/// The incarnation is identified by the number of kills before it, so a task that first observes
/// the state after a kill and a quick restart still ends.
#[derive(Clone, Debug)]
pub struct Incarnation {
    states: watch::Receiver<State>,
    kills: u64,
}

impl Incarnation {
    /// Whether the server has been killed since this handle was taken.
    pub fn has_ended(&self) -> bool {
        self.ended_in(&self.states.borrow())
    }

    /// Waits until the server is killed.
    pub async fn wait_ended(&self) {
        let mut states = self.states.clone();
        let _ = states.wait_for(|state| self.ended_in(state)).await;
    }

    fn ended_in(&self, state: &State) -> bool {
        !state.running || state.kills != self.kills
    }
}

//! The lives of one stand-in server: a kill ends one, a start begins the next.

use tokio::sync::watch;

/// Whether the server is to run, how often it was killed, and whether it takes connections.
#[derive(Clone, Copy, Debug)]
struct State {
    up: bool,
    kills: u64,
    listens: bool,
}

/// What kills and starts a server.
#[derive(Debug)]
pub struct Switch(watch::Sender<State>);

impl Switch {
    /// The switch of a server that runs.
    pub fn new() -> Self {
        let first = State {
            up: true,
            kills: 0,
            listens: true,
        };
        Self(watch::channel(first).0)
    }

    /// Ends the server's life, and everything that belongs to it.
    pub fn kill(&self) {
        self.0.send_modify(|state| {
            state.up = false;
            state.kills += 1;
        });
    }

    /// Begins the next life.
    pub fn start(&self) {
        self.0.send_modify(|state| state.up = true);
    }

    /// The server's life now.
    pub fn life(&self) -> Life {
        let states = self.0.subscribe();
        let kills = states.borrow().kills;
        Life { states, kills }
    }

    /// Notes whether the server takes connections.
    pub fn set_listens(&self, listens: bool) {
        self.0.send_modify(|state| state.listens = listens);
    }

    /// Waits until the server is to run.
    pub async fn started(&self) {
        let _ = self.0.subscribe().wait_for(|state| state.up).await;
    }

    /// Waits until a kill or start has come to its end: the server takes connections only if it
    /// is to run.
    pub async fn settled(&self) {
        let settled = |state: &State| state.up == state.listens;
        let _ = self.0.subscribe().wait_for(settled).await;
    }
}

/// One life of a server, held by what ends with it.
///
/// Failure: a killed server is started again before a connection of its former life has noticed;
/// seeing it up, the connection lives on. Guard: a life is told by the kills before it.
#[derive(Clone, Debug)]
pub struct Life {
    states: watch::Receiver<State>,
    kills: u64,
}

impl Life {
    /// Whether the server was killed since.
    pub fn over(&self) -> bool {
        self.ends_in(&self.states.borrow())
    }

    /// Waits until the server is killed.
    pub async fn ended(&self) {
        let mut states = self.states.clone();
        let _ = states.wait_for(|state| self.ends_in(state)).await;
    }

    fn ends_in(&self, state: &State) -> bool {
        !state.up || state.kills != self.kills
    }
}

//! Finds out whether this proxy is cut off with its data centre, once a server could not be reached.

use std::{rc::Rc, time::Duration};

use dandelionpitch_engine::isolation::Isolation;
use futures::{stream::FuturesUnordered, StreamExt};
use serde_json::json;
use tokio::sync::watch;

use crate::line::{
    backend::Backend,
    clock, journal,
    reachability::{self, FailureSignal},
    shared::Shared,
};

/// How long a live VM in another data centre needs to accept a connection.
const REACH_TIMEOUT: Duration = Duration::from_millis(200);

/// The pause between two rounds.
const AGAIN: Duration = Duration::from_millis(100);

/// The pause after a round that reached something: refusals of other proxies are a suspicion each, and
/// come by the hundred when queues are full.
const REACHED_PAUSE: Duration = Duration::from_millis(300);

/// How many proxies of other data centres are asked before the servers are, to which each connection has a
/// price.
const PEERS_ASKED: usize = 4;

/// Looks outside whenever there is a suspicion, and goes on until something is reached.
pub async fn run(
    shared: Rc<Shared>,
    failure_signal: FailureSignal,
    publish: watch::Sender<Isolation>,
) {
    loop {
        failure_signal.notified().await;
        loop {
            let reached = reaches_out(&shared).await;
            let was = *publish.borrow();
            publish.send_modify(|isolation| isolation.note(reached, clock::now()));
            if was.is_isolated(clock::now()) == reached {
                journal::write("isolation", json!({ "outside_reached": reached }));
            }
            if reached {
                break;
            }
            tokio::time::sleep(AGAIN).await;
        }
        tokio::time::sleep(REACHED_PAUSE).await;
    }
}

/// Whether any proxy or server outside the own data centre accepts a connection; `true` if there is none.
async fn reaches_out(shared: &Shared) -> bool {
    let peers = shared.peers.in_other_dcs(&shared.dc, PEERS_ASKED);
    if any_connects(&peers).await {
        return true;
    }
    let servers = shared.servers_in_other_dcs();
    (peers.is_empty() && servers.is_empty()) || any_connects(&servers).await
}

async fn any_connects(outside: &[Rc<Backend>]) -> bool {
    let mut attempts: FuturesUnordered<_> = outside
        .iter()
        .map(|backend| reachability::can_connect(backend.server.address, REACH_TIMEOUT))
        .collect();
    while let Some(reached) = attempts.next().await {
        if reached {
            return true;
        }
    }
    false
}

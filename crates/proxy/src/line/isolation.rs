//! Checks whether this data centre is partitioned from the others, after a server or proxy could not
//! be reached.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use dandelionpitch_engine::isolation::Isolation;
use futures::{stream::FuturesUnordered, StreamExt};
use serde_json::json;
use tokio::sync::watch;

use crate::line::{
    clock, journal,
    reachability::{self, FailureSignal},
    shared::Shared,
};

/// The connect timeout for a VM in another data centre.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The delay between two rounds of connection attempts while all fail.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The delay after a successful round. Each refusal by another proxy triggers a check, and full queues
/// cause hundreds of them.
const SUCCESS_DELAY: Duration = Duration::from_millis(300);

/// The number of proxies in other data centres that are tried before the servers, whose connections are
/// scarce.
const MAX_PEERS_TRIED: usize = 4;

/// The number of servers in other data centres that are tried after the proxies. Bounded, as the
/// proxies of a partitioned data centre would otherwise connect to every server of a large deployment
/// in each round.
const MAX_SERVERS_TRIED: usize = 24;

/// Whenever `failure_signal` is notified, tries to connect to other data centres until an attempt
/// succeeds, and publishes the result of each round.
pub async fn run(
    shared: Rc<Shared>,
    failure_signal: FailureSignal,
    publish: watch::Sender<Isolation>,
) {
    loop {
        failure_signal.notified().await;
        loop {
            let reached = reaches_other_dcs(&shared).await;
            let previous = *publish.borrow();
            publish.send_modify(|isolation| isolation.note(reached, clock::now()));
            if previous.is_isolated(clock::now()) == reached {
                journal::write("isolation", json!({ "outside_reached": reached }));
            }
            if reached {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        tokio::time::sleep(SUCCESS_DELAY).await;
    }
}

/// Whether any proxy or server in another data centre accepts a connection. `true` if none is known.
async fn reaches_other_dcs(shared: &Shared) -> bool {
    let peers = shared.peers.in_other_dcs(&shared.dc, MAX_PEERS_TRIED);
    let peers: Vec<SocketAddr> = peers.iter().map(|peer| peer.server.address).collect();
    if any_accepts_connection(&peers).await {
        return true;
    }
    let servers = shared.servers_in_other_dcs(MAX_SERVERS_TRIED);
    (peers.is_empty() && servers.is_empty()) || any_accepts_connection(&servers).await
}

async fn any_accepts_connection(targets: &[SocketAddr]) -> bool {
    let mut attempts: FuturesUnordered<_> = targets
        .iter()
        .map(|address| reachability::can_connect(*address, CONNECT_TIMEOUT))
        .collect();
    while let Some(reached) = attempts.next().await {
        if reached {
            return true;
        }
    }
    false
}

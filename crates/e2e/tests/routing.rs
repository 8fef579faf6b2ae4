//! Routing of reads while the proxy's status of the replicas is outdated.

mod fixture;

use std::time::Duration;

use fixture::{connect, eventually, scalar, Site};

const TIMEOUT: Duration = Duration::from_secs(10);
/// Longer than the test, so that the proxy keeps the positions of its first status request.
const LONG_STATUS_INTERVAL: &str = "[backend]\nstatus_every = \"60s\"\n";

/// A new session without a token requires the primary's current position, which is higher than the
/// replicas' last known ones. The proxy must ask a replica for its position instead of sending all
/// reads to the primary until the next status request.
#[tokio::test]
async fn replica_with_outdated_status_serves_reads() {
    let site = Site::start_with("check", 1, 20, LONG_STATUS_INTERVAL).await;
    let member = connect(&site.proxies[0], "member", "").await;
    member
        .simple_query("INSERT INTO ledger (id, body) VALUES ('save-1', 'ref')")
        .await
        .expect("the write is acknowledged");

    let lookup = connect(&site.proxies[0], "lookup", "").await;
    let on_replica = eventually(TIMEOUT, || async {
        scalar(&lookup, "SHOW dandelionpitch.server")
            .await
            .is_some_and(|server| server != "0")
    })
    .await;

    assert!(on_replica, "every read went to the primary");
}

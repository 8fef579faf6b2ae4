//! Where reads go when the proxy's view of the replicas is behind.

mod fixture;

use std::time::Duration;

use fixture::{connect, eventually, scalar, Site};

const TIMEOUT: Duration = Duration::from_secs(10);
/// A status period far longer than the test, so the view keeps the first poll's positions.
const LONG_STATUS_INTERVAL: &str = "[backend]\nstatus_every = \"60s\"\n";

/// A lookup session with no token takes the primary's position as its floor, which is above
/// what the view last saw on the replicas. The replicas apply it 20 ms later; the session's
/// reads must then be served by a replica, found by asking it for its position, and not all
/// go to the primary until the next status poll.
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

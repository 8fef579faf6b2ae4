//! Failovers that another trouble crosses: promotions take effect some time after their call, and what happens
//! until then, or just after, must end in refusals and never in the loss of a commit that a caller was told
//! is kept.

mod fixture;

use std::time::{Duration, Instant};

use fixture::line::{Site, FAILOVER_TIMEOUT, LATEST};

/// For how long callers write: until the next promotion, if there is one, has taken effect.
const WRITE_PERIOD: Duration = Duration::from_millis(2_500);

/// A site with one proxy, whose promotions take twice the usual time to take effect, and an old primary that
/// goes on for a second.
async fn site(name: &str) -> Site {
    let arguments = [
        "--promote-ms",
        "0",
        "--effect-ms",
        "600",
        "--outranked-ms",
        "1000",
    ];
    let site = Site::start_with(name, 1, &arguments).await;
    assert_eq!(site.failover_leader().await, 0);
    assert!(site.caller(0, LATEST).query("PUT first v").is_done());
    site
}

/// Waits for a line of the proxy's log.
async fn wait_for_log(site: &Site, text: &str) {
    let seen = fixture::eventually(FAILOVER_TIMEOUT, || async { site.has_logged(0, text) });
    assert!(seen.await, "no {text} in the log");
}

/// Waits until a promotion has been called for; returns the server that will lead, and the other replica.
async fn wait_for_promotion(site: &Site) -> (usize, usize) {
    wait_for_log(site, "\"kind\":\"promoted\"").await;
    match site.has_logged(
        0,
        "\"server\":\"i-1\",\"service\":\"ledger\",\"term\":2,\"took_ms\"",
    ) {
        true => (1, 2),
        false => (2, 1),
    }
}

/// Writes all the time; returns the items that were acknowledged.
fn write_items(site: &Site) -> Vec<String> {
    let started_at = Instant::now();
    let mut caller = site.caller(0, LATEST);
    let mut acknowledged = Vec::new();
    for round in 0.. {
        if started_at.elapsed() > WRITE_PERIOD {
            break;
        }
        let item = format!("k{round}");
        if caller.query(&format!("PUT {item} v")).is_done() {
            acknowledged.push(item);
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    acknowledged
}

/// The acknowledged writes that are not in the log of the server that leads in the end.
async fn lost_items(site: &Site, acknowledged: Vec<String>) -> Vec<String> {
    let mut caller = site.caller(0, LATEST);
    caller.query_until_done("PUT last v", FAILOVER_TIMEOUT * 2);
    let mut lost_items = Vec::new();
    for item in acknowledged {
        if site.count_in_log(&item, "v").await != 1 {
            lost_items.push(item);
        }
    }
    lost_items
}

/// The primary leaves and another is promoted. From before that takes effect on, the new primary has no time for
/// the promoter, which sees it as the held replica that it was. All others follow the new term: somebody
/// leads it. Soon after, callers are served by the new primary; a third server that is promoted for the fourth
/// lacks what they were told is kept.
#[tokio::test]
async fn busy_new_primary_loses_no_acknowledged_commit() {
    let site = site("no-time").await;
    site.fault(0, "leaving", true).await;
    let (new, _) = wait_for_promotion(&site).await;
    site.fault(new, "busy", true).await;

    // The promoter looks again 1.2 s after its call, and judges for 300 ms.
    let another = fixture::eventually(Duration::from_secs(2), || async {
        site.log_lines_with("\"kind\":\"failover\"").len() > 1
    });
    another.await;
    site.fault(new, "busy", false).await;
    let acknowledged = write_items(&site);

    assert!(!acknowledged.is_empty());
    assert_eq!(lost_items(&site, acknowledged).await, Vec::<String>::new());
}

/// The primary crashes, the replicas are held, and one of them is called to be promoted. Before that takes
/// effect the primary is back and still leads, and the other replica starts again: it has forgotten that it
/// was held, receives from the primary and confirms commits that the server promoted does not have.
#[tokio::test]
async fn replica_restarted_before_the_promotion_loses_no_acknowledged_commit() {
    let site = site("forgets").await;
    site.fault(0, "crashed", true).await;
    let (_, other) = wait_for_promotion(&site).await;

    site.fault(0, "crashed", false).await;
    site.fault(other, "crashed", true).await;
    site.fault(other, "crashed", false).await;
    let acknowledged = write_items(&site);

    assert!(!acknowledged.is_empty());
    assert_eq!(lost_items(&site, acknowledged).await, Vec::<String>::new());
}

/// The primary crashes and comes back between the call for a promotion and its effect, so nobody has told it
/// to step down, and takes commits that wait for a replica. The other replica does not reach the new primary: its hold ends with the promotion, and it
/// receives from the old primary again and confirms its commits, which the new one does not have.
#[tokio::test]
async fn restarted_old_primary_loses_no_acknowledged_commit() {
    let site = site("back").await;
    site.partition_servers(1, 2, true).await;
    site.fault(0, "crashed", true).await;
    wait_for_promotion(&site).await;

    site.fault(0, "crashed", false).await;
    let acknowledged = write_items(&site);
    site.partition_servers(1, 2, false).await;

    assert_eq!(lost_items(&site, acknowledged).await, Vec::<String>::new());
}

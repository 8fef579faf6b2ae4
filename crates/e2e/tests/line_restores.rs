//! The store is restored from a snapshot a few seconds old, which reuses revisions and loses later
//! writes. Callers use the line protocol.

mod fixture;

use std::time::{Duration, Instant};

use fixture::line::{rows, Caller, Site, FAILOVER_TIMEOUT, LATEST, SESSION};
use serde_json::json;

/// The number of versions lost in a restore; many, so that the store's revision decreases far.
const LOST_VERSIONS: u64 = 30;

/// The minimum age of the snapshot, so that it is older than the writes to be lost.
const SNAPSHOT_AGE: Duration = Duration::from_millis(2_500);

/// Longer than proxies take to notice a restore and to write their own entries again.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Puts the versions `first` to `last` and waits until all proxies have applied the last one.
async fn configure_up_to(site: &Site, first: u64, last: u64) {
    for version in first..=last {
        site.configure(version, &[LATEST, SESSION]).await;
    }
    site.wait_for_version(last).await;
}

/// Starts a site and waits until the store has a snapshot of it.
async fn start_site(name: &str, proxies: usize) -> Site {
    let site = Site::start(name, proxies).await;
    tokio::time::sleep(SNAPSHOT_AGE).await;
    site
}

/// Repeats a write until it is acknowledged.
fn write(site: &Site, proxy: usize, item: &str, data: &str) {
    let mut caller = site.caller(proxy, LATEST);
    caller.query_until_done(&format!("PUT {item} {data}"), FAILOVER_TIMEOUT * 2);
}

/// The fencing tokens of all promotion calls, in order.
async fn fencing_tokens(site: &Site) -> Vec<u64> {
    let tokens = site.group().await["tokens"].clone();
    serde_json::from_value(tokens).expect("numbers")
}

/// Whether all servers promoted after the first `earlier` promotions had `item` in their logs.
async fn later_primaries_have(site: &Site, earlier: usize, item: &str) -> bool {
    let promotions = site.promotions().await;
    let mut later = promotions
        .as_array()
        .expect("an array")
        .iter()
        .skip(earlier);
    let has = |promotion: &serde_json::Value| {
        let log = promotion["log"].as_array().expect("an array");
        log.iter().any(|entry| entry[0] == json!(item))
    };
    later.all(has)
}

/// Proxies must apply changes of a restored store whose revisions are lower than those they have
/// seen.
#[tokio::test]
async fn version_put_after_a_restore_is_applied() {
    let site = start_site("restore-version", 5).await;
    configure_up_to(&site, 2, LOST_VERSIONS).await;

    site.restore_store(SNAPSHOT_AGE).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.configure(LOST_VERSIONS + 1, &[LATEST, SESSION]).await;
    site.wait_for_version(LOST_VERSIONS + 1).await;
    let mut eras = Vec::new();
    for proxy in 0..5 {
        eras.push(site.status(proxy).await["changes"]["era"].clone());
    }

    assert_eq!(eras, [1; 5]);
}

/// Proxies must not apply the older configuration of the snapshot before the operators have put
/// theirs again.
#[tokio::test]
async fn older_version_in_the_snapshot_is_not_applied() {
    let site = start_site("restore-older", 2).await;
    configure_up_to(&site, 2, 3).await;

    site.restore_store(SNAPSHOT_AGE).await;
    let until = Instant::now() + SETTLE_TIME;
    let mut lowest = u64::MAX;
    while Instant::now() < until {
        for proxy in 0..2 {
            let version = site.status(proxy).await["version"].as_u64();
            lowest = lowest.min(version.unwrap_or_default());
        }
    }

    assert_eq!(lowest, 3);
}

/// A server starts to drain after a restore. Followers must see this although its revision is lower
/// than those that they have seen before the restore.
#[tokio::test]
async fn server_draining_after_a_restore_is_noticed() {
    let site = start_site("restore-leaving", 5).await;
    configure_up_to(&site, 2, LOST_VERSIONS).await;

    site.restore_store(SNAPSHOT_AGE).await;
    tokio::time::sleep(SETTLE_TIME).await;
    site.fault(2, "leaving", true).await;
    let noticed = fixture::eventually(Duration::from_secs(3), || async {
        (0..5).all(|proxy| site.has_logged(proxy, "\"leaving\":true"))
    })
    .await;

    assert!(noticed);
}

/// A restore loses a promotion, and the next primary crashes. No commit may be lost because of an
/// outdated record, server list or failover leader in the snapshot.
#[tokio::test]
async fn promotion_lost_in_a_restore_loses_no_commit() {
    let site = start_site("restore-promotion", 3).await;
    write(&site, 0, "a", "first");
    site.fault(0, "dead", true).await;
    write(&site, 0, "b", "second");
    let promoted = site.promotions().await.as_array().map_or(0, Vec::len);

    site.restore_store(SNAPSHOT_AGE * 2).await;
    write(&site, 1, "c", "third");
    tokio::time::sleep(SETTLE_TIME).await;
    site.fault(0, "dead", false).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let leader = site.group().await["leader"].as_u64().expect("a leader");
    site.fault(leader as usize, "crashed", true).await;
    write(&site, 2, "d", "fourth");
    let tokens = fencing_tokens(&site).await;

    assert!(promoted > 0);
    for item in ["a", "b", "c"] {
        assert!(
            later_primaries_have(&site, promoted, item).await,
            "{item} is lost"
        );
    }
    assert!(tokens.len() >= 2, "{tokens:?}");
    assert!(tokens.is_sorted(), "{tokens:?}");
}

/// All proxies restart during a restore, so that none remembers the earlier fencing tokens. A new
/// failover leader must not get a lower token than an earlier one.
#[tokio::test]
async fn fencing_tokens_rise_across_a_restore_and_restarts() {
    let mut site = start_site("restore-tokens", 3).await;
    configure_up_to(&site, 2, LOST_VERSIONS).await;
    // A new election, so that the fencing token is one of the revisions to be lost.
    let failover_leader = site.failover_leader().await;
    site.kill_proxy(failover_leader);
    tokio::time::sleep(SETTLE_TIME).await;
    site.fault(0, "dead", true).await;
    write(&site, (failover_leader + 1) % 3, "a", "first");
    site.fault(0, "dead", false).await;
    let before = fencing_tokens(&site).await;

    (0..3).for_each(|proxy| site.kill_proxy(proxy));
    site.restore_store(Duration::from_secs(60)).await;
    for proxy in 0..3 {
        site.proxies[proxy] = site.start_proxy(proxy);
    }
    for proxy in 0..3 {
        assert!(site.becomes_ready(proxy).await, "proxy {proxy}");
    }
    write(&site, 0, "b", "second");
    let leader = site.group().await["leader"].as_u64().expect("a leader");
    site.fault(leader as usize, "dead", true).await;
    write(&site, 1, "c", "third");
    let after = fencing_tokens(&site).await;

    assert!(
        !before.is_empty() && after.len() > before.len(),
        "{after:?}"
    );
    assert!(
        after[before.len()..]
            .iter()
            .all(|token| *token > before[before.len() - 1]),
        "{after:?}"
    );
}

/// A restore without any other fault must not cause errors or wrong reads.
#[tokio::test]
async fn restore_causes_no_errors() {
    let site = start_site("restore-calm", 3).await;
    write(&site, 0, "a", "x");
    let mut callers: Vec<Caller> = (0..3).map(|proxy| site.caller(proxy, LATEST)).collect();

    let mut refused = Vec::new();
    let started_at = Instant::now();
    let mut restored = 0;
    while started_at.elapsed() < Duration::from_secs(9) {
        if started_at.elapsed() > Duration::from_secs(2 + 3 * restored) && restored < 2 {
            site.restore_store(SNAPSHOT_AGE).await;
            restored += 1;
        }
        for (proxy, caller) in callers.iter_mut().enumerate() {
            let answer = caller.query("FETCH a");
            if rows(&answer) != ["x"] {
                refused.push(format!("{proxy} at {:?}: {answer:?}", started_at.elapsed()));
            }
            let answer = caller.query(&format!("PUT k{proxy} y"));
            if !answer.is_done() {
                refused.push(format!("{proxy} at {:?}: {answer:?}", started_at.elapsed()));
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    assert!(refused.is_empty(), "{refused:#?}");
    assert_eq!(site.group().await["era"], 2);
}

//! The KV is restored from a snapshot a few seconds old, which reuses revisions and loses later
//! writes. Callers use the PostgreSQL protocol.

mod fixture;

use std::time::Duration;

use fixture::{connect, eventually, insert, operator_json, Layout, Site};

const TIMEOUT: Duration = Duration::from_secs(20);
/// The minimum age of the snapshot, so that it is older than the writes to be lost.
const SNAPSHOT_AGE: Duration = Duration::from_millis(1_500);
/// The number of versions lost in a restore; many, so that the KV's revision decreases far.
const LOST_VERSIONS: u64 = 20;
const THREE_IN_ONE_DC: &[&str] = &["dc-1", "dc-1", "dc-1"];

/// Starts a site and waits until the KV has a snapshot of it.
async fn start_site(name: &str) -> Site {
    let site = Site::build(&Layout::new(name, THREE_IN_ONE_DC)).await;
    tokio::time::sleep(SNAPSHOT_AGE).await;
    site
}

/// Whether every proxy applies `version` in time.
async fn is_applied(site: &Site, version: u64) -> bool {
    eventually(TIMEOUT, || async {
        for proxy in &site.proxies {
            if operator_json(proxy, "/status").await["bundle_version"] != version {
                return false;
            }
        }
        true
    })
    .await
}

/// Repeats the write of `id` through proxy `index` until it is acknowledged.
async fn write(site: &Site, index: usize, id: &str) {
    let written = eventually(TIMEOUT, || async {
        let member = connect(&site.proxies[index], "member", "").await;
        member.simple_query(&insert(id)).await.is_ok()
    })
    .await;
    assert!(written, "{id} is acknowledged");
}

/// Proxies must not wait until the restored KV reaches their last revision again.
#[tokio::test]
async fn bundle_put_after_a_restore_is_applied() {
    let site = start_site("kv-restore-bundle").await;
    for version in 2..=LOST_VERSIONS {
        let (put, text) = site.put_bundle(version);
        assert!(put, "{text}");
    }
    assert!(is_applied(&site, LOST_VERSIONS).await);

    site.restore_kv(SNAPSHOT_AGE).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let kept = is_applied(&site, LOST_VERSIONS).await;
    let (put, text) = site.put_bundle(LOST_VERSIONS + 1);

    assert!(kept, "no proxy reverts");
    assert!(put && is_applied(&site, LOST_VERSIONS + 1).await, "{text}");
}

/// A restore loses the record of a promotion. The record must be written again, and the next
/// primary must be replaceable although its claims refer to a revision that no longer exists.
#[tokio::test]
async fn promotion_lost_in_a_restore_is_recorded_again() {
    let site = start_site("kv-restore-promotion").await;
    write(&site, 0, "order-1").await;
    site.fault(1, "kill", 0, "").await;
    let before = site.wait_for_new_primary(1).await;
    write(&site, 0, "order-2").await;

    site.restore_kv(SNAPSHOT_AGE * 4).await;
    let is_restored = eventually(TIMEOUT, || async {
        site.primary_record().await == Some(before.clone())
    })
    .await;
    let term = site.primary_record().await.expect("a record").term;
    site.fault(1, "start", 0, "").await;
    write(&site, 1, "order-3").await;
    site.fault(0, "kill", site.primary_index(&before), "").await;
    let after = site.wait_for_new_primary(before.term).await;
    write(&site, 2, "order-4").await;
    let rows = site.primary_rows(&after).await;

    assert!(is_restored || term >= before.term, "the record is restored");
    for order in ["order-1", "order-2", "order-3", "order-4"] {
        assert!(rows.contains_key(order), "{order} is lost");
    }
}

/// A restore loses the group's record, and the primary dies. A claim must be possible without a
/// record.
#[tokio::test]
async fn group_without_a_record_after_a_restore_fails_over() {
    let site = Site::build(&Layout::new("kv-restore-none", THREE_IN_ONE_DC)).await;
    write(&site, 0, "order-1").await;

    site.restore_kv(Duration::from_secs(60)).await;
    let (put, text) = site.put_bundle(2);
    site.fault(1, "kill", 0, "").await;
    let record = site.wait_for_new_primary(1).await;
    write(&site, 1, "order-2").await;
    let rows = site.primary_rows(&record).await;

    assert!(put, "{text}");
    assert!(rows.contains_key("order-1") && rows.contains_key("order-2"));
}

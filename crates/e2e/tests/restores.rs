//! PostgreSQL's side while the KV comes back from a copy some seconds old, with its revisions given out again
//! and without what was written since.

mod fixture;

use std::time::Duration;

use fixture::{connect, eventually, insert, operator_json, Layout, Site};

const TIMEOUT: Duration = Duration::from_secs(20);
/// How old the copy is: from before what the tests have the KV forget.
const BACKUP_AGE: Duration = Duration::from_millis(1_500);
/// How many versions are put in the time that the KV loses, so that its revisions go far back.
const LOST_VERSIONS: u64 = 20;
const THREE: &[&str] = &["dc-1", "dc-1", "dc-1"];

/// A site that has been left alone for so long that there is a copy of it.
async fn site(name: &str) -> Site {
    let site = Site::build(&Layout::new(name, THREE)).await;
    tokio::time::sleep(BACKUP_AGE).await;
    site
}

/// Whether every proxy runs `version` in time.
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

/// Writes `id` through proxy `index` until it is acknowledged.
async fn write(site: &Site, index: usize, id: &str) {
    let written = eventually(TIMEOUT, || async {
        let member = connect(&site.proxies[index], "member", "").await;
        member.simple_query(&insert(id)).await.is_ok()
    })
    .await;
    assert!(written, "{id} is acknowledged");
}

/// Guards against proxies that wait for revisions which the KV has yet to reach again.
#[tokio::test]
async fn bundle_put_after_a_restore_is_applied() {
    let site = site("kv-restore-bundle").await;
    for version in 2..=LOST_VERSIONS {
        let (put, text) = site.put_bundle(version);
        assert!(put, "{text}");
    }
    assert!(is_applied(&site, LOST_VERSIONS).await);

    site.restore_kv(BACKUP_AGE).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let kept = is_applied(&site, LOST_VERSIONS).await;
    let (put, text) = site.put_bundle(LOST_VERSIONS + 1);

    assert!(kept, "no proxy goes back");
    assert!(put && is_applied(&site, LOST_VERSIONS + 1).await, "{text}");
}

/// The KV forgets a promotion. Guards against a record that stays behind the servers, and against a group
/// whose next primary is not replaced, as every claim rests on a revision that is no more.
#[tokio::test]
async fn promotion_lost_in_a_restore_is_recorded_again() {
    let site = site("kv-restore-promotion").await;
    write(&site, 0, "order-1").await;
    site.fault(1, "kill", 0, "").await;
    let before = site.wait_for_new_primary(1).await;
    write(&site, 0, "order-2").await;

    site.restore_kv(BACKUP_AGE * 4).await;
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

    assert!(
        is_restored || term >= before.term,
        "the record is written again"
    );
    for order in ["order-1", "order-2", "order-3", "order-4"] {
        assert!(rows.contains_key(order), "{order} is lost");
    }
}

/// The KV forgets the record of a group altogether, and the primary dies. Guards against claims on a record
/// that is gone.
#[tokio::test]
async fn group_without_a_record_after_a_restore_fails_over() {
    let site = Site::build(&Layout::new("kv-restore-none", THREE)).await;
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

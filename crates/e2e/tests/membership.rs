//! New bundles add and remove servers of a group without loss of acknowledged writes.

mod fixture;

use std::time::Duration;

use dandelionpitch_core::{
    keys,
    kv::{self, Swap},
};
use fixture::{connect, eventually, insert, operator_json, scalar, Layout, Site};

const TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than a stopped server counts for promotions after a bundle has removed it.
const REMOVAL_DELAY: Duration = Duration::from_secs(12);
/// Longer than a failover takes.
const FAILOVER_TIME: Duration = Duration::from_secs(3);
const TWO_IN_ONE_DC: &[&str] = &["dc-1", "dc-1"];

/// Puts bundle `version` without these servers and waits until every proxy has applied it.
async fn remove_servers(site: &Site, version: u64, servers: &[usize]) {
    let all = site.servers().into_iter().enumerate();
    let remaining = all.filter(|(index, _)| !servers.contains(index));
    let remaining: Vec<String> = remaining
        .map(|(_, address)| format!("\"{address}\""))
        .collect();
    let remaining = format!("servers = [{}]", remaining.join(", "));
    let line = |line: &str| match line.starts_with("servers = ") {
        true => remaining.clone(),
        false => line.to_owned(),
    };
    let edit = |bundle: String| bundle.lines().map(line).collect::<Vec<_>>().join("\n");
    let (put, text) = site.put_bundle_with(version, edit);
    assert!(put, "{text}");
    for proxy in &site.proxies {
        let is_applied =
            || async { operator_json(proxy, "/status").await["bundle_version"] == version };
        assert!(
            eventually(TIMEOUT, is_applied).await,
            "version {version} is applied"
        );
    }
}

/// Repeats the write of `id` until it is acknowledged. Each attempt inserts its own row.
async fn write(site: &Site, id: &str) {
    let written = eventually(TIMEOUT, || async {
        let member = connect(&site.proxies[0], "member", "").await;
        member.simple_query(&insert(id)).await.is_ok()
    })
    .await;
    assert!(written, "{id} is acknowledged");
}

/// Whether a failover has completed and the new primary has the row `id`.
async fn has_row(site: &Site, id: &str) -> bool {
    row_after_failover(site, id).await == Some(true)
}

/// Whether the new primary has the row `id`; `None` if no failover has completed.
async fn row_after_failover(site: &Site, id: &str) -> Option<bool> {
    let record = site.primary_record().await.expect("a record");
    match record.server.is_some() && record.term > 1 {
        true => Some(site.primary_rows(&record).await.contains_key(id)),
        false => None,
    }
}

/// Replica 1 is partitioned, so only replica 2 has an acknowledged write. A bundle removes replica
/// 2 and the primary dies. Replica 1, the only remaining server of the list, must not be promoted,
/// however short the list is.
#[tokio::test]
async fn removed_server_still_counts_for_its_commits() {
    let site = Site::build(&Layout::new("shrink", &["dc-1"])).await;
    site.fault(2, "isolate", 1, "").await;
    let member = connect(&site.proxies[0], "member", "").await;
    let order = member.simple_query(&insert("order-1")).await;
    order.expect("the write is acknowledged");

    let removed = format!(", \"{}\"", site.servers()[2]);
    let (put, text) = site.put_bundle_with(2, |bundle| bundle.replace(&removed, ""));
    let is_applied = eventually(TIMEOUT, || async {
        operator_json(&site.proxies[0], "/status").await["bundle_version"] == 2
    })
    .await;
    site.fault(2, "kill", 0, "").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let record = site.primary_record().await.expect("a record");

    assert!(put && is_applied, "{text}");
    assert!(record.term > 1 && record.server.is_some(), "{record:?}");
    let rows = site.primary_rows(&record).await;
    assert!(rows.contains_key("order-1"), "lost: {record:?}");
}

/// Operators wait until the status no longer shows a removed server before they use its VM for
/// something else. The server must be shown while it may be the only one with a commit, and no
/// longer after that.
#[tokio::test]
async fn removed_and_stopped_server_no_longer_counts() {
    let site = Site::build(&Layout::new("forgotten", TWO_IN_ONE_DC)).await;
    let shown = || async {
        let servers = &operator_json(&site.proxies[0], "/status").await["groups"][0]["servers"];
        let unlisted = |server: &serde_json::Value| server["listed"] == false;
        servers
            .as_array()
            .is_some_and(|all| all.iter().any(unlisted))
    };

    remove_servers(&site, 2, &[2]).await;
    let is_counted = shown().await;
    site.fault(0, "kill", 2, "").await;
    let is_removed = eventually(TIMEOUT, || async { !shown().await }).await;
    site.fault(1, "kill", 0, "").await;
    let record = site.wait_for_new_primary(1).await;

    assert!(is_counted && is_removed);
    assert_eq!(site.primary_index(&record), 1);
}

/// A removed server is not stopped, and later it is the only replica that acknowledges commits. A
/// promotion must not lose them.
#[tokio::test]
async fn removed_server_that_still_replicates_counts() {
    let site = Site::build(&Layout::new("still-replicates", TWO_IN_ONE_DC)).await;
    remove_servers(&site, 2, &[2]).await;
    tokio::time::sleep(REMOVAL_DELAY).await;
    site.fault(0, "isolate", 1, "").await;
    write(&site, "order-1").await;

    site.fault(2, "kill", 0, "").await;
    tokio::time::sleep(FAILOVER_TIME).await;

    assert!(has_row(&site, "order-1").await);
}

/// A bundle removes the primary. No proxy writes to it any more, so it must be replaced although
/// replicas still receive from it.
#[tokio::test]
async fn removed_primary_is_replaced() {
    let site = Site::build(&Layout::new("primary-out", TWO_IN_ONE_DC)).await;
    write(&site, "order-1").await;

    remove_servers(&site, 2, &[0]).await;
    write(&site, "order-2").await;
    let record = site.wait_for_new_primary(1).await;
    let rows = site.primary_rows(&record).await;

    assert_ne!(site.primary_index(&record), 0);
    assert!(rows.contains_key("order-1") && rows.contains_key("order-2"));
}

/// During a failover a bundle removes the only replica with an acknowledged write. The write must
/// not be lost, and the group must get a primary again.
#[tokio::test]
async fn server_removed_during_a_failover_still_counts() {
    let site = Site::build(&Layout::new("out-failover", TWO_IN_ONE_DC)).await;
    site.fault(2, "isolate", 1, "").await;
    for server in [1, 2] {
        site.fault(0, "slow_fence", server, "600").await;
    }
    write(&site, "order-1").await;

    site.fault(2, "kill", 0, "").await;
    let claimed = || async {
        site.primary_record()
            .await
            .is_some_and(|r| r.server.is_none())
    };
    assert!(eventually(TIMEOUT, claimed).await);
    remove_servers(&site, 2, &[2]).await;
    tokio::time::sleep(FAILOVER_TIME).await;
    let kept_by_failover = has_row(&site, "order-1").await;
    site.fault(2, "join", 1, "").await;
    site.fault(2, "start", 0, "").await;
    write(&site, "order-2").await;

    assert!(kept_by_failover);
    assert!(has_row(&site, "order-1").await);
}

/// Two bundles remove first the replica that has a write and then the old primary. The remaining
/// server must not be taken for the complete group.
#[tokio::test]
async fn servers_removed_one_by_one_still_count() {
    let site = Site::build(&Layout::new("two-out", TWO_IN_ONE_DC)).await;
    site.fault(2, "isolate", 1, "").await;
    write(&site, "order-1").await;

    remove_servers(&site, 2, &[2]).await;
    remove_servers(&site, 3, &[0, 2]).await;
    site.fault(2, "kill", 0, "").await;
    tokio::time::sleep(FAILOVER_TIME).await;

    assert!(has_row(&site, "order-1").await);
}

/// All proxies restart with a bundle that lacks the only replica with a write. They must not take
/// the bundle's list for the complete group.
#[tokio::test]
async fn server_removed_while_no_proxy_runs_still_counts() {
    let mut site = Site::build(&Layout::new("out-restart", TWO_IN_ONE_DC)).await;
    site.fault(2, "isolate", 1, "").await;
    write(&site, "order-1").await;

    site.proxies
        .iter_mut()
        .for_each(|proxy| proxy.process.kill());
    site.put_bundle_with(2, |bundle| {
        bundle.replace(&format!(", \"{}\"", site.servers()[2]), "")
    });
    site.restart_proxies();
    remove_servers(&site, 3, &[2]).await;
    site.fault(2, "kill", 0, "").await;
    tokio::time::sleep(FAILOVER_TIME).await;

    assert!(has_row(&site, "order-1").await);
}

/// The KV applies writes but loses the answers while a bundle removes a server and the primary
/// dies. The record must not end up with the shorter list.
#[tokio::test]
async fn server_removed_while_the_kv_loses_answers_still_counts() {
    let site = Site::build(&Layout::new("out-kv-lost", TWO_IN_ONE_DC)).await;
    site.fault(2, "isolate", 1, "").await;
    write(&site, "order-1").await;
    site.kv_fault("dc-1", serde_json::json!({ "lose_answer": true }))
        .await;

    remove_servers(&site, 2, &[2]).await;
    site.fault(2, "kill", 0, "").await;
    tokio::time::sleep(FAILOVER_TIME).await;

    assert!(has_row(&site, "order-1").await);
}

/// The KV is slow and the claimant is frozen while a bundle removes a server during its failover.
/// The claimant must not go on with the outdated list.
#[tokio::test]
async fn server_removed_while_the_claimant_is_frozen_still_counts() {
    let site = Site::build(&Layout::new("out-frozen", TWO_IN_ONE_DC)).await;
    site.kv_fault("dc-1", serde_json::json!({ "delay_ms": 100 }))
        .await;
    site.fault(2, "isolate", 1, "").await;
    for server in [1, 2] {
        site.fault(0, "slow_fence", server, "600").await;
    }
    write(&site, "order-1").await;

    site.fault(2, "kill", 0, "").await;
    let claimed = || async {
        site.primary_record()
            .await
            .is_some_and(|r| r.server.is_none())
    };
    assert!(eventually(TIMEOUT, claimed).await);
    site.proxies[0].process.set_paused(true);
    let (put, text) = site.put_bundle_with(2, |bundle| {
        bundle.replace(&format!(", \"{}\"", site.servers()[2]), "")
    });
    tokio::time::sleep(FAILOVER_TIME).await;
    site.proxies[0].process.set_paused(false);
    tokio::time::sleep(FAILOVER_TIME).await;

    assert!(put, "{text}");
    assert!(has_row(&site, "order-1").await);
}

/// The group's record is unreadable when all proxies restart with a shorter list. They must neither
/// promote as if there were no record, nor refuse all writes as if the group were new.
#[tokio::test]
async fn unreadable_record_blocks_promotion() {
    let mut site = Site::build(&Layout::new("out-unreadable", TWO_IN_ONE_DC)).await;
    site.fault(2, "isolate", 1, "").await;
    write(&site, "order-1").await;

    site.proxies
        .iter_mut()
        .for_each(|proxy| proxy.process.kill());
    let kv = kv::Client::new(site.kv_url());
    let key = keys::primary("ledger");
    let now = kv
        .get(&key)
        .await
        .expect("the KV answers")
        .expect("a record");
    let update = kv.put_if(&key, b"not a record", now.mod_revision).await;
    site.restart_proxies();
    remove_servers(&site, 2, &[2]).await;
    site.fault(2, "kill", 0, "").await;
    tokio::time::sleep(FAILOVER_TIME).await;
    let status = site.server(1).await;
    let status = scalar(&status, "SHOW dandelionpitch.status").await;
    site.fault(2, "start", 0, "").await;
    write(&site, "order-2").await;

    assert!(matches!(update, Ok(Swap::Done { .. })));
    let stored = kv
        .get(&key)
        .await
        .expect("the KV answers")
        .expect("a record");
    assert_eq!(stored.value, b"not a record", "{status:?}");
}

/// The only replica with a write restarts with an empty log as the primary dies. It must not count
/// towards the quorum for the new term.
#[tokio::test]
async fn server_restarted_empty_does_not_count_for_promotion() {
    let site = Site::build(&Layout::new("put-back", TWO_IN_ONE_DC)).await;
    site.fault(2, "isolate", 1, "").await;
    write(&site, "order-1").await;

    site.fault(1, "kill", 0, "").await;
    site.fault(1, "kill", 2, "").await;
    site.fault(1, "wipe", 2, "").await;
    tokio::time::sleep(FAILOVER_TIME).await;
    let without_the_log = row_after_failover(&site, "order-1").await;
    site.fault(1, "join", 1, "").await;
    site.fault(1, "start", 0, "").await;
    write(&site, "order-2").await;

    assert_eq!(without_the_log, None, "no server may be promoted");
    // The old primary may lead again without a failover.
    assert_ne!(row_after_failover(&site, "order-1").await, Some(false));
}

/// As above, with the replica out of the list while it restarts. Its new incarnation must not be
/// taken for the one that has the write.
#[tokio::test]
async fn server_relisted_empty_does_not_count_for_promotion() {
    let site = Site::build(&Layout::new("listed-again", TWO_IN_ONE_DC)).await;
    site.fault(2, "isolate", 1, "").await;
    write(&site, "order-1").await;

    remove_servers(&site, 2, &[2]).await;
    site.fault(1, "kill", 0, "").await;
    site.fault(1, "kill", 2, "").await;
    site.fault(1, "wipe", 2, "").await;
    remove_servers(&site, 3, &[]).await;
    tokio::time::sleep(FAILOVER_TIME).await;

    let without_the_log = row_after_failover(&site, "order-1").await;
    assert_eq!(without_the_log, None, "no server may be promoted");
}

/// The primary and a replica restart empty at once. Guards against a group without a primary for good,
/// as its quorum counts logs that no longer exist; the remaining log has every write.
#[tokio::test]
async fn two_servers_restarted_empty_leave_a_primary() {
    let site = Site::build(&Layout::new("two-empty", TWO_IN_ONE_DC)).await;
    write(&site, "order-1").await;
    tokio::time::sleep(Duration::from_millis(200)).await;

    for server in [0, 1] {
        site.fault(2, "kill", server, "").await;
    }
    for server in [0, 1] {
        site.fault(2, "wipe", server, "").await;
    }
    let record = site.wait_for_new_primary(1).await;
    write(&site, "order-2").await;

    assert_eq!(site.primary_index(&record), 2);
    assert!(has_row(&site, "order-1").await);
}

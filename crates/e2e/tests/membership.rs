//! A new bundle changes which servers a group has; what was acknowledged before stays.

mod fixture;

use std::time::Duration;

use dandelionpitch_core::{
    keys,
    kv::{self, Swap},
};
use fixture::{connect, eventually, insert, operator_json, scalar, Layout, Site};

const TIMEOUT: Duration = Duration::from_secs(20);
/// After this a server that was taken out and has stopped counts no longer.
const REMOVAL_DELAY: Duration = Duration::from_secs(12);
/// Well above the time in which a dead primary is replaced.
const FAILOVER_TIME: Duration = Duration::from_secs(3);
const TWO_IN_ONE_DC: &[&str] = &["dc-1", "dc-1"];

/// Puts bundle `version` without these servers and waits until every proxy runs it.
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
            "version {version} in force"
        );
    }
}

/// Writes `id` until it is acknowledged; each attempt is a row of its own.
async fn write(site: &Site, id: &str) {
    let written = eventually(TIMEOUT, || async {
        let member = connect(&site.proxies[0], "member", "").await;
        member.simple_query(&insert(id)).await.is_ok()
    })
    .await;
    assert!(written, "{id} is acknowledged");
}

/// Whether the primary that the record names, if it names one of a later term, has the row.
async fn has_row(site: &Site, id: &str) -> bool {
    let record = site.primary_record().await.expect("a record");
    match record.server.is_some() && record.term > 1 {
        true => site.primary_rows(&record).await.contains_key(id),
        false => true,
    }
}

/// Replica 1 is cut off, so a member's order is acknowledged by replica 2 alone. Operators then take
/// replica 2 out of the group, and the primary dies. Of the servers still listed only replica 1 is
/// left, which lacks the order: it must not lead, however few servers the new list has.
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
    if record.term > 1 && record.server.is_some() {
        let rows = site.primary_rows(&record).await;
        assert!(rows.contains_key("order-1"), "lost: {record:?}");
    }
}

/// Operators wait until the server that they took out counts no longer before its VM is used for something
/// else. Guards against a status that keeps it for ever, or drops it while it may be alone with a commit.
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

/// The server taken out of the list is not stopped and goes on confirming commits, alone, long after it
/// was taken out. Guards against a promotion that loses them.
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

/// Operators take the server that leads out of the list. Guards against a group whose writes are refused
/// from then on, as its replicas go on hearing from a primary that no proxy uses.
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

/// While a failover is under way, operators take out the replica that alone has an acknowledged order.
/// Guards against an order lost, and a group left without a primary.
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

/// Two bundles in a row take out the replica that has the order and the one that lacks it. Guards against
/// a group of which one server is left that looks complete.
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

/// All proxies die, and those that replace them know only a bundle that lacks the replica with the order.
/// Guards against proxies that take the list of the bundle for the whole group.
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

/// The KV loses the answers to all writes while the list shrinks and the primary dies. Guards against a
/// record that keeps the shorter list.
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

/// The KV is slow while the list shrinks and the primary dies, and the claimant is frozen for a while in
/// the middle. Guards against an attempt that goes on by the list it began with.
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

/// The record of the group cannot be read when the list shrinks and all proxies start again. Guards against
/// proxies that promote as if there were no record, or refuse all writes as if the group were new.
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
    let now = kv.get(&key).await.expect("the KV").expect("a record");
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
    let stored = kv.get(&key).await.expect("the KV").expect("a record");
    assert_eq!(stored.value, b"not a record", "{status:?}");
}

/// The replica that alone has an order loses its log and is put back under its address, empty, as the
/// primary dies. Guards against counting it among those that hold the new term.
#[tokio::test]
async fn server_restarted_empty_does_not_count_for_promotion() {
    let site = Site::build(&Layout::new("put-back", TWO_IN_ONE_DC)).await;
    site.fault(2, "isolate", 1, "").await;
    write(&site, "order-1").await;

    site.fault(1, "kill", 0, "").await;
    site.fault(1, "kill", 2, "").await;
    site.fault(1, "wipe", 2, "").await;
    tokio::time::sleep(FAILOVER_TIME).await;
    let kept_by_failover = has_row(&site, "order-1").await;
    site.fault(1, "join", 1, "").await;
    site.fault(1, "start", 0, "").await;
    write(&site, "order-2").await;

    assert!(kept_by_failover);
    assert!(has_row(&site, "order-1").await);
}

/// The same with the replica out of the list in between. Guards against taking its new life for the one
/// that has the order.
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

    assert!(has_row(&site, "order-1").await);
}

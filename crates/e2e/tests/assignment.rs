//! Only a few proxies watch the servers of a group. The others serve it as well.

mod fixture;

use std::time::{Duration, Instant};

use fixture::{
    connect, eventually,
    history::{self, Violations, Writer},
    insert, operator_json, scalar, Layout, Proxy, Site,
};

const TIMEOUT: Duration = Duration::from_secs(20);
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
const OBSERVATION_PERIOD: Duration = Duration::from_millis(300);
const SIX_IN_THREE_DCS: &[&str] = &["dc-1", "dc-1", "dc-2", "dc-2", "dc-3", "dc-3"];

/// Starts six proxies in three data centres and waits until they know each other. Also returns the
/// indexes of the proxies that watch the group.
async fn start_site(name: &str) -> (Site, Vec<usize>) {
    start_site_with_settings(name, "").await
}

/// As [`start_site`], with `settings` appended to the settings of every proxy.
async fn start_site_with_settings(name: &str, settings: &str) -> (Site, Vec<usize>) {
    let mut layout = Layout::new(name, SIX_IN_THREE_DCS);
    layout.settings = settings;
    let site = Site::build(&layout).await;
    let settled = eventually(TIMEOUT, || async { all_members_known(&site).await }).await;
    assert!(settled, "all six proxies know each other");
    let watchers = watchers(&site).await;
    (site, watchers)
}

async fn all_members_known(site: &Site) -> bool {
    let mut all = true;
    for proxy in &site.proxies {
        all &= operator_json(proxy, "/status").await["members"] == site.proxies.len();
    }
    all
}

/// The indexes of the proxies that watch the group.
async fn watchers(site: &Site) -> Vec<usize> {
    let mut watchers = Vec::new();
    for (index, proxy) in site.proxies.iter().enumerate() {
        let report = operator_json(proxy, "/status").await;
        if report["groups"][0]["watched"] == true {
            watchers.push(index);
        }
    }
    watchers
}

fn others<'a>(site: &'a Site, watchers: &[usize]) -> Vec<&'a Proxy> {
    let all = site.proxies.iter().enumerate();
    let others = all.filter(|(index, _)| !watchers.contains(index));
    others.map(|(_, proxy)| proxy).collect()
}

/// One proxy per data centre watches the group, so that two remain if a data centre is lost.
/// Callers of the other proxies read their own writes and are served by replicas.
#[tokio::test]
async fn group_is_served_by_proxies_that_do_not_watch_it() {
    let (site, watchers) = start_site("watched").await;
    let others = others(&site, &watchers);
    let member = connect(others[0], "member", "").await;
    member
        .simple_query(&insert("order-1"))
        .await
        .expect("the statement succeeds");
    let token = scalar(&member, "SHOW dandelionpitch.position").await;
    let options = format!("-c dandelionpitch.position={}", token.expect("a token"));
    let query = "SELECT * FROM ledger WHERE id = 'order-1'";

    let mut seen = Vec::new();
    for proxy in &others {
        let roamed = connect(proxy, "member", &options).await;
        seen.push(scalar(&roamed, query).await);
    }
    let lookup = connect(others[1], "lookup", "").await;
    let by_replica = eventually(TIMEOUT, || async {
        let server = scalar(&lookup, "SHOW dandelionpitch.server").await;
        server.is_some_and(|server| server != "0")
    })
    .await;

    let mut dcs: Vec<&str> = watchers
        .iter()
        .map(|&i| site.proxies[i].dc.as_str())
        .collect();
    dcs.sort();
    assert_eq!(dcs, ["dc-1", "dc-2", "dc-3"]);
    assert_eq!(seen, vec![Some("order-1".to_owned()); 3]);
    assert!(by_replica);
}

/// The primary is killed while a caller writes through a proxy that does not watch the group. The
/// proxy learns of the new primary from the record in the KV.
#[tokio::test]
async fn failover_reaches_proxies_that_do_not_watch() {
    let (site, watchers) = start_site("watched-failover").await;
    let writer = Writer::start(others(&site, &watchers)[0], "w");
    tokio::time::sleep(OBSERVATION_PERIOD).await;

    site.fault(1, "kill", 0, "").await;
    let record = site.wait_for_new_primary(1).await;
    let since = Instant::now();
    tokio::time::sleep(2 * OBSERVATION_PERIOD).await;
    let attempts = writer.stop().await;
    let rows = site.primary_rows(&record).await;

    assert_eq!(record.term, 2);
    assert_eq!(
        history::check(&attempts, &rows, None),
        Violations::default()
    );
    assert!(
        history::acked_after(&attempts, since) > 10,
        "writes resumed"
    );
}

/// A replica freezes, which a proxy that does not watch the group cannot know. Reads that it sends
/// there, on an open connection or on a new one, must be retried on another server soon, and not
/// only when the connection or statement timeout of at least 20 s has passed.
#[tokio::test]
async fn frozen_replica_does_not_delay_reads() {
    let long_timeouts = "[backend]\nconnect_timeout = \"20s\"\npool_wait = \"20s\"\n";
    let (site, watchers) = start_site_with_settings("watched-frozen", long_timeouts).await;
    let others = others(&site, &watchers);
    let warm = connect(others[0], "lookup", "").await;
    for _ in 0..10 {
        scalar(&warm, "SHOW dandelionpitch.server").await;
    }
    let lookup = connect(others[1], "lookup", "").await;

    site.fault(0, "freeze", 2, "").await;
    let since = Instant::now();
    let mut servers = Vec::new();
    for _ in 0..20 {
        servers.push(scalar(&warm, "SHOW dandelionpitch.server").await);
        servers.push(scalar(&lookup, "SHOW dandelionpitch.server").await);
    }
    let took = since.elapsed();

    assert!(servers.iter().all(|server| server.as_deref() == Some("1")));
    assert!(took < Duration::from_secs(10), "took {took:?}");
}

/// A watcher is killed. When the lease of its heartbeat expires, another proxy starts to watch the
/// group.
#[tokio::test]
async fn dead_watcher_is_replaced() {
    let (mut site, watchers) = start_site("watcher-dead").await;
    let dead = watchers[0];
    let record = dandelionpitch_core::keys::proxy(&site.proxies[dead].dc, &format!("proxy-{dead}"));

    site.proxies[dead].process.kill();
    site.expire_lease(&record).await;
    site.proxies.remove(dead);
    let replaced = eventually(TIMEOUT, || async {
        let now = self::watchers(&site).await;
        now.len() == 3
    })
    .await;

    assert!(replaced, "{:?}", self::watchers(&site).await);
}

/// All three watchers of a group are killed together with its primary. Other proxies start to watch
/// the group when the heartbeat leases expire, and replace the primary within [`RECOVERY_TIMEOUT`].
#[tokio::test]
async fn all_watchers_and_the_primary_lost_at_once() {
    let (mut site, watchers) = start_site("watchers-dead").await;

    for &dead in &watchers {
        site.proxies[dead].process.kill();
    }
    site.fault(1, "kill", 0, "").await;
    let since = Instant::now();
    let record = site.wait_for_new_primary(1).await;
    let took = since.elapsed();

    assert_eq!(record.term, 2);
    assert!(took < RECOVERY_TIMEOUT, "took {took:?}");
}

/// The KV is down in one data centre when the primary dies. A proxy there that does not watch the
/// group cannot read the new record. It must find the new primary by asking the servers.
#[tokio::test]
async fn failover_is_detected_without_the_kv() {
    let (site, watchers) = start_site("watched-no-kv").await;
    let other = others(&site, &watchers)[0];
    let down = serde_json::json!({ "down": true });
    site.kv_fault(&other.dc, down).await;
    let writer = Writer::start(other, "w");
    tokio::time::sleep(OBSERVATION_PERIOD).await;

    site.fault(1, "kill", 0, "").await;
    site.wait_for_new_primary(1).await;
    tokio::time::sleep(2 * OBSERVATION_PERIOD).await;
    let since = Instant::now();
    tokio::time::sleep(2 * OBSERVATION_PERIOD).await;
    let attempts = writer.stop().await;

    assert!(
        history::acked_after(&attempts, since) > 10,
        "writes resumed"
    );
}

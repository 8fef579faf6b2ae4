//! Failovers with a second fault between the promotion call and the time at which it takes effect,
//! or just after that. Statements may be refused, but no acknowledged commit may be lost.

mod fixture;

use std::time::{Duration, Instant};

use fixture::line::{Caller, Site, FAILOVER_TIMEOUT, LATEST, PATIENT};
use yare::parameterized;

/// How long callers write: until a second promotion, if there is one, has taken effect.
const WRITE_PERIOD: Duration = Duration::from_millis(2_500);

/// Starts one proxy. Promotions take effect 600 ms after their call, and an old primary steps down
/// 1 s after it learns of the new one.
async fn start_site(name: &str) -> Site {
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

/// Starts proxies whose statements wait for a primary, and waits until one of them has elected itself
/// failover leader. Promotions take effect 1.5 s after their call. Returns a proxy that does not own the
/// group's connections, if there is one.
async fn start_waiting_site(name: &str, proxies: usize, max_connections: usize) -> (Site, usize) {
    let arguments = ["--promote-ms", "0", "--effect-ms", "1500"];
    let site = Site::start_waiting(name, proxies, max_connections, &arguments).await;
    site.failover_leader().await;
    let owners = match proxies {
        1 => vec![0],
        _ => site.wait_for_owners(1).await,
    };
    let proxy = (owners[0] + 1) % proxies;
    assert!(site.caller(proxy, PATIENT).query("PUT first v").is_done());
    (site, proxy)
}

/// Whether a proxy has logged a line of the kind `recovery` about the start or the end of an outage.
fn has_logged_recovery(site: &Site, what: &str) -> bool {
    let text = format!("\"what\":\"{what}\"");
    let lines = site.log_lines_with("\"kind\":\"recovery\"");
    lines.iter().any(|line| line.contains(&text))
}

/// The groups without a primary in the status reports of all proxies.
async fn outages(site: &Site) -> Vec<serde_json::Value> {
    let mut all = Vec::new();
    for proxy in 0..site.proxies.len() {
        let report = site.status(proxy).await["without_primary"].clone();
        all.extend(report.as_array().cloned().unwrap_or_default());
    }
    all
}

/// Crashes the primary and sends writes until one of them finds no primary. One that is sent over an open
/// connection finds only that its outcome is unknown. Returns the writes' callers.
async fn crash_primary(site: &Site, proxy: usize) -> Vec<Caller> {
    site.fault(0, "crashed", true).await;
    let mut callers = Vec::new();
    while !has_logged_recovery(site, "start") {
        assert!(callers.len() < 20, "no outage in the log");
        let mut caller = site.caller(proxy, PATIENT);
        caller.send("QUERY w1 PUT early v");
        callers.push(caller);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    callers
}

/// A write that arrives during a failover is answered after it, and applied once. Guards against a
/// refusal, and against a forwarding proxy that takes the wait for a lost answer.
#[parameterized(on_owner = { 1, 30 }, forwarded = { 7, 8 })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn write_waits_for_the_failover(proxies: usize, max_connections: usize) {
    let name = format!("write-waits-{proxies}");
    let (site, proxy) = start_waiting_site(&name, proxies, max_connections).await;
    let _early = crash_primary(&site, proxy).await;
    let during = outages(&site).await;

    let answer = site.caller(proxy, PATIENT).query("PUT late v");

    assert!(answer.is_done(), "{answer:?}");
    assert!(has_logged_recovery(&site, "end"));
    assert_eq!(site.count_in_log("late", "v").await, 1);
    assert_eq!(during.len(), 1, "{during:?}");
    assert_eq!(during[0]["service"], "ledger");
    assert_eq!(outages(&site).await, [serde_json::Value::Null; 0]);
}

/// A caller that disconnects while its write waits gives up its place. Guards against a write that runs
/// long after its caller has left, also if another proxy has forwarded it.
#[parameterized(on_owner = { 1, 30 }, forwarded = { 7, 8 })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn write_of_a_disconnected_caller_does_not_wait(proxies: usize, max_connections: usize) {
    let name = format!("caller-left-{proxies}");
    let (site, proxy) = start_waiting_site(&name, proxies, max_connections).await;
    let mut gone = site.caller(proxy, PATIENT);
    let _early = crash_primary(&site, proxy).await;

    gone.send("QUERY w2 PUT gone v");
    drop(gone);
    let answer = site.caller(proxy, PATIENT).query("PUT late v");

    assert!(answer.is_done(), "{answer:?}");
    assert_eq!(site.count_in_log("gone", "v").await, 0);
}

/// Too few servers are left for a promotion, so the primary never comes back. A write that waits in vain is
/// refused as not run. Guards against a forwarding proxy that stops waiting first, as it cannot tell
/// whether the write was run.
#[tokio::test(flavor = "multi_thread")]
async fn write_that_waits_in_vain_is_refused_as_not_run() {
    let (site, proxy) = start_waiting_site("in-vain", 7, 8).await;
    site.fault(1, "crashed", true).await;
    let _early = crash_primary(&site, proxy).await;

    let answer = site.caller(proxy, PATIENT).query("PUT late v");

    assert_eq!(answer.code(), "BUSY", "{answer:?}");
    let why = "not run: no primary was found while it waited; come back in ";
    assert!(answer.completion.contains(why), "{answer:?}");
}

/// The primary's replicas receive nothing, so that a write is overdue and the primary suspected, and then it
/// crashes. Guards against writes that are refused during the failover because nobody confirms a primary
/// that is gone.
#[tokio::test(flavor = "multi_thread")]
async fn write_waits_for_the_successor_of_a_suspected_primary() {
    let (site, proxy) = start_waiting_site("suspected", 1, 30).await;
    let mut first = site.caller(proxy, PATIENT);
    let mut second = site.caller(proxy, PATIENT);
    site.fault(0, "cut", true).await;
    first.send("QUERY w1 PUT early v");
    wait_for_log(&site, "\"kind\":\"doubt\"").await;
    site.fault(0, "crashed", true).await;
    wait_for_log(&site, "\"kind\":\"failover\"").await;

    let answer = second.query("PUT late v");

    assert!(answer.is_done(), "{answer:?}");
    assert_eq!(site.count_in_log("late", "v").await, 1);
}

/// Guards against writes that are refused after their wait because their targets have passed.
#[tokio::test(flavor = "multi_thread")]
async fn all_writes_that_waited_are_served() {
    let (site, proxy) = start_waiting_site("all-served", 1, 30).await;
    let mut callers: Vec<_> = (0..40).map(|_| site.caller(proxy, PATIENT)).collect();
    let _early = crash_primary(&site, proxy).await;

    for (index, caller) in callers.iter_mut().enumerate() {
        caller.send(&format!("QUERY w{index} PUT late{index} v"));
    }

    for caller in &mut callers {
        let answer = caller.read_answer();
        assert!(answer.is_done(), "{answer:?}");
    }
}

/// A transaction that begins during a failover waits for it, also one that only reads but must see every
/// commit.
#[parameterized(write = { "BEGIN", "PUT late v" }, read = { "BEGIN FETCH", "FETCH first" })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn transaction_waits_for_the_failover(begin: &str, statement: &str) {
    let (site, proxy) = start_waiting_site(&begin.replace(' ', "-"), 1, 30).await;
    let mut second = site.caller(proxy, PATIENT);
    let _early = crash_primary(&site, proxy).await;

    assert!(second.query(begin).is_done());
    let answer = second.query(statement);

    assert!(answer.is_done(), "{answer:?}");
    assert!(second.query("COMMIT").is_done());
}

/// Waits for a line in the proxy's log that contains `text`.
async fn wait_for_log(site: &Site, text: &str) {
    let seen = fixture::eventually(FAILOVER_TIMEOUT, || async { site.has_logged(0, text) });
    assert!(seen.await, "no {text} in the log");
}

/// Waits until a promotion has been requested. Returns the server to be promoted and the other
/// replica.
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

/// Writes one item after the other for [`WRITE_PERIOD`]. Returns the acknowledged items.
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

/// The acknowledged items that are not in the log of the final primary.
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

/// Guards against the promotion of a third server, which lacks acknowledged commits, when the new
/// primary is too busy to answer the failover leader and its last known status is that of a paused
/// replica. The other servers, which follow the new term, prove that there is a primary.
#[tokio::test]
async fn busy_new_primary_loses_no_acknowledged_commit() {
    let site = start_site("no-time").await;
    site.fault(0, "leaving", true).await;
    let (new, _) = wait_for_promotion(&site).await;
    site.fault(new, "busy", true).await;

    // The next evaluation is 1.2 s after the promotion call and lasts 300 ms.
    let next_attempt = fixture::eventually(Duration::from_secs(2), || async {
        site.log_lines_with("\"kind\":\"failover\"").len() > 1
    });
    let replaced = next_attempt.await;
    site.fault(new, "busy", false).await;
    let acknowledged = write_items(&site);

    assert!(!replaced, "a busy primary was to be replaced");
    assert!(!acknowledged.is_empty());
    assert_eq!(lost_items(&site, acknowledged).await, Vec::<String>::new());
}

/// The primary crashes and a replica is to be promoted. Before that takes effect the primary is
/// back, and the other replica restarts without its pause. It receives from the old primary and
/// confirms commits that the promoted server lacks. These must not be acknowledged.
#[tokio::test]
async fn replica_restarted_before_the_promotion_loses_no_acknowledged_commit() {
    let site = start_site("forgets").await;
    site.fault(0, "crashed", true).await;
    let (_, other) = wait_for_promotion(&site).await;

    site.fault(0, "crashed", false).await;
    site.fault(other, "crashed", true).await;
    site.fault(other, "crashed", false).await;
    let acknowledged = write_items(&site);

    assert!(!acknowledged.is_empty());
    assert_eq!(lost_items(&site, acknowledged).await, Vec::<String>::new());
}

/// The primary crashes and restarts before the promotion takes effect, so it has not been told to
/// step down. The other replica does not reach the new primary. Its pause ends with the promotion,
/// so it receives from the old primary and confirms commits that the new primary lacks. These must
/// not be acknowledged.
#[tokio::test]
async fn restarted_old_primary_loses_no_acknowledged_commit() {
    let site = start_site("back").await;
    site.partition_servers(1, 2, true).await;
    site.fault(0, "crashed", true).await;
    wait_for_promotion(&site).await;

    site.fault(0, "crashed", false).await;
    let acknowledged = write_items(&site);
    site.partition_servers(1, 2, false).await;

    assert_eq!(lost_items(&site, acknowledged).await, Vec::<String>::new());
}

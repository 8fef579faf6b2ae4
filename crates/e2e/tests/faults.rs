//! Faults of proxies and connections, draining servers and concurrent operators. Faults of
//! primaries are in `failover`.

mod fixture;

use std::time::{Duration, Instant};

use fixture::{
    connect, dpctl, eventually,
    history::{self, Outcome, Violations, Writer},
    insert, operator_json, scalar, Layout, Site,
};

const TIMEOUT: Duration = Duration::from_secs(20);
const OBSERVATION_PERIOD: Duration = Duration::from_millis(300);
/// How long a draining server may still get new statements.
const DRAIN_GRACE: Duration = Duration::from_secs(3);
const TWO_IN_ONE_DC: &[&str] = &["dc-1", "dc-1"];

/// A proxy is killed during a transaction. The server rolls back when the connection closes, and
/// nothing of the transaction is visible through another proxy.
#[tokio::test]
async fn proxy_killed_in_a_transaction() {
    let mut site = Site::build(&Layout::new("proxy-killed", TWO_IN_ONE_DC)).await;
    let member = connect(&site.proxies[0], "member", "").await;
    member.simple_query("BEGIN").await.expect("BEGIN succeeds");
    member
        .simple_query(&insert("tx-1"))
        .await
        .expect("the statement succeeds");

    site.proxies[0].process.kill();
    let commit = member.simple_query("COMMIT").await;
    let other = connect(&site.proxies[1], "strict", "").await;
    other
        .simple_query(&insert("alone"))
        .await
        .expect("the statement succeeds");
    let query = "SELECT * FROM ledger WHERE id = 'tx-1'";
    let seen = scalar(&other, query).await;
    let rows = history::read_log(&site.server(0).await).await;

    assert!(commit.is_err());
    assert_eq!(seen, None);
    assert_eq!(rows.keys().collect::<Vec<_>>(), ["alone"]);
}

/// A query string with several statements leaves a transaction open. A write of another session
/// must not run on that connection, where it would be rolled back with the transaction.
#[tokio::test]
async fn multi_statement_query_does_not_leak_its_transaction() {
    let mut layout = Layout::new("script", &["dc-1"]);
    layout.pool_size = 1;
    let site = Site::build(&layout).await;
    let first = connect(&site.proxies[0], "member", "").await;
    let second = connect(&site.proxies[0], "member", "").await;
    let query = format!("BEGIN; {}", insert("script-1"));

    first
        .simple_query(&query)
        .await
        .expect("the statement succeeds");
    let refused = fixture::refusal(&second, &insert("early")).await;
    first
        .simple_query("ROLLBACK")
        .await
        .expect("ROLLBACK succeeds");
    second
        .simple_query(&insert("late"))
        .await
        .expect("the statement succeeds");
    let rows = history::read_log(&site.server(0).await).await;

    assert_eq!(
        refused.as_deref(),
        Some("57P03"),
        "the only connection is in use"
    );
    assert_eq!(rows.keys().collect::<Vec<_>>(), ["late"]);
}

/// All open connections to the primary stop responding, while new ones work. In-flight statements
/// end as "outcome unknown" at their timeout. The proxy notices from its status requests, closes
/// the idle connections and runs later statements on new ones, without a failover.
#[tokio::test]
async fn unresponsive_connections_are_replaced() {
    let site = Site::build(&Layout::new("silent", TWO_IN_ONE_DC)).await;
    let warm: Vec<Writer> = (0..4)
        .map(|index| Writer::start(&site.proxies[0], &format!("warm-{index}")))
        .collect();
    tokio::time::sleep(OBSERVATION_PERIOD).await;
    for writer in warm {
        writer.stop().await;
    }

    site.fault(1, "silence", 0, "").await;
    tokio::time::sleep(2 * OBSERVATION_PERIOD).await;
    let since = Instant::now();
    let writer = Writer::start(&site.proxies[0], "after");
    tokio::time::sleep(OBSERVATION_PERIOD).await;
    let attempts = writer.stop().await;
    let rows = history::read_log(&site.server(0).await).await;

    assert_eq!(
        history::check(&attempts, &rows, None),
        Violations::default()
    );
    assert!(attempts.iter().all(|a| a.outcome == Outcome::Acked));
    assert!(history::longest_gap(&attempts, since) < Duration::from_secs(1));
    let term = site.primary_record().await.map(|record| record.term);
    assert_eq!(term, Some(1), "no server was promoted");
}

/// Eight operators put versions 2 to 9 at the same time. Each is told whether its version was
/// accepted, and every proxy ends up with the highest accepted version.
#[tokio::test]
async fn concurrent_bundle_puts_converge() {
    let site = Site::build(&Layout::new("race", TWO_IN_ONE_DC)).await;
    let before: Vec<u64> = versions(&site).await;

    let site_ref = &site;
    let accepted: Vec<u64> = std::thread::scope(|scope| {
        let puts: Vec<_> = (2..10)
            .map(|version| scope.spawn(move || (version, site_ref.put_bundle(version).0)))
            .collect();
        let results = puts.into_iter().map(|put| put.join().unwrap());
        results
            .filter(|(_, ok)| *ok)
            .map(|(version, _)| version)
            .collect()
    });
    let highest = *accepted.iter().max().expect("a version was accepted");
    let is_applied = eventually(TIMEOUT, || async {
        versions(&site)
            .await
            .iter()
            .all(|version| *version == highest)
    })
    .await;
    let (status, text) = dpctl(&["status", "--kv", site.kv_url()]);

    assert_eq!(before, [1, 1]);
    assert!(
        is_applied,
        "accepted {accepted:?}, applied {:?}",
        versions(&site).await
    );
    assert!(status, "{text}");
    let shown = text
        .lines()
        .filter(|line| line.ends_with(&format!(" {highest}")));
    assert_eq!(shown.count(), 2, "{text}");
}

async fn versions(site: &Site) -> Vec<u64> {
    let mut versions = Vec::new();
    for proxy in &site.proxies {
        let report = operator_json(proxy, "/status").await;
        versions.push(report["bundle_version"].as_u64().unwrap());
    }
    versions
}

/// A proxy gets SIGTERM while one caller waits for a slow answer, one is inside a transaction and
/// one is idle. The answer arrives and the transaction commits. The idle session is closed at once,
/// and the process exits as soon as the work is done, before its grace period ends.
#[tokio::test]
async fn graceful_shutdown_finishes_open_work() {
    let mut site = Site::build(&Layout::new("stop", &["dc-1"])).await;
    let slow = connect(&site.proxies[0], "lookup", "").await;
    let buyer = connect(&site.proxies[0], "member", "").await;
    let idle = connect(&site.proxies[0], "member", "").await;
    buyer.simple_query("BEGIN").await.expect("BEGIN succeeds");
    buyer
        .simple_query(&insert("tx-1"))
        .await
        .expect("the statement succeeds");
    let answer = tokio::spawn(async move {
        let sleep = "SELECT dandelionpitch_sleep(1000)";
        slow.simple_query(sleep).await
    });
    tokio::time::sleep(OBSERVATION_PERIOD).await;

    site.proxies[0].process.terminate();
    let closed = eventually(OBSERVATION_PERIOD, || async { idle.is_closed() }).await;
    let ready = reqwest::get(format!("http://{}/ready", site.proxies[0].operator)).await;
    buyer
        .simple_query(&insert("tx-2"))
        .await
        .expect("the statement succeeds");
    buyer.simple_query("COMMIT").await.expect("COMMIT succeeds");
    let rows = answer.await.unwrap().expect("the complete answer");
    let exited = site.proxies[0]
        .process
        .wait_for_exit(Duration::from_secs(3));
    let stored = history::read_log(&site.server(0).await).await;

    assert!(closed, "the idle session was closed");
    assert!(!ready.is_ok_and(|answer| answer.status().is_success()));
    assert!(!rows.is_empty());
    assert!(exited, "the process exited");
    assert_eq!(stored.len(), 2, "{stored:?}");
}

/// Two sessions share one backend connection and set the same variable to different values. Each
/// must read its own value, inside a transaction and outside, and a third session that has set
/// nothing must read none.
#[tokio::test]
async fn session_variables_are_isolated() {
    let mut layout = Layout::new("values", &["dc-1"]);
    layout.pool_size = 1;
    let site = Site::build(&layout).await;
    let mut members = Vec::new();
    for _ in 0..3 {
        members.push(connect(&site.proxies[0], "member", "").await);
    }
    let show = "SHOW app.pharmacy";

    for (member, value) in members.iter().zip(["centrs", "imanta"]) {
        let set = format!("SET app.pharmacy = '{value}'");
        member.simple_query(&set).await.expect("SET succeeds");
    }
    let mut seen = Vec::new();
    for _ in 0..3 {
        for member in &members {
            seen.push(scalar(member, show).await);
        }
    }
    members[0]
        .simple_query("BEGIN")
        .await
        .expect("BEGIN succeeds");
    let inside = scalar(&members[0], show).await;
    members[0]
        .simple_query("COMMIT")
        .await
        .expect("COMMIT succeeds");
    members[1]
        .simple_query("DISCARD ALL")
        .await
        .expect("the statement succeeds");
    let after_discard = scalar(&members[1], show).await;

    let expected = [Some("centrs".to_owned()), Some("imanta".to_owned()), None];
    for three in seen.chunks(3) {
        assert_eq!(three, expected);
    }
    assert_eq!(inside.as_deref(), Some("centrs"));
    assert_eq!(after_discard, None);
}

/// The platform marks a replica as leaving. After the grace period no read is sent to it.
#[tokio::test]
async fn draining_replica_gets_no_new_reads() {
    let site = Site::build(&Layout::new("leaving", &["dc-1"])).await;
    let lookup = connect(&site.proxies[0], "lookup", "").await;
    let show = "SHOW dandelionpitch.server";
    let served = eventually(TIMEOUT, || async {
        scalar(&lookup, show).await.as_deref() == Some("2")
    })
    .await;

    site.mark_leaving(2).await;
    tokio::time::sleep(DRAIN_GRACE).await;
    let mut servers = Vec::new();
    for _ in 0..200 {
        servers.push(scalar(&lookup, show).await.expect("an answer"));
    }

    assert!(served, "the replica served reads before");
    assert!(servers.iter().all(|server| server == "1"), "{servers:?}");
}

/// The platform marks the primary as leaving. A replica is promoted before the primary stops, and
/// only statements in flight at that moment may fail.
#[tokio::test]
async fn draining_primary_is_replaced() {
    let site = Site::build(&Layout::new("leaving-primary", TWO_IN_ONE_DC)).await;
    let writers: Vec<Writer> = (0..2)
        .map(|index| Writer::start(&site.proxies[index], &format!("w{index}")))
        .collect();
    tokio::time::sleep(OBSERVATION_PERIOD).await;

    site.mark_leaving(0).await;
    tokio::time::sleep(DRAIN_GRACE).await;
    let record = site.primary_record().await.expect("a record");
    let since = Instant::now();
    tokio::time::sleep(OBSERVATION_PERIOD).await;
    let mut attempts = Vec::new();
    for writer in writers {
        attempts.extend(writer.stop().await);
    }
    let rows = site.primary_rows(&record).await;

    assert_ne!(site.primary_index(&record), 0);
    assert_eq!(record.term, 2);
    let violations = history::check(&attempts, &rows, Some((2, since)));
    assert_eq!(violations, Violations::default());
    let refused = |a: &&history::Attempt| a.outcome != Outcome::Acked;
    let refused: Vec<_> = attempts.iter().filter(refused).collect();
    assert!(
        refused.len() <= 2,
        "more than the statements in flight: {refused:?}"
    );
}

/// A caller runs 18 statements that succeed, one that fails because of the caller and one that
/// fails because there is no primary. Only the last counts against the service level: 1 of 20
/// failed, with an objective of 99 %, is a burn rate of 5.
#[tokio::test]
async fn burn_report_counts_only_proxy_failures() {
    let site = Site::build(&Layout::new("burn", &["dc-1"])).await;
    let member = connect(&site.proxies[0], "member", "").await;
    for number in 0..18 {
        let query = insert(&format!("order-{number}"));
        member
            .simple_query(&query)
            .await
            .expect("the statement succeeds");
    }
    let duplicate = fixture::refusal(&member, &insert("order-0")).await;
    site.kv_fault("dc-1", serde_json::json!({ "down": true }))
        .await;
    site.fault(1, "kill", 0, "").await;
    fixture::wait_for_no_primary(&site.proxies[0]).await;
    let no_primary = fixture::refusal(&member, &insert("order-18")).await;

    let args = [
        "burn",
        "--kv",
        site.kv_url(),
        "--objective",
        "99",
        "--window",
        "0",
    ];
    let (ok, text) = dpctl(&args);
    let (allowed, _) = dpctl(&["burn", "--objective", "100"]);

    assert_eq!(duplicate.as_deref(), Some("23505"));
    assert_eq!(no_primary.as_deref(), Some("57P03"));
    assert!(ok, "{text}");
    let last = text.lines().last().unwrap();
    let words: Vec<&str> = last.split_whitespace().collect();
    assert_eq!(words[..4], ["all", "20", "1", "5.0"], "{text}");
    assert!(!allowed, "an objective of 100 % is refused");
}

/// Guards against ignoring the token of a session that sets it inside a transaction: a read after the
/// transaction might not see the session's own writes.
#[tokio::test]
async fn position_set_in_a_transaction_applies() {
    let site = Site::build(&Layout::new("token-tx", &["dc-1"])).await;
    let member = connect(&site.proxies[0], "member", "").await;

    for query in ["BEGIN", "SET dandelionpitch.position = '1/1000'", "COMMIT"] {
        let answer = member.simple_query(query).await;
        answer.expect("the statement succeeds");
    }
    let token = fixture::scalar(&member, "SHOW dandelionpitch.position").await;

    assert_eq!(token.as_deref(), Some("1/1000"));
}

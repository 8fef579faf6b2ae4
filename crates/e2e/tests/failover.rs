//! The proxies replace a failed primary without losing or repeating an acknowledged write.

mod fixture;
#[path = "failover/kv.rs"]
mod kv;

use std::time::{Duration, Instant};

use dandelionpitch_core::primary::Record;
use fixture::{
    connect, eventually,
    history::{self, Attempt, Outcome, Violations, Writer},
    insert, operator_json, refusal, scalar, Layout, Site,
};

const TIMEOUT: Duration = Duration::from_secs(20);
/// How long writers write before and after a fault.
const OBSERVATION_PERIOD: Duration = Duration::from_millis(300);
/// Longer than the statement timeout of the test's callers, so that a writer whose statement is in
/// flight when a partition begins sends another one before the partition ends.
const ABOVE_STATEMENT_TIMEOUT: Duration = Duration::from_millis(2500);
const TWO_IN_ONE_DC: &[&str] = &["dc-1", "dc-1"];
const TWO_DCS: &[&str] = &["dc-1", "dc-2"];

/// Starts a site with two proxies and a writer through each, named `w0` and `w1`, which have been
/// writing for [`OBSERVATION_PERIOD`] on return.
async fn start_site_with_writers(name: &str, dcs: &[&str]) -> (Site, Vec<Writer>) {
    let site = Site::build(&Layout::new(name, dcs)).await;
    let start = |(index, proxy)| Writer::start(proxy, &format!("w{index}"));
    let writers = site.proxies.iter().enumerate().map(start).collect();
    tokio::time::sleep(OBSERVATION_PERIOD).await;
    (site, writers)
}

/// The address of the primary according to proxy `index`.
async fn primary_seen_by(site: &Site, index: usize) -> Option<String> {
    let report = operator_json(&site.proxies[index], "/status").await;
    report["groups"][0]["primary"].as_str().map(str::to_owned)
}

/// The servers that report the role of primary, with their terms.
async fn reported_primaries(site: &Site, servers: &[usize]) -> Vec<(usize, u64)> {
    let mut primaries = Vec::new();
    for &index in servers {
        let server = site.server(index).await;
        let messages = server
            .simple_query("SHOW dandelionpitch.status")
            .await
            .expect("a status");
        for message in messages {
            if let tokio_postgres::SimpleQueryMessage::Row(row) = message {
                if row.get("role") == Some("primary") {
                    primaries.push((index, row.get("term").unwrap().parse().unwrap()));
                }
            }
        }
    }
    primaries
}

/// Waits until a proxy has claimed a term and has not recorded its primary yet.
async fn wait_for_claim(site: &Site) -> bool {
    eventually(TIMEOUT, || async {
        let record = site.primary_record().await;
        record.is_some_and(|record| record.server.is_none())
    })
    .await
}

/// Waits until a write through proxy `index` is acknowledged.
async fn wait_for_writes(site: &Site, index: usize, id: &str) {
    let resumed = eventually(TIMEOUT, || async {
        let client = connect(&site.proxies[index], "member", "").await;
        client.simple_query(&insert(id)).await.is_ok()
    })
    .await;
    assert!(resumed, "writes through proxy {index} resumed");
}

/// Stops the writers and checks the outcomes of their writes against the log of the recorded
/// primary.
async fn stop_and_check(
    site: &Site,
    writers: Vec<Writer>,
    since: Instant,
) -> (Vec<Attempt>, Violations) {
    let mut attempts = Vec::new();
    for writer in writers {
        attempts.extend(writer.stop().await);
    }
    let record = site.primary_record().await.expect("a record");
    let rows = site.primary_rows(&record).await;
    let violations = history::check(&attempts, &rows, Some((record.term, since)));
    (attempts, violations)
}

/// The primary is killed while two callers write through two proxies. One proxy claims term 2 and
/// promotes a replica. Acknowledged writes are on the new primary exactly once, and writes answered
/// with "not run" are not there.
#[tokio::test]
async fn primary_killed() {
    let (site, writers) = start_site_with_writers("killed", TWO_IN_ONE_DC).await;

    site.fault(1, "kill", 0, "").await;
    let record = site.wait_for_new_primary(1).await;
    let promoted_at = Instant::now();
    tokio::time::sleep(OBSERVATION_PERIOD).await;
    let (attempts, violations) = stop_and_check(&site, writers, promoted_at).await;

    assert_eq!(violations, Violations::default());
    history::assert_writes_resumed(&attempts, promoted_at);
    assert_eq!(record.term, 2, "one promotion is sufficient");
    assert_eq!(reported_primaries(&site, &[1, 2]).await.len(), 1);
}

/// Replica 2 is partitioned, so only replica 1 has the latest writes when the primary dies, and
/// replica 1 answers the claimant later. The claimant must wait for both and promote replica 1, as
/// replica 2 lacks acknowledged writes.
#[tokio::test]
async fn most_advanced_replica_is_promoted() {
    let site = Site::build(&Layout::new("advanced", TWO_IN_ONE_DC)).await;
    site.fault(1, "isolate", 2, "").await;
    site.fault(1, "slow_fence", 1, "300").await;
    let writers = vec![Writer::start(&site.proxies[0], "a")];
    tokio::time::sleep(OBSERVATION_PERIOD).await;

    site.fault(1, "kill", 0, "").await;
    let record = site.wait_for_new_primary(1).await;
    site.fault(1, "join", 2, "").await;
    let promoted_at = Instant::now();
    tokio::time::sleep(OBSERVATION_PERIOD).await;
    let (attempts, violations) = stop_and_check(&site, writers, promoted_at).await;

    assert_eq!(violations, Violations::default());
    history::assert_writes_resumed(&attempts, promoted_at);
    assert_eq!(record.server.unwrap().to_string(), site.servers()[1]);
}

/// A write is acknowledged and the primary dies. The same session, and a session on the other proxy
/// with its token, read the write right after the failover.
#[tokio::test]
async fn read_your_writes_across_failover() {
    let mut layout = Layout::new("ryw", TWO_IN_ONE_DC);
    layout.lag_ms = 300;
    let site = Site::build(&layout).await;
    let member = connect(&site.proxies[0], "member", "").await;
    member
        .simple_query(&insert("order-1"))
        .await
        .expect("the write is acknowledged");
    let token = scalar(&member, "SHOW dandelionpitch.position").await;

    site.fault(1, "kill", 0, "").await;
    site.wait_for_new_primary(1).await;
    let options = format!("-c dandelionpitch.position={}", token.expect("a token"));
    let roamed = connect(&site.proxies[1], "member", &options).await;
    let query = "SELECT * FROM ledger WHERE id = 'order-1'";

    assert_eq!(scalar(&member, query).await.as_deref(), Some("order-1"));
    assert_eq!(scalar(&roamed, query).await.as_deref(), Some("order-1"));
}

/// The primary is partitioned together with one proxy and still reports the role of primary when
/// the other side has promoted a replica. Writes on its side must not be acknowledged. After the
/// partition its proxy uses the new primary.
#[tokio::test]
async fn partitioned_primary_acknowledges_nothing() {
    let (site, writers) = start_site_with_writers("cut", TWO_DCS).await;

    site.partition_dc("dc-1", 0, true).await;
    let partitioned_at = Instant::now();
    let record = site.wait_for_new_primary(1).await;
    let promoted_at = Instant::now();
    tokio::time::sleep(ABOVE_STATEMENT_TIMEOUT).await;
    let primaries = reported_primaries(&site, &[0, 1, 2]).await;
    let healed_at = Instant::now();
    site.partition_dc("dc-1", 0, false).await;
    wait_for_writes(&site, 0, "after-heal").await;
    tokio::time::sleep(OBSERVATION_PERIOD).await;
    let (attempts, violations) = stop_and_check(&site, writers, promoted_at).await;

    assert_eq!(violations, Violations::default());
    assert_eq!(record.term, 2);
    assert!(
        primaries.contains(&(0, 1)),
        "the old primary still reports its role: {primaries:?}"
    );
    let on_partitioned_side =
        |a: &&Attempt| a.id.starts_with("w0") && a.sent > partitioned_at && a.sent < healed_at;
    let acked = |a: &Attempt| a.outcome == Outcome::Acked && a.answered < healed_at;
    assert!(attempts.iter().filter(on_partitioned_side).count() > 0);
    assert!(!attempts.iter().filter(on_partitioned_side).any(acked));
}

/// After the same partition and failover a caller writes, and reads through the proxy on the old
/// primary's side, with its token and without. The old primary lacks the write, so the read must
/// fail rather than return nothing.
#[tokio::test]
async fn reads_on_the_partitioned_side_are_not_stale() {
    let site = Site::build(&Layout::new("roam-cut", TWO_DCS)).await;
    site.partition_dc("dc-1", 0, true).await;
    site.wait_for_new_primary(1).await;
    let member = connect(&site.proxies[1], "member", "").await;
    member
        .simple_query(&insert("order-1"))
        .await
        .expect("the write is acknowledged");
    let token = scalar(&member, "SHOW dandelionpitch.position").await;
    let options = format!("-c dandelionpitch.position={}", token.expect("a token"));
    let query = "SELECT * FROM ledger WHERE id = 'order-1'";

    for (user, options) in [("member", options.as_str()), ("member", ""), ("strict", "")] {
        let roamed = connect(&site.proxies[0], user, options).await;
        let code = refusal(&roamed, query).await;

        let refused = matches!(code.as_deref(), Some("57P03" | "08007"));
        assert!(refused, "{user} with {options:?} got {code:?}");
    }
}

/// The claimant of term 2 is paused (SIGSTOP) before it promotes a server. The other proxy waits
/// until the claim has expired and promotes at term 3. When the first proxy resumes, the servers
/// must reject its promotion: the term does not decrease and there is one primary.
#[tokio::test]
async fn resumed_claimant_cannot_promote() {
    let site = Site::build(&Layout::new("paused", TWO_IN_ONE_DC)).await;
    for server in [1, 2] {
        site.fault(0, "slow_fence", server, "600").await;
    }

    site.fault(1, "kill", 0, "").await;
    let claimed = wait_for_claim(&site).await;
    let claim = site.primary_record().await.expect("a claim");
    let paused = &site.proxies[claimant(&claim)];
    paused.process.set_paused(true);
    let record = site.wait_for_new_primary(2).await;
    paused.process.set_paused(false);
    tokio::time::sleep(Duration::from_secs(1)).await;
    wait_for_writes(&site, 0, "through-0").await;
    wait_for_writes(&site, 1, "through-1").await;

    assert!(claimed);
    assert_eq!((claim.term, claim.server), (2, None));
    assert_eq!(record.term, 3);
    assert_eq!(site.primary_record().await, Some(record));
    let primaries = reported_primaries(&site, &[1, 2]).await;
    assert!(matches!(primaries[..], [(_, 3)]), "{primaries:?}");
}

/// The index of the proxy that made the claim.
fn claimant(record: &Record) -> usize {
    let (_, index) = record.claimant.rsplit_once('-').unwrap();
    index.parse().unwrap()
}

/// The primary freezes, with its connections open, and is replaced. When it thaws it still
/// considers itself primary, and must not acknowledge the writes that it had received.
#[tokio::test]
async fn primary_frozen_and_thawed() {
    let (site, writers) = start_site_with_writers("frozen", TWO_IN_ONE_DC).await;

    site.fault(1, "freeze", 0, "").await;
    site.wait_for_new_primary(1).await;
    let promoted_at = Instant::now();
    tokio::time::sleep(OBSERVATION_PERIOD).await;
    site.fault(1, "thaw", 0, "").await;
    let stepped_down = eventually(TIMEOUT, || async {
        reported_primaries(&site, &[0]).await.is_empty()
    })
    .await;
    let (attempts, violations) = stop_and_check(&site, writers, promoted_at).await;

    assert!(stepped_down);
    assert_eq!(violations, Violations::default());
    history::assert_writes_resumed(&attempts, promoted_at);
}

/// The primary answers the proxies but reaches no replica, so it cannot commit. It must be replaced
/// although all proxies reach it.
#[tokio::test]
async fn primary_without_replicas() {
    let site = Site::build(&Layout::new("alone", TWO_IN_ONE_DC)).await;

    site.fault(0, "isolate", 0, "").await;
    let record = site.wait_for_new_primary(1).await;
    wait_for_writes(&site, 0, "order-1").await;

    assert_ne!(record.server.unwrap().to_string(), site.servers()[0]);
    let expected = record.server.map(|server| server.to_string());
    let followed = eventually(TIMEOUT, || async {
        primary_seen_by(&site, 1).await == expected
    })
    .await;
    assert!(followed, "the other proxy follows");
}

/// The old primary stays partitioned after its replacement, and the only other replica is late once.
/// The new primary must be kept: another failover cannot help, and writes would wait for it.
#[tokio::test]
async fn late_replica_causes_no_second_failover() {
    let mut layout = Layout::new("late", TWO_IN_ONE_DC);
    layout.settings = "failover = { after = \"1s\" }\n";
    let site = Site::build(&layout).await;
    site.fault(0, "isolate", 0, "").await;
    let record = site.wait_for_new_primary(1).await;
    wait_for_writes(&site, 0, "order-1").await;
    tokio::time::sleep(Duration::from_secs(2)).await;

    let replica = 3 - site.primary_index(&record);
    site.fault(0, "isolate", replica, "").await;
    tokio::time::sleep(Duration::from_millis(1400)).await;
    site.fault(0, "join", replica, "").await;
    wait_for_writes(&site, 0, "order-2").await;
    tokio::time::sleep(OBSERVATION_PERIOD).await;

    assert_eq!(record.term, 2);
    assert_eq!(site.primary_record().await, Some(record));
}

/// A claimant has fenced one replica with term 5 and died. The replica accepts nothing from the
/// primary any more. The proxies must notice that its term is higher and complete the failover, so
/// that all servers are in one term again.
#[tokio::test]
async fn interrupted_failover_is_completed() {
    let site = Site::build(&Layout::new("halfway", TWO_IN_ONE_DC)).await;

    let server = site.server(2).await;
    server
        .simple_query("SELECT dandelionpitch_fence(5)")
        .await
        .expect("the replica is fenced at term 5");
    let record = site.wait_for_new_primary(5).await;
    wait_for_writes(&site, 0, "order-1").await;
    let followed = eventually(TIMEOUT, || async {
        scalar(&server, "SELECT * FROM ledger WHERE id = 'order-1'")
            .await
            .is_some()
    })
    .await;

    assert_eq!(record.term, 6);
    assert!(followed, "the fenced replica follows again");
}

/// The primary dies during a transaction, and the caller continues and commits despite the errors.
/// No row of the transaction may be stored, neither the one before the failure nor the later ones,
/// which would otherwise be separate writes on the new primary.
#[tokio::test]
async fn open_transaction_is_rolled_back_entirely() {
    let site = Site::build(&Layout::new("tx", TWO_IN_ONE_DC)).await;
    let member = connect(&site.proxies[0], "member", "").await;
    member.simple_query("BEGIN").await.expect("BEGIN succeeds");
    member
        .simple_query(&insert("tx-1"))
        .await
        .expect("the statement succeeds");

    site.fault(1, "kill", 0, "").await;
    let first = refusal(&member, &insert("tx-2")).await;
    let second = refusal(&member, &insert("tx-3")).await;
    let commit = member.simple_query("COMMIT").await;
    site.wait_for_new_primary(1).await;
    member
        .simple_query(&insert("alone"))
        .await
        .expect("the statement succeeds");
    let rows = history::read_log(&site.server(1).await).await;

    assert_eq!(first.as_deref(), Some("57P03"));
    assert_eq!(second.as_deref(), Some("25P02"));
    assert!(commit.is_ok(), "COMMIT of a failed transaction is accepted");
    let ids: Vec<&String> = rows.keys().collect();
    assert_eq!(ids, ["alone"]);
}

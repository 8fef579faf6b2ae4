//! Faults of servers, proxies and the store while callers use the line protocol.

mod fixture;

use std::time::Duration;

use fixture::line::{rows, Answer, Site, FAILOVER_TIMEOUT, LATEST, SERVER_LIST_DELAY, SESSION};

/// Longer than a server still counts for promotions once it is no longer registered: until the
/// server lists of all proxies that include it have expired, and the other servers have answered
/// the next status requests.
const SERVER_REMOVAL_DELAY: Duration = Duration::from_millis(7_500);

/// Time limit for the expiry of the failover leader's lease, the election of another and a
/// failover.
const BOTH_LOST_TIMEOUT: Duration = Duration::from_millis(4_500);

/// A caller disconnects during a transaction. Its writes are rolled back and its connection is free
/// again.
#[tokio::test]
async fn disconnect_in_a_transaction_rolls_back() {
    let site = Site::start("leaves", 1).await;
    for _ in 0..20 {
        let mut caller = site.caller(0, LATEST);
        assert!(caller.query("BEGIN").is_done());
        assert!(caller.query("PUT a dropped").is_done());
    }
    let mut other = site.caller(0, LATEST);

    other.query_until_done("PUT b kept", Duration::from_secs(5));

    assert_eq!(site.count_in_log("a", "dropped").await, 0);
}

/// A transaction is idle for longer than allowed and is rolled back. The next statement must fail
/// instead of running outside the transaction.
#[tokio::test]
async fn idle_transaction_times_out_and_aborts() {
    let site = Site::start("rests", 1).await;
    let mut caller = site.caller(0, LATEST);
    assert!(caller.query("BEGIN").is_done());
    assert!(caller.query("PUT a dropped").is_done());

    std::thread::sleep(Duration::from_millis(1_000));
    let late = caller.query("PUT a late");

    assert_eq!((late.code(), late.state.as_str()), ("ABORTED", "E"));
    assert!(caller.query("ROLLBACK").is_done());
    assert_eq!(site.count_in_log("a", "late").await, 0);
}

/// The store discards its change history while the configuration changes. The proxy must read
/// everything again.
#[tokio::test]
async fn configuration_is_applied_after_store_compaction() {
    let site = Site::start("history", 1).await;

    site.store_fault("down", true).await;
    site.configure(5, &[LATEST, "new-db"]).await;
    site.store_fault("forget", true).await;
    site.store_fault("down", false).await;
    let is_applied = fixture::eventually(Duration::from_secs(5), || async {
        let mut caller = site.connect(0);
        caller.send("START new-db test");
        caller.next_line().starts_with("READY")
    });

    assert!(is_applied.await);
}

/// The store is down. The proxy goes on with the configuration that it has.
#[tokio::test]
async fn proxy_serves_without_the_store() {
    let site = Site::start("no-store", 1).await;
    let mut caller = site.caller(0, LATEST);

    site.store_fault("down", true).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;

    assert!(caller.query("PUT a one").is_done());
    assert!(site.is_ready_now(0).await);
}

/// The primary is lost while a caller writes. Writes resume on another server, whose log has every
/// acknowledged write exactly once.
#[tokio::test]
async fn dead_primary_is_replaced_and_nothing_acknowledged_is_lost() {
    let site = Site::start("dead", 2).await;
    let mut caller = site.caller(0, LATEST);
    let mut acknowledged = Vec::new();
    for round in 0..20 {
        if caller.query(&format!("PUT k{round} v")).is_done() {
            acknowledged.push(round);
        }
    }

    site.fault(0, "dead", true).await;
    let gap = caller.query_until_done("PUT after v", FAILOVER_TIMEOUT);
    let group = site.group().await;

    println!("write gap {gap:?}");
    assert_ne!(group["leader"], 0);
    for round in acknowledged {
        assert_eq!(
            site.count_in_log(&format!("k{round}"), "v").await,
            1,
            "k{round}"
        );
    }
}

/// The failover leader and the primary are lost together. Nobody else may replace the primary
/// before the failover leader's lease has expired. Writes must resume soon after that.
#[tokio::test]
async fn primary_and_failover_leader_lost_together() {
    let site = Site::start("both-lost", 3).await;
    let failover_leader = site.failover_leader().await;
    let mut caller = site.caller((failover_leader + 1) % 3, LATEST);
    assert!(caller.query("PUT a one").is_done());

    site.proxies[failover_leader].process.set_paused(true);
    site.fault(0, "dead", true).await;
    let gap = caller.query_until_done("PUT a two", FAILOVER_TIMEOUT * 2);
    site.proxies[failover_leader].process.set_paused(false);

    println!("write gap {gap:?}");
    assert!(gap < BOTH_LOST_TIMEOUT, "{gap:?}");
}

/// The failover leader gets SIGTERM while it replaces a primary. It must finish first, as the next
/// failover leader would have to start again, and may be stopped too.
#[tokio::test]
async fn stopped_failover_leader_finishes_its_attempt() {
    let site = Site::start("stopped-leader", 2).await;
    let failover_leader = site.failover_leader().await;
    let mut caller = site.caller(1 - failover_leader, LATEST);
    assert!(caller.query("PUT a one").is_done());

    site.fault(0, "dead", true).await;
    let is_started = fixture::eventually(FAILOVER_TIMEOUT, || async {
        site.has_logged(failover_leader, "\"kind\":\"failover\"")
    });
    assert!(is_started.await);
    site.proxies[failover_leader].process.terminate();
    caller.query_until_done("PUT a two", FAILOVER_TIMEOUT);

    assert!(site.has_logged(failover_leader, "\"kind\":\"promoted\""));
    assert!(!site.has_logged(1 - failover_leader, "\"kind\":\"failover\""));
}

/// The only replica that receives from the primary is not registered, so it does not count for
/// promotions. The next primary will lack the commits that it confirms, so these must not be
/// acknowledged.
#[tokio::test]
async fn commit_only_on_an_unregistered_replica_is_not_acknowledged() {
    let site = Site::start("unlisted", 1).await;
    let mut caller = site.caller(0, LATEST);
    assert!(caller.query("PUT a listed").is_done());
    site.fault(2, "unlisted", true).await;
    let is_removed = fixture::eventually(FAILOVER_TIMEOUT, || async {
        site.has_logged(0, "\"kind\":\"servers gone\"")
    });
    assert!(is_removed.await);
    tokio::time::sleep(SERVER_REMOVAL_DELAY).await;

    site.fault(1, "deaf", true).await;
    let answer = caller.query("PUT a unlisted");
    site.fault(0, "dead", true).await;
    let promoted = fixture::eventually(FAILOVER_TIMEOUT, || async {
        site.group().await["promotions"] != 0
    });
    assert!(promoted.await);
    site.fault(2, "unlisted", false).await;
    caller.query_until_done("PUT b after", FAILOVER_TIMEOUT);

    assert_eq!(answer.code(), "UNKNOWN", "{answer:?}");
    assert_eq!(site.count_in_log("a", "unlisted").await, 0);
}

/// The primary is partitioned from its replicas but still answers the proxies. It must be replaced,
/// as it cannot commit, and not be read, as its data becomes stale.
#[tokio::test]
async fn partitioned_primary_is_replaced_and_serves_no_reads() {
    let site = Site::start("cut", 2).await;
    let mut writer = site.caller(0, LATEST);
    assert!(writer.query("PUT a old").is_done());

    site.fault(0, "cut", true).await;
    writer.query_until_done("PUT a new", FAILOVER_TIMEOUT * 2);
    let mut reader = site.caller(1, LATEST);
    let seen: Vec<Answer> = (0..20).map(|_| reader.query("FETCH a")).collect();

    for answer in seen.iter().filter(|answer| answer.is_done()) {
        assert_eq!(rows(answer), ["new"]);
    }
    assert!(seen.iter().any(Answer::is_done));
}

/// A draining primary is replaced before it stops, and no write ends with an unknown outcome.
#[tokio::test]
async fn draining_primary_is_replaced_without_unknown_outcomes() {
    let site = Site::start("leaving", 1).await;
    let mut caller = site.caller(0, LATEST);
    assert!(caller.query("PUT a 0").is_done());

    site.fault(0, "leaving", true).await;
    let mut codes = Vec::new();
    let mut is_replaced = false;
    for round in 1..200 {
        let answer = caller.query(&format!("PUT a {round}"));
        match answer.is_done() {
            true => is_replaced = answer.server() != "i-0",
            false => codes.push(answer.code().to_owned()),
        }
        if is_replaced {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }

    assert!(is_replaced);
    assert!(!codes.iter().any(|code| code == "UNKNOWN"), "{codes:?}");
}

/// The primary receives a write and does not answer. The outcome is unknown, so the write must not
/// be sent again.
#[tokio::test]
async fn unanswered_write_is_not_retried() {
    let site = Site::start("doubt", 1).await;
    let mut caller = site.caller(0, LATEST);
    assert!(caller.query("PUT a 0").is_done());

    for server in [1, 2] {
        site.fault(server, "deaf", true).await;
    }
    let answer = caller.query("PUT doubtful v");
    for server in [1, 2] {
        site.fault(server, "deaf", false).await;
    }
    caller.query_until_done("PUT a 1", FAILOVER_TIMEOUT);

    assert!(["UNKNOWN", "BUSY"].contains(&answer.code()), "{answer:?}");
    assert!(site.count_in_log("doubtful", "v").await <= 1);
}

/// The proxy is partitioned together with the primary. The first write gets no answer, so its
/// outcome is unknown. Later writes must be refused as not run, so that their callers may retry
/// elsewhere.
#[tokio::test]
async fn writes_behind_a_hanging_write_are_not_run() {
    let site = Site::start("hangs", 1).await;
    let mut first = site.caller(0, LATEST);
    let mut second = site.caller(0, LATEST);
    assert!(first.query("PUT a 0").is_done());
    site.fault(0, "cut", true).await;
    for replica in [1, 2] {
        site.fault(replica, "silent", true).await;
    }

    first.send("QUERY hangs PUT b v");
    std::thread::sleep(Duration::from_millis(300));
    let later = second.query("PUT c v");
    let hung = first.read_answer();

    assert_eq!(hung.code(), "UNKNOWN");
    assert_eq!(later.code(), "BUSY", "{later:?}");
    assert_eq!(site.count_in_log("c", "v").await, 0);
}

/// After SIGTERM the proxy reports that it is not ready and still accepts callers for a moment. An
/// open transaction may finish, an idle session is closed, and every statement received is
/// answered.
#[tokio::test]
async fn graceful_shutdown_finishes_open_work() {
    let mut site = Site::start("stop", 1).await;
    let mut open = site.caller(0, LATEST);
    let mut idle = site.caller(0, LATEST);
    assert!(open.query("BEGIN").is_done());
    assert!(open.query("PUT a one").is_done());

    site.proxies[0].process.terminate();
    let unready = fixture::eventually(Duration::from_secs(1), || async {
        !site.is_ready_now(0).await
    });
    assert!(unready.await);
    let mut late = site.caller(0, LATEST);
    assert!(
        late.query("FETCH b").is_done(),
        "new callers are still accepted for a moment"
    );
    std::thread::sleep(Duration::from_millis(400));
    let commit = open.query("COMMIT");

    assert!(commit.is_done(), "{commit:?}");
    assert_eq!(
        idle.next_line(),
        "",
        "the session is closed without a message"
    );
    assert!(site.proxies[0]
        .process
        .wait_for_exit(Duration::from_secs(6)));
    assert_eq!(site.count_in_log("a", "one").await, 1);
}

/// All proxies are killed. New ones recover from the store alone, as nothing is kept on disk.
#[tokio::test]
async fn proxies_killed_together_recover_from_the_store() {
    let mut site = Site::start("all-killed", 2).await;
    site.configure(3, &[LATEST, "new-db"]).await;

    for proxy in &mut site.proxies {
        proxy.process.kill();
    }
    for index in 0..2 {
        site.proxies[index] = site.start_proxy(index);
    }

    assert!(site.becomes_ready(0).await && site.becomes_ready(1).await);
    assert!(site.caller(1, "new-db").query("PUT a one").is_done());
}

/// A proxy is killed during a transaction. The transaction must be rolled back.
#[tokio::test]
async fn transaction_of_a_killed_proxy_is_rolled_back() {
    let mut site = Site::start("killed", 2).await;
    let mut caller = site.caller(0, LATEST);
    assert!(caller.query("BEGIN").is_done());
    assert!(caller.query("PUT a dropped").is_done());

    site.proxies[0].process.kill();
    let other = site.caller(1, LATEST).query("FETCH a");

    assert_eq!(rows(&other), ["-"]);
    assert_eq!(site.count_in_log("a", "dropped").await, 0);
}

/// The store has registrations of another format: not JSON, a field of another type, an unknown
/// state. Each is logged and skipped, and the other servers stay in use.
#[tokio::test]
async fn invalid_registrations_are_skipped() {
    let site = Site::start("foreign", 1).await;
    let registration = |state: &str| {
        format!(
            "{{\"service\":\"ledger\",\"addr\":\"127.0.0.1:9\",\"zone\":\"dc-1\",\"version\":\"v1\",\
             \"slots\":50,\"state\":{state},\"cold_left_ms\":0,\"db_role\":\"primary\",\"seq\":1}}"
        )
    };

    site.put_registration("odd-bytes", "\u{0}not an entry")
        .await;
    site.put_registration("odd-state", &registration("\"asleep\""))
        .await;
    site.put_registration("odd-type", &registration("7")).await;
    let mut caller = site.caller(0, SESSION);
    let all_logged = fixture::eventually(Duration::from_secs(5), || async {
        let odd = ["odd-bytes", "odd-state", "odd-type"];
        odd.iter()
            .all(|id| site.has_logged(0, &format!("registration of {id}")))
    });

    assert!(all_logged.await);
    for round in 0..20 {
        assert!(caller.query(&format!("PUT a {round}")).is_done());
        assert_eq!(rows(&caller.query("FETCH a")), [round.to_string()]);
    }
}

/// The primary is lost while the store is down, so no server can be promoted. Writes are refused,
/// but reads that may be stale continue on the replicas.
#[tokio::test]
async fn stale_reads_continue_without_a_primary() {
    let site = Site::start("no-primary", 1).await;
    let mut caller = site.caller(0, SESSION);
    assert!(caller.query("PUT a one").is_done());
    tokio::time::sleep(SERVER_LIST_DELAY).await;

    site.store_fault("down", true).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.fault(0, "dead", true).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let answers: Vec<Answer> = (0..50)
        .map(|_| {
            std::thread::sleep(Duration::from_millis(40));
            caller.query("FETCH a")
        })
        .collect();

    let served = answers.iter().filter(|answer| rows(answer) == ["one"]);
    assert!(served.count() >= 45, "{answers:?}");
    assert_eq!(caller.query("PUT a two").code(), "BUSY");
}

//! The line protocol under failure, as separate processes: servers, proxies and the store die, hang,
//! are cut off or stopped while callers work.

mod fixture;

use std::time::Duration;

use fixture::line::{rows, Answer, Site, FAILOVER_TIMEOUT, LATEST, SERVER_LIST_DELAY, SESSION};

/// How long the promoter's list goes on counting a server that has vanished: until every proxy that
/// still counted it has stopped, and a question to the others after that.
const SERVER_REMOVAL_DELAY: Duration = Duration::from_millis(7_500);

/// The holder's lease, a claim, and a failover.
const BOTH_LOST_TIMEOUT: Duration = Duration::from_millis(4_500);

/// A caller leaves in the middle of a transaction: its writes are gone, its connection is free.
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

/// A caller rests inside a transaction for longer than allowed: the transaction is rolled back, and
/// its next statement must not run outside of it.
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

/// The store forgets its history while the configuration changes: the proxy reads everything anew.
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

/// The store is down for good: what is in force stays in force.
#[tokio::test]
async fn proxy_serves_without_the_store() {
    let site = Site::start("no-store", 1).await;
    let mut caller = site.caller(0, LATEST);

    site.store_fault("down", true).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;

    assert!(caller.query("PUT a one").is_done());
    assert!(site.is_ready_now(0).await);
}

/// Callers write all the time while the primary's VM dies. Writes go on at another server, and
/// every acknowledged one is in its log, once.
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

/// A VM that holds the failover duty and the primary are lost together, as in a cut of their data
/// centre. Nobody may replace the primary before the holder's lease has ended; writes go on soon after
/// that.
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

/// The holder of the failover duty gets SIGTERM in the middle of replacing a primary. It finishes
/// first: its successor would have to begin anew, and might be stopped as well.
#[tokio::test]
async fn stopped_failover_leader_finishes_its_attempt() {
    let site = Site::start("stopped-holder", 2).await;
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

/// A replica runs that no proxy knows of: it has just come and its registration is not seen yet. It alone
/// receives the primary's commits, the listed replica receives nothing. Whoever is promoted next will
/// lack them, so their callers must not be told that they are kept.
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

/// The primary is cut off from its replicas and still answers the proxies: a commit there would
/// never be acknowledged, and a read there would soon be stale.
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

/// The primary is to be stopped: another server leads before it is, and no write is in doubt.
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

/// The primary takes a write and never answers: whether it is kept is not known, and it is not sent
/// again.
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

/// The proxy is cut off with the primary: the first write hangs and its outcome is unknown. Writes
/// that come after it are refused as not run, so that their callers may repeat them elsewhere.
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

/// A planned stop: the proxy is not ready at once, an open transaction may end, a resting session is
/// closed, nothing read is left without an answer.
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
        "callers still come for a moment"
    );
    std::thread::sleep(Duration::from_millis(400));
    let commit = open.query("COMMIT");

    assert!(commit.is_done(), "{commit:?}");
    assert_eq!(idle.next_line(), "", "closed without a word");
    assert!(site.proxies[0]
        .process
        .wait_for_exit(Duration::from_secs(6)));
    assert_eq!(site.count_in_log("a", "one").await, 1);
}

/// All proxies are killed at once: with no disk, the store alone brings the service back.
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

/// A proxy dies in the middle of a transaction: nothing of it is kept.
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

/// Another writer puts entries among the registrations: bytes that are none, fields of another type, a
/// state that no server is in. The servers go on being used, and each entry is named once in the log.
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

/// The primary is lost while the store is away, so nobody can be promoted for as long as that lasts. Writes
/// are refused, but callers whose reads may be a second old go on reading from the replicas.
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

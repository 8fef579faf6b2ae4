//! End-to-end tests of the line protocol, with the proxies and the stand-in platform as separate
//! processes.

mod fixture;

use std::{io::Read, time::Duration};

use fixture::line::{rows, Caller, Site, LATEST, SESSION};

/// Reads `item` repeatedly until a replica answers.
fn served_by_replica(caller: &mut Caller, item: &str) -> bool {
    (0..50).any(|_| {
        let answer = caller.query(&format!("FETCH {item}"));
        assert!(answer.is_done(), "{answer:?}");
        std::thread::sleep(Duration::from_millis(10));
        answer.server() != "i-0"
    })
}

#[tokio::test]
async fn answers_carry_the_signature_of_the_server() {
    let site = Site::start("served", 1).await;
    let mut caller = site.caller(0, LATEST);

    let put = caller.query("PUT a one");
    let fetch = caller.query("FETCH a");

    assert_eq!(put.completion, "DONE i-0.1");
    assert_eq!(
        (rows(&fetch), fetch.completion.as_str()),
        (vec!["one"], "DONE i-0.1")
    );
    assert_eq!(fetch.state, "I");
}

/// A write through one proxy is visible in the next read through another, even if replicas lag.
#[tokio::test]
async fn write_is_seen_through_a_second_proxy() {
    let site = Site::start_with("roams", 2, &["--lag-ms", "400"]).await;
    let mut first = site.caller(0, LATEST);
    let mut second = site.caller(1, LATEST);

    for round in 0..10 {
        assert!(first.query(&format!("PUT a {round}")).is_done());
        let seen = second.query("FETCH a");

        assert_eq!(rows(&seen), [round.to_string()]);
    }
}

/// A session reads its own write, even if all replicas lag.
#[tokio::test]
async fn session_sees_its_own_writes() {
    let site = Site::start_with("own", 1, &["--lag-ms", "400"]).await;
    let mut caller = site.caller(0, SESSION);

    for round in 0..10 {
        assert!(caller.query(&format!("PUT a {round}")).is_done());

        assert_eq!(rows(&caller.query("FETCH a")), [round.to_string()]);
    }
}

#[tokio::test]
async fn reads_with_a_staleness_bound_run_on_replicas() {
    let site = Site::start("replicas", 1).await;
    let mut caller = site.caller(0, SESSION);
    assert!(caller.query("PUT a one").is_done());

    assert!(served_by_replica(&mut caller, "a"));
}

#[tokio::test]
async fn transaction_is_atomic() {
    let site = Site::start("transaction", 1).await;
    let mut caller = site.caller(0, LATEST);

    assert_eq!(caller.query("BEGIN").state, "T");
    assert!(caller.query("PUT a kept").is_done());
    assert_eq!(rows(&caller.query("FETCH a")), ["kept"]);
    assert_eq!(caller.query("COMMIT").state, "I");
    assert!(caller.query("BEGIN").is_done());
    assert!(caller.query("PUT a dropped").is_done());
    assert_eq!(caller.query("ROLLBACK").state, "I");

    assert_eq!(rows(&caller.query("FETCH a")), ["kept"]);
    assert_eq!(site.count_in_log("a", "dropped").await, 0);
}

/// Sessions that share connections must not see each other's variables or prepared statements.
#[tokio::test]
async fn session_state_is_isolated() {
    let site = Site::start("names", 1).await;
    let mut callers = [site.caller(0, LATEST), site.caller(0, LATEST)];
    for (index, caller) in callers.iter_mut().enumerate() {
        assert!(caller.query(&format!("SET owner {index}")).is_done());
        assert!(caller.query("PREPARE get FETCH q1").is_done());
    }
    assert!(callers[0].query("SET only first").is_done());
    let mut plain = site.caller(0, LATEST);

    for _ in 0..5 {
        let first = callers[0].query("EXEC get a");
        let second = callers[1].query("EXEC get a");
        let bare = plain.query("FETCH a");

        assert_eq!(rows(&first), ["-", "only=first", "owner=0"]);
        assert_eq!(rows(&second), ["-", "owner=1"]);
        assert_eq!(rows(&bare), ["-"]);
    }
    assert_eq!(plain.query("EXEC get a").code(), "NOSTMT");
}

#[tokio::test]
async fn unknown_database_is_refused() {
    let site = Site::start("unknown", 1).await;
    let mut caller = site.connect(0);

    caller.send("START nothing test");

    assert!(caller.next_line().starts_with("ERR NODB"));
    assert_eq!(caller.next_line(), "");
}

/// Open sessions see added and dropped databases with their next statement, and an older version
/// that is put later is not applied.
#[tokio::test]
async fn configuration_is_applied_and_never_reverts() {
    let site = Site::start("config", 2).await;
    let mut dropped = site.caller(1, SESSION);

    site.configure(5, &[LATEST, "new-db"]).await;
    for proxy in 0..2 {
        let is_applied = fixture::eventually(Duration::from_secs(3), || async {
            let mut caller = site.connect(proxy);
            caller.send("START new-db test");
            caller.next_line().starts_with("READY")
        });
        assert!(is_applied.await);
    }
    let gone = dropped.query("FETCH a");
    site.configure(4, &[SESSION]).await;
    tokio::time::sleep(Duration::from_millis(300)).await;

    assert_eq!(gone.code(), "NODB");
    assert!(site.caller(0, "new-db").query("FETCH a").is_done());
}

/// Invalid messages end only the session that sent them.
#[tokio::test]
async fn invalid_input_does_not_affect_other_sessions() {
    let site = Site::start("bad", 1).await;
    let mut other = site.caller(0, LATEST);
    let long = format!("QUERY id PUT a {}", "x".repeat(1 << 21));

    for bad in ["NONSENSE", "\u{1}\u{2}", "QUERY", long.as_str()] {
        let mut caller = site.caller(0, LATEST);
        caller.send(bad);
        let _ = caller.next_line();
    }
    let mut incomplete = site.connect(0);
    incomplete.send("START");
    drop(incomplete);
    let invalid = other.query("MAKE TEA");

    assert_eq!(invalid.code(), "SYNTAX");
    assert!(other.query("PUT a one").is_done());
}

/// A message close to the size limit passes in both directions.
#[tokio::test]
async fn message_of_a_megabyte_is_served() {
    let site = Site::start("large", 1).await;
    let mut caller = site.caller(0, LATEST);
    let data = "x".repeat((1 << 20) - 100);

    assert!(caller.query(&format!("PUT a {data}")).is_done());

    assert_eq!(rows(&caller.query("FETCH a")), [data]);
}

/// Statements that are sent without waiting for answers are answered in order.
#[tokio::test]
async fn pipelined_statements_are_answered_in_order() {
    let site = Site::start("together", 1).await;
    let mut caller = site.caller(0, LATEST);
    for round in 0..10 {
        caller.send(&format!("QUERY p{round} PUT a {round}"));
        caller.send(&format!("QUERY f{round} FETCH a"));
    }

    for round in 0..10 {
        assert!(caller.read_answer().is_done());
        assert_eq!(rows(&caller.read_answer()), [round.to_string()]);
    }
}

#[tokio::test]
async fn metrics_are_served_as_text() {
    let site = Site::start("metrics", 1).await;
    assert!(site.caller(0, LATEST).query("PUT a one").is_done());

    let text = site.metrics(0).await;

    for expected in [
        "statements{outcome=\"ok\"} 1",
        "answers{outcome=\"ok\",route=\"latest-db\"} 1",
        "latency_seconds_bucket{route=\"latest-db\",le=\"+Inf\"} 1",
        "connections_opened{service=\"ledger\"} ",
        "configuration_version{} 1",
        "log_lines_dropped{} 0",
    ] {
        assert!(text.contains(expected), "{expected} is not in\n{text}");
    }
}

/// A setting that is out of range stops the proxy with a message that names the setting.
#[test]
fn invalid_setting_is_reported_by_name() {
    let path = std::env::temp_dir().join(format!("dp-line-bad-{}.toml", std::process::id()));
    let text =
        "id = \"p\"\ndc = \"d\"\nlisten = \"127.0.0.1:0\"\noperator_listen = \"127.0.0.1:0\"\n\
                kv = \"http://127.0.0.1:1\"\n[line]\npromoter = \"127.0.0.1:1\"\ngrace = \"0s\"\n";
    std::fs::write(&path, text).expect("settings are written");

    let mut child = std::process::Command::new(fixture::bin("dandelionpitch"))
        .args(["--config", path.to_str().expect("a UTF-8 path")])
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let status = child.wait().expect("the process exits");
    let mut message = String::new();
    let mut stderr = child.stderr.take().expect("stderr is piped");
    stderr.read_to_string(&mut message).expect("UTF-8 text");
    let _ = std::fs::remove_file(&path);

    assert_eq!(status.code(), Some(2));
    assert!(message.contains("line.grace"), "{message}");
}

/// Guards against telling operators that changed settings are in force, although only a restart applies
/// them.
#[tokio::test]
async fn changed_settings_are_not_reported_as_applied() {
    let site = Site::start("settings", 1).await;

    site.append_settings(0, "cores = 2.0\n");
    let reported = fixture::eventually(fixture::START_TIMEOUT, || async {
        site.has_logged(0, "\"kind\":\"reload\"")
    });

    assert!(reported.await);
    assert!(site.has_logged(0, "\"in_force\":false"));
}

//! `dpctl trace` explains a request from its id and the log lines of the proxies
//! (`docs/OPERATIONS.md`).

mod fixture;

use std::{
    path::{Path, PathBuf},
    time::Duration,
};

use fixture::line::{Answer, Site, LATEST, URGENT};

/// The number of connections that one proxy opens to each server. The site's servers run up to five
/// statements at a time.
const CONNECTIONS_PER_SERVER: usize = 15;

/// Writes the log lines of proxy 0 to a file.
fn write_log_file(site: &Site, name: &str) -> PathBuf {
    std::thread::sleep(Duration::from_millis(300));
    let path = std::env::temp_dir().join(format!("dp-log-{name}-{}", std::process::id()));
    let lines = site.proxies[0]
        .process
        .log
        .lock()
        .expect("log lock is not poisoned");
    std::fs::write(&path, lines.join("\n")).expect("the log file is written");
    path
}

fn trace(id: &str, log: &Path) -> String {
    let (found, text) = fixture::dpctl(&["trace", id, log.to_str().expect("a UTF-8 path")]);
    assert!(found, "{text}");
    text
}

/// Open transactions hold all connections while many more callers write. The log line of a refused
/// statement states the reason and the retry delay. Log lines of refusals are rate-limited, so the
/// test looks for a refusal that has one.
#[tokio::test]
async fn refusal_under_load() {
    let site = Site::start("explain-load", 1).await;
    site.configure(2, &[LATEST, URGENT]).await;
    site.wait_for_version(2).await;
    let mut holders: Vec<_> = (0..CONNECTIONS_PER_SERVER)
        .map(|_| site.caller(0, LATEST))
        .collect();
    for holder in &mut holders {
        assert!(holder.query("BEGIN").is_done());
        assert!(holder.query("PUT a v").is_done());
    }

    let mut callers: Vec<_> = (0..120).map(|_| site.caller(0, URGENT)).collect();
    for (index, caller) in callers.iter_mut().enumerate() {
        caller.send(&format!("QUERY load{index} PUT b v"));
    }
    let answers: Vec<Answer> = callers
        .iter_mut()
        .map(|caller| caller.read_answer())
        .collect();
    let log = write_log_file(&site, "load");
    let lines = std::fs::read_to_string(&log).expect("the log file is readable");
    let is_logged_refusal = |index: &usize| {
        answers[*index].code() == "BUSY" && lines.contains(&format!("\"load{index}\""))
    };
    let refused = (0..answers.len()).find(is_logged_refusal);
    let text = trace(
        &format!("load{}", refused.expect("a refusal with a log line")),
        &log,
    );

    assert!(text.contains("too much work is waiting"), "{text}");
    assert!(text.contains("come back in"), "{text}");
}

/// The primary is partitioned from its replicas, so a write there gets no answer and its outcome is
/// unknown. The trace names the server, and the log has the failover that followed.
#[tokio::test]
async fn outcome_unknown_in_a_failover() {
    let site = Site::start("explain-unknown", 1).await;
    let mut caller = site.caller(0, LATEST);
    assert!(caller.query("PUT a v").is_done());

    site.fault(0, "cut", true).await;
    caller.send("QUERY doubtful PUT b v");
    let answer = caller.read_answer();
    caller.query_until_done("PUT c v", Duration::from_secs(10));
    let log = write_log_file(&site, "unknown");
    let text = trace("doubtful", &log);

    assert_eq!(answer.code(), "UNKNOWN");
    assert!(text.contains("server=\"i-0\""), "{text}");
    assert!(text.contains("no answer in time"), "{text}");
    let (_, json) = fixture::dpctl(&[
        "trace",
        "doubtful",
        log.to_str().expect("a UTF-8 path"),
        "--output",
        "json",
    ]);
    assert!(json.lines().all(|line| line.starts_with('{')), "{json}");
    let all = std::fs::read_to_string(&log).expect("the log file is readable");
    assert!(all.contains("\"kind\":\"promoted\""), "{all}");
}

/// The proxy can no longer confirm that the primary still leads. A linearizable read is refused,
/// and its log line says why.
#[tokio::test]
async fn read_without_a_confirmed_primary_is_refused() {
    let site = Site::start("explain-read", 1).await;
    let mut caller = site.caller(0, LATEST);
    assert!(caller.query("FETCH a").is_done());
    std::thread::sleep(Duration::from_millis(800));

    for replica in [1, 2] {
        site.fault(replica, "silent", true).await;
    }
    caller.send("QUERY unproved FETCH a");
    let answer = caller.read_answer();
    let log = write_log_file(&site, "read");
    let text = trace("unproved", &log);

    assert_eq!(answer.code(), "BUSY");
    assert!(text.contains("not proved to lead"), "{text}");
}

/// Tracing an id that is in no log is an error.
#[tokio::test]
async fn unknown_id_is_an_error() {
    let site = Site::start("explain-none", 1).await;
    let log = write_log_file(&site, "none");

    let (found, text) = fixture::dpctl(&["trace", "nobody", log.to_str().expect("a UTF-8 path")]);

    assert!(!found);
    assert!(text.contains("no line about request nobody"), "{text}");
}

/// Guards against leaving out what the servers answered in a failover, which shows why a commit was
/// lost or its outcome unknown.
#[test]
fn answers_of_a_failover_are_context() {
    let log = std::env::temp_dir().join(format!("dp-log-ordered-{}", std::process::id()));
    let lines = [
        r#"{"at_ms":1000,"kind":"ordered","server":"i-1@0","answer":"held"}"#,
        r#"{"at_ms":1200,"kind":"refused","id":"q1","code":"Unknown"}"#,
    ];
    std::fs::write(&log, lines.join("\n")).expect("the log file is written");

    let text = trace("q1", &log);

    assert!(text.contains("i-1@0"), "{text}");
}

/// Guards against an outage of the group that a trace of a refused request does not show.
#[test]
fn outages_are_context() {
    let log = std::env::temp_dir().join(format!("dp-log-outage-{}", std::process::id()));
    let lines = [
        r#"{"at_ms":1000,"kind":"recovery","service":"ledger","what":"start","estimated_ms":2000}"#,
        r#"{"at_ms":1200,"kind":"refused","id":"q1","code":"Busy"}"#,
    ];
    std::fs::write(&log, lines.join("\n")).expect("the log file is written");

    let text = trace("q1", &log);

    assert!(text.contains("estimated_ms"), "{text}");
}

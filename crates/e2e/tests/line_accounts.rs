//! Client accounts: keys, the account that servers are told, and quotas over several proxies.

mod fixture;

use std::time::{Duration, Instant};

use fixture::line::{Account, Caller, Run, Site, SESSION};

const PHARMACY: Account<'_> = Account {
    name: "pharmacy",
    keys: &["key-of-pharmacy", "second-key"],
    rate: 500,
};

const COURIER: Account<'_> = Account {
    name: "courier",
    keys: &["key-of-courier"],
    rate: 500,
};

/// The time within which a process that starts issues permits.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// A site with both accounts in force, on `proxies` proxies.
async fn site(name: &str, proxies: usize) -> Site {
    let site = Site::start(name, proxies).await;
    site.configure_accounts(2, &[PHARMACY, COURIER]).await;
    site.wait_for_version(2).await;
    tokio::time::sleep(SETTLE_TIME).await;
    site
}

fn open(site: &Site, index: usize, key: &str) -> Caller {
    let (caller, answer) = try_open(site, index, key);
    assert_eq!(answer, "READY I -");
    caller
}

fn try_open(site: &Site, index: usize, key: &str) -> (Caller, String) {
    Caller::open_with_key(&site.proxies[index].listen, SESSION, key).expect("a connection")
}

/// The runs of callers' statements; the proxies' own statements have the id `-`.
async fn callers_runs(site: &Site) -> Vec<Run> {
    let runs = site.runs().await;
    runs.into_iter().filter(|run| run.1 != "-").collect()
}

#[tokio::test]
async fn unknown_key_is_refused() {
    let site = site("unknown-key", 1).await;

    let (_, answer) = try_open(&site, 0, "guessed-key");

    assert!(answer.starts_with("ERR NOAUTH "), "{answer}");
    assert!(!answer.contains("guessed-key"), "{answer}");
}

/// Guards against a pooled connection that runs the statements of another account.
#[tokio::test]
async fn servers_are_told_the_account_and_never_the_key() {
    let site = site("told", 2).await;
    let keys = ["key-of-pharmacy", "key-of-courier", "second-key"];
    let mut callers: Vec<(usize, Caller)> = Vec::new();
    for index in 0..2 {
        for (number, key) in keys.iter().enumerate() {
            callers.push((number, open(&site, index, key)));
        }
    }

    for round in 0..20 {
        for (number, caller) in &mut callers {
            let item = format!("item-{number}");
            assert!(caller.query(&format!("PUT {item} {round}")).is_done());
            let begin = caller.query("BEGIN");
            assert!(begin.is_done(), "{begin:?}");
            assert!(caller.query(&format!("FETCH {item}")).is_done());
            assert!(caller.query("COMMIT").is_done());
        }
    }

    let runs = callers_runs(&site).await;
    let of = |name: &str| runs.iter().filter(|run| run.0 == name).count();
    assert_eq!(of("pharmacy"), 2 * of("courier"), "{:?}", &runs[..6]);
    assert_eq!(of("pharmacy") + of("courier"), runs.len());
    let status = site.status(0).await;
    assert_eq!(status["accounts"][1]["name"], "pharmacy");
    let status = status.to_string();
    assert!(!keys.iter().any(|key| status.contains(key)), "{status}");
    let logged = site.log_lines_with("key");
    let leaked = logged
        .iter()
        .find(|line| keys.iter().any(|key| line.contains(key)));
    assert_eq!(leaked, None);
}

/// Guards against a configuration with a fault that stops the proxy, or that nobody learns of.
#[tokio::test]
async fn shared_key_is_logged_once_for_each_version_and_serves_its_last_account() {
    let site = Site::start("shared-key", 1).await;
    let keys = &["key-of-pharmacy"];
    let accounts = [PHARMACY, Account { keys, ..COURIER }];
    for version in [2, 3] {
        site.configure_accounts(version, &accounts).await;
        site.wait_for_version(version).await;
    }
    tokio::time::sleep(SETTLE_TIME).await;

    let mut caller = open(&site, 0, "key-of-pharmacy");
    let answer = caller.query("FETCH a");

    assert!(answer.is_done(), "{answer:?}");
    let logged = site.log_lines_with("is also held by account");
    assert_eq!(logged.len(), 2, "{logged:?}");
    let fault = |line: &String| {
        line.contains("account 2 (\\\"courier\\\"): key 1 is also held by account \\\"pharmacy\\\"")
    };
    assert!(logged.iter().all(fault), "{logged:?}");
    assert!(!logged[0].contains("key-of"), "{logged:?}");
    let runs = callers_runs(&site).await;
    assert_eq!(runs.last().map(|run| run.0.as_str()), Some("courier"));
}

#[tokio::test]
async fn removed_key_stops_open_sessions_and_transactions() {
    let site = site("removed-key", 1).await;
    let mut idle = open(&site, 0, "second-key");
    let mut in_transaction = open(&site, 0, "second-key");
    let mut other = open(&site, 0, "key-of-pharmacy");
    assert!(idle.query("PUT a 1").is_done());
    assert!(in_transaction.query("BEGIN").is_done());
    assert!(in_transaction.query("PUT b 1").is_done());

    let keys = &["key-of-pharmacy"];
    let changed = Account { keys, ..PHARMACY };
    site.configure_accounts(3, &[changed, COURIER]).await;
    site.wait_for_version(3).await;

    assert_eq!(idle.query("FETCH a").code(), "NOAUTH");
    assert_eq!(in_transaction.query("COMMIT").code(), "NOAUTH");
    assert!(other.query("FETCH a").is_done());
    assert_eq!(site.count_in_log("b", "1").await, 0);
}

/// Guards against statements that run under the previous holder's name.
#[tokio::test]
async fn key_that_moves_to_another_account_runs_under_its_name() {
    let site = site("moved-key", 1).await;
    let mut caller = open(&site, 0, "second-key");
    let first = caller.query("PUT a 1");
    assert!(first.is_done(), "{first:?}");

    let pharmacy = Account {
        keys: &["key-of-pharmacy"],
        ..PHARMACY
    };
    let courier = Account {
        keys: &["key-of-courier", "second-key"],
        ..COURIER
    };
    site.configure_accounts(3, &[pharmacy, courier]).await;
    site.wait_for_version(3).await;
    assert!(caller.query("PUT a 2").is_done());

    let runs = callers_runs(&site).await;
    let names: Vec<&str> = runs.iter().map(|run| run.0.as_str()).collect();
    assert_eq!(names, ["pharmacy", "courier"]);
}

/// Callers of one account press on all proxies: together they run what the account is allowed, and about
/// all of it.
#[tokio::test]
async fn quota_holds_over_all_proxies() {
    let site = site("quota", 3).await;
    let limited = Account {
        rate: 20,
        ..PHARMACY
    };
    site.configure_accounts(3, &[limited, COURIER]).await;
    site.wait_for_version(3).await;
    let callers = (0..3).map(|index| open(&site, index, "key-of-pharmacy"));
    let pressing: Vec<_> = callers
        .map(|mut caller| {
            std::thread::spawn(move || {
                let until = Instant::now() + Duration::from_secs(12);
                let mut refused = 0;
                while Instant::now() < until {
                    let answer = caller.query("FETCH a");
                    refused += usize::from(answer.code() == "BUSY");
                    std::thread::sleep(Duration::from_millis(10));
                }
                refused
            })
        })
        .collect();
    let pressing = pressing
        .into_iter()
        .map(|thread| thread.join().expect("a caller"));
    let refused: Vec<usize> = pressing.collect();

    // The settings tolerate nothing above rate times window plus burst.
    let ages: Vec<u64> = callers_runs(&site).await.iter().map(|run| run.2).collect();
    let in_window = |age: &u64| {
        ages.iter()
            .filter(|a| **a <= *age && *a + 5_000 > *age)
            .count()
    };
    let most = ages.iter().map(in_window).max().unwrap_or_default();
    assert!(most <= 120, "{most} in 5 s");
    assert!(ages.len() >= 180, "{} in 12 s", ages.len());
    assert!(refused.iter().all(|count| *count > 0), "{refused:?}");
}

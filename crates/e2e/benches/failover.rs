//! Failover gap: how long no write is acknowledged when the primary is killed, and when it is
//! cut off with its data centre while it still believes it leads. Bounded rounds, each on a
//! site of its own; fails when a gap passes its regression bound or a promise is broken.
//!
//! Run with `cargo bench -p dandelionpitch-e2e --bench failover`.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use std::time::{Duration, Instant};

use fixture::{
    history::{self, Violations, Writer},
    Layout, Site,
};

/// Rounds per kind of failure.
const ROUNDS: usize = 5;
/// How long writers write before the failure and after it.
const BEFORE: Duration = Duration::from_millis(300);
const AFTER: Duration = Duration::from_millis(2500);
/// Regression bounds for the longest gap of all rounds.
const KILLED_BOUND: Duration = Duration::from_secs(1);
const CUT_BOUND: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
enum Failure {
    Killed,
    Cut,
}

/// The gap seen by a writer through the proxy in the second data centre.
async fn round(failure: Failure, index: usize) -> Duration {
    let name = format!("bench-{failure:?}-{index}");
    let site = Site::build(&Layout::new(&name, &["dc-1", "dc-2"])).await;
    let writer = Writer::start(&site.proxies[1], "w");
    tokio::time::sleep(BEFORE).await;
    let since = Instant::now();
    match failure {
        Failure::Killed => site.fault(1, "kill", 0, "").await,
        Failure::Cut => site.partition_dc("dc-1", 0, true).await,
    }
    tokio::time::sleep(AFTER).await;
    let attempts = writer.stop().await;
    let record = site.primary_record().await.expect("a record");
    let rows = site.primary_rows(&record).await;
    let broken = history::check(&attempts, &rows, None);
    assert_eq!(broken, Violations::default(), "a promise was broken");
    history::longest_gap(&attempts, since)
}

async fn rounds(failure: Failure, bound: Duration) -> bool {
    let mut gaps = Vec::with_capacity(ROUNDS);
    for index in 0..ROUNDS {
        gaps.push(round(failure, index).await);
    }
    gaps.sort();
    let (min, median, max) = (gaps[0], gaps[ROUNDS / 2], gaps[ROUNDS - 1]);
    println!("{failure:?}: gap min {min:.0?} median {median:.0?} max {max:.0?} (bound {bound:?})");
    max <= bound
}

#[tokio::main]
async fn main() {
    let killed = rounds(Failure::Killed, KILLED_BOUND).await;
    let cut = rounds(Failure::Cut, CUT_BOUND).await;
    assert!(killed && cut, "a failover gap is past its bound");
}

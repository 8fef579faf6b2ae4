//! Measures the longest time without an acknowledged write when the primary is killed, and when its
//! data centre is partitioned while it still considers itself primary. Fails if a gap exceeds its
//! regression bound or a guarantee is violated.
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
const WRITE_TIME_BEFORE_FAILURE: Duration = Duration::from_millis(300);
const WRITE_TIME_AFTER_FAILURE: Duration = Duration::from_millis(2500);
const KILLED_BOUND: Duration = Duration::from_secs(1);
const PARTITIONED_BOUND: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
enum Failure {
    Killed,
    Partitioned,
}

/// Runs one round; returns the longest gap of a writer through the proxy in the second data centre.
async fn run_round(failure: Failure, index: usize) -> Duration {
    let name = format!("bench-{failure:?}-{index}");
    let site = Site::build(&Layout::new(&name, &["dc-1", "dc-2"])).await;
    let writer = Writer::start(&site.proxies[1], "w");
    tokio::time::sleep(WRITE_TIME_BEFORE_FAILURE).await;
    let since = Instant::now();
    match failure {
        Failure::Killed => site.fault(1, "kill", 0, "").await,
        Failure::Partitioned => site.partition_dc("dc-1", 0, true).await,
    }
    tokio::time::sleep(WRITE_TIME_AFTER_FAILURE).await;
    let attempts = writer.stop().await;
    let record = site.primary_record().await.expect("a record");
    let rows = site.primary_rows(&record).await;
    let violations = history::check(&attempts, &rows, None);
    assert_eq!(
        violations,
        Violations::default(),
        "a guarantee was violated"
    );
    history::longest_gap(&attempts, since)
}

/// Runs all rounds with one kind of failure; returns whether the longest gap is within `bound`.
async fn run_rounds(failure: Failure, bound: Duration) -> bool {
    let mut gaps = Vec::with_capacity(ROUNDS);
    for index in 0..ROUNDS {
        gaps.push(run_round(failure, index).await);
    }
    gaps.sort();
    let (min, median, max) = (gaps[0], gaps[ROUNDS / 2], gaps[ROUNDS - 1]);
    println!("{failure:?}: gap min {min:.0?} median {median:.0?} max {max:.0?} (bound {bound:?})");
    max <= bound
}

#[tokio::main]
async fn main() {
    let killed = run_rounds(Failure::Killed, KILLED_BOUND).await;
    let partitioned = run_rounds(Failure::Partitioned, PARTITIONED_BOUND).await;
    assert!(killed && partitioned, "a failover gap exceeds its bound");
}

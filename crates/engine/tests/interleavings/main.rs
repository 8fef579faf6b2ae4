//! Searches the interleavings of promotion and confirmation, over the engine's plain functions, for a commit
//! that a caller was told is kept and that a promoted server lacks.

mod attempt;
mod cluster;
mod coordinator;
mod message;
mod proxy;
mod scenario;
mod server;
mod view;

use std::cell::Cell;

use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};

use cluster::Cluster;
use coordinator::Promoter;
use message::Mail;
use proxy::Proxy;
use scenario::{Scenario, LENGTH, PROMOTERS, PROXIES, SERVERS};

/// How many cases are played: as many as fit into some 20 s of a debug build.
const CASES: u32 = 1_000;

/// Plays a case to its end, or until a commit is lost.
fn play(scenario: &Scenario, traced: bool) -> Cluster {
    let mut cluster = Cluster::new(scenario, traced);
    let mut proxies: Vec<Proxy> = (0..PROXIES).map(Proxy::new).collect();
    let mut promoters: Vec<Promoter> = (0..PROMOTERS).map(Promoter::new).collect();
    let mut waiting: Vec<(usize, Mail)> = Vec::new();
    while cluster.now < LENGTH && cluster.lost.is_none() {
        cluster.step();
        for mail in cluster.arrivals() {
            let node = match &mail {
                Mail::Answer(answer) => answer.to.node,
                Mail::Acked { proxy, .. }
                | Mail::Refused { proxy, .. }
                | Mail::Rows { proxy, .. } => SERVERS + proxy,
                Mail::Written { to, .. } | Mail::Testified { to, .. } => to.node,
                _ => continue,
            };
            match node.checked_sub(SERVERS + PROXIES) {
                Some(promoter) => waiting.push((promoter, mail)),
                None => proxies[node - SERVERS].take(&mut cluster, &mail),
            }
        }
        for (number, promoter) in promoters.iter_mut().enumerate() {
            if cluster.frozen(number) {
                continue;
            }
            let (own, others) = waiting.drain(..).partition(|(to, _)| *to == number);
            waiting = others;
            let own: Vec<(usize, Mail)> = own;
            own.iter()
                .for_each(|(_, mail)| promoter.take(&mut cluster, mail));
            promoter.step(&mut cluster);
        }
        proxies
            .iter_mut()
            .for_each(|proxy| proxy.step(&mut cluster));
        cluster.feed();
        cluster.now += 1;
    }
    cluster
}

/// How many cases are wished for by `DP_MODEL_CASES`, for a longer search. They begin with those of every run.
fn cases() -> u32 {
    let wished = std::env::var("DP_MODEL_CASES").ok();
    wished.and_then(|cases| cases.parse().ok()).unwrap_or(CASES)
}

/// What the cases came to, up to the first that shows a fault.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    cases: usize,
    promotions: usize,
    kept: usize,
    reads: usize,
}

/// Plays all cases; fails with the trace of one in which `fault` finds something.
fn search(fault: impl Fn(&Cluster) -> Option<String>) -> Tally {
    let config = Config {
        cases: cases(),
        failure_persistence: None,
        max_shrink_iters: 1_000,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let played = Cell::new(Tally::default());
    let first = Cell::new(None);

    let found = runner.run(&scenario::scenario(), |scenario| {
        let cluster = play(&scenario, false);
        let mut tally = played.get();
        tally.cases += 1;
        tally.promotions += cluster.promotions;
        tally.kept += cluster.kept();
        tally.reads += cluster.reads;
        if first.get().is_none() {
            played.set(tally);
        }
        match fault(&cluster) {
            None => Ok(()),
            Some(fault) => {
                first.set(first.get().or(Some(tally.cases)));
                Err(TestCaseError::fail(fault))
            }
        }
    });

    if let Err(TestError::Fail(why, scenario)) = found {
        let trace = play(&scenario, true).trace.unwrap_or_default();
        let (trace, case) = (trace.join("\n"), played.get().cases);
        panic!("{why} (found by case {case}, then made smaller)\n{scenario:?}\n{trace}");
    }
    let tally = played.get();
    println!("{tally:?}");
    tally
}

/// A caller is told that its commit is kept; then, or a moment before, another server is promoted. Servers,
/// promoters, proxies and the store lose touch, are busy, crash, start again and freeze at any time, and
/// answers and calls come late or never. Whatever the order, the promoted server has the commit: else the
/// caller was told something that is not true.
#[test]
fn commit_that_is_reported_as_kept_is_in_every_promoted_log() {
    let tally = search(|cluster| cluster.lost.clone());

    let enough = tally.promotions > tally.cases / 2 && tally.kept > 10 * tally.cases;
    assert!(enough, "too little happened: {tally:?}");
}

/// A read that must see every commit runs on a server that the proxy takes for the primary. Guards against a
/// lease that outlives its primary's lead: the rows lack a commit that another caller was told is kept.
#[test]
fn read_on_the_known_primary_misses_no_commit_reported_before() {
    let tally = search(|cluster| cluster.stale.clone());

    assert!(tally.reads > 10 * tally.cases, "too few reads: {tally:?}");
}

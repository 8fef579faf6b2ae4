//! A soak: the real programs as separate processes, callers that never rest, and faults drawn from a seed
//! that overlap. The promises of the platform are checked from what callers and servers see.
//!
//! `DP_SOAK_SEEDS=7,100-149 cargo test -p dandelionpitch-e2e --test soak` plays other seeds than those
//! below; a seed that fails prints its faults, and is kept in `SEEDS` with a line on its cause.
//! `DP_SOAK_SERIES` does the same for the seeds of the other plan, in which server faults overlap, and
//! `DP_SOAK_RESTORES` and `DP_SOAK_SERIES_RESTORES` for both with restores of the store. With a
//! folder in `DP_SOAK_LOGS` the whole log of a seed that fails is kept there.

#[path = "soak/caller.rs"]
mod caller;
#[path = "soak/check.rs"]
mod check;
mod fixture;
#[path = "soak/plan.rs"]
mod plan;
#[path = "soak/series.rs"]
mod series;
#[path = "soak/stage.rs"]
mod stage;

use std::{path::Path, sync::Arc, time::Duration};

use caller::{Shared, CALLERS};
use fixture::line::{Caller, Site, LATEST};
use plan::{Plan, Step, PROXIES};
use stage::Stage;

/// The seeds that CI plays. Seed 2 failed once: the primary started again with an empty log, was read as
/// long as its lease held, and its position was taken for one that reads have to see. Seed 27 failed
/// in three of six runs: a proxy that was frozen ran, on waking, a write whose caller had heard meanwhile
/// that its outcome was unknown, after later ones; the check took no account of such writes.
const SEEDS: &str = "1-3,27";

/// The seeds of the plan with overlapping server faults that CI plays. In all three the server just promoted
/// answered the promoter nothing newer than from before, nobody seemed to lead, and the server that had led
/// before, by then a replica, was told to step down for a third. That one lacked commits of the primary that
/// went on. Each of them failed in three of four plays or more; the same is played without chance in
/// `line_failovers.rs`.
const SERIES_SEEDS: &str = "8,10,24";

/// The seeds that CI plays with restores of the store.
const RESTORED_SEEDS: &str = "1-2";

/// How many connections each server takes: so few that one proxy holds them all.
const CONNECTIONS: usize = 10;

/// How long after the last fault has ended every proxy must serve writes again: the platform allows 12 s.
const RECOVERY: Duration = Duration::from_secs(12);

/// Whether the store comes back from copies beside the faults of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Store {
    Lasting,
    Restored,
}

/// Plays one seed; returns what was broken and how many statements were sent.
async fn play(plan: Plan, store: Store, seed: u64) -> (Vec<String>, u64) {
    let mut steps = plan.draw(seed);
    if store == Store::Restored {
        plan::restores(seed, &mut steps);
    }
    let name = format!("soak-{plan:?}-{store:?}-{seed}");
    let site =
        Site::start_with_max_connections(&name, PROXIES, CONNECTIONS, plan.arguments()).await;
    site.wait_for_owners(1).await;
    let listen = site.proxies.iter().map(|proxy| proxy.listen.clone());
    let shared = Arc::new(Shared::new(listen.collect()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let shared = shared.clone();
            std::thread::spawn(move || caller::call(index, &shared))
        })
        .collect();
    let mut stage = Stage::new(site, &shared);
    stage.play(&steps).await;
    let recovered = recovers(&stage.site).await;
    shared.stop();
    let mut broken = shared.broken();
    broken.extend(recovered.err());
    let mut heard = Vec::new();
    for (index, caller) in callers.into_iter().enumerate() {
        // What it said as it panicked stands on standard error; the log tells why.
        heard.push(caller.join().unwrap_or_else(|_| {
            broken.push(format!("caller {index} did not end as it should"));
            Default::default()
        }));
    }
    broken.extend(check::compare(&stage.site, &heard).await);
    if !broken.is_empty() {
        broken.extend(explain(&stage, &name, &steps, &shared));
    }
    (broken, shared.statements())
}

/// What is needed to find the cause of what was broken; keeps the log if it is asked for.
fn explain(stage: &Stage, name: &str, steps: &[Step], shared: &Shared) -> Vec<String> {
    if let Ok(folder) = std::env::var("DP_SOAK_LOGS") {
        stage.keep_log(Path::new(&folder), name);
    }
    let mut lines = vec![
        format!("{name}: {steps:#?}"),
        format!("unknown outcomes, by caller: {:?}", shared.unknown()),
    ];
    let told = ["\"failover\"", "promoted", "\"standin\""];
    let log = stage.log().into_iter();
    lines.extend(log.filter(|line| told.iter().any(|text| line.contains(text))));
    lines
}

/// Whether every proxy serves writes again in time.
async fn recovers(site: &Site) -> Result<(), String> {
    for proxy in 0..PROXIES {
        let served = fixture::eventually(RECOVERY, || async {
            let caller = Caller::open(&site.proxies[proxy].listen, LATEST);
            let answer = caller.and_then(|mut caller| caller.try_query("PUT recovery x"));
            answer.is_some_and(|answer| answer.is_done())
        });
        if !served.await {
            return Err(format!(
                "proxy {proxy} serves no write {RECOVERY:?} after the last fault"
            ));
        }
    }
    Ok(())
}

/// `"7,100-149"` as numbers.
fn seeds(text: &str) -> Vec<u64> {
    let number = |text: &str| text.trim().parse().expect("a seed");
    let range = |part: &str| match part.split_once('-') {
        Some((first, last)) => (number(first)..=number(last)).collect::<Vec<u64>>(),
        None => vec![number(part)],
    };
    text.split(',').flat_map(range).collect()
}

/// Plays the seeds that `variable` names, or else `usual`.
async fn play_all(plan: Plan, store: Store, variable: &str, usual: &str) {
    let chosen = std::env::var(variable).unwrap_or_else(|_| usual.to_owned());
    for seed in seeds(&chosen) {
        let (broken, statements) = play(plan, store, seed).await;
        println!(
            "{plan:?} {store:?} seed {seed}: {statements} statements, {} broken",
            broken.len()
        );
        assert!(broken.is_empty(), "{broken:#?}");
        assert!(
            statements > 500,
            "seed {seed}: only {statements} statements"
        );
    }
}

/// A seed that is kept because it showed a fault is of use only as long as it draws the same faults.
#[test]
fn kept_seeds_draw_what_they_drew() {
    let times = |step: &Step| step.begins.as_millis() * 31 + step.ends.as_millis();
    let mark = |steps: Vec<Step>| steps.iter().map(times).sum::<u128>();

    let single = [1, 2, 3, 27].map(|seed| mark(Plan::Single.draw(seed)));
    let series = [8, 10, 24].map(|seed| mark(Plan::Series.draw(seed)));

    assert_eq!(single, [1_137_252, 951_091, 954_234, 1_055_388]);
    assert_eq!(series, [3_890_872, 2_326_357, 3_467_421]);
}

/// Proxies are killed, frozen and stopped, servers die, go silent, are cut off and start again empty, the
/// store is down or forgets, versions come, all at random and overlapping, but one server's fault at a
/// time. Callers' kept writes are there once, those refused as not run are not there at all, those in
/// transactions are there together, reads see what they must, and service is back in time.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_random_faults() {
    play_all(Plan::Single, Store::Lasting, "DP_SOAK_SEEDS", SEEDS).await;
}

/// Failovers come in a row, and meet servers that crash and come back, are cut off from one other, busy or
/// silent. Callers may be refused for as long as that lasts; what they were told is kept is in the log of
/// every server that is promoted and of the one that leads in the end, and the other promises hold.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_when_server_faults_overlap() {
    play_all(Plan::Series, Store::Lasting, "DP_SOAK_SERIES", SERIES_SEEDS).await;
}

/// The faults of the first plan, and the store comes back from copies some seconds old.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_when_the_store_is_restored() {
    let seeds = RESTORED_SEEDS;
    play_all(Plan::Single, Store::Restored, "DP_SOAK_RESTORES", seeds).await;
}

/// The faults of the second plan, and the store comes back from copies some seconds old.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_when_restores_meet_failovers() {
    let seeds = RESTORED_SEEDS;
    play_all(
        Plan::Series,
        Store::Restored,
        "DP_SOAK_SERIES_RESTORES",
        seeds,
    )
    .await;
}

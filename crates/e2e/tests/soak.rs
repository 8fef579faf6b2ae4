//! A soak: the real programs as separate processes, callers that never rest, and faults drawn from a seed
//! that overlap. The promises of the platform are checked from what callers and servers see.
//!
//! `DP_SOAK_SEEDS=7,100-149 cargo test -p dandelionpitch-e2e --test soak` plays other seeds than those
//! below; a seed that fails prints its faults, and is kept in `SEEDS` with a line on its cause.

mod fixture;
#[path = "soak/plan.rs"]
mod plan;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use fixture::line::{Caller, Site, LATEST, SESSION};
use plan::{draw, Fault, PROXIES};

/// The seeds that CI plays. Seed 2 failed once: the primary started again with an empty log, was read as
/// long as its lease held, and its position was taken for one that reads have to see. Seed 27 failed
/// in three of six runs: a proxy that was frozen ran, on waking, a write whose caller had heard meanwhile
/// that its outcome was unknown, after later ones; the check took no account of such writes.
const SEEDS: &str = "1-3,27";

/// How many connections each server takes: so few that one proxy holds them all.
const CONNECTIONS: usize = 10;

/// Callers; each writes an item of its own.
const CALLERS: usize = 8;

/// How long after the last fault has ended every proxy must serve writes again: the platform allows 12 s.
const RECOVERY: Duration = Duration::from_secs(12);

/// What the callers share.
struct Shared {
    listen: Mutex<Vec<String>>,
    stop: AtomicBool,
    /// The number of the last write of each item that its writer heard was kept.
    kept: Vec<AtomicU64>,
    /// Writes, by caller and number, that may take effect at any later time.
    unknown: Mutex<BTreeSet<(usize, u64)>>,
    broken: Mutex<Vec<String>>,
    statements: AtomicU64,
}

impl Shared {
    fn address(&self, proxy: usize) -> String {
        self.listen.lock().expect("no holder panics")[proxy].clone()
    }

    fn may_come_late(&self, caller: usize, number: u64) -> bool {
        let unknown = self.unknown.lock().expect("no holder panics");
        unknown.contains(&(caller, number))
    }

    fn break_rule(&self, what: String) {
        self.broken.lock().expect("no holder panics").push(what);
    }
}

/// What became of a write, as its caller heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Kept,
    NotRun,
    Unknown,
}

fn outcome(answer: Option<&fixture::line::Answer>) -> Outcome {
    match answer {
        Some(answer) if answer.done() => Outcome::Kept,
        Some(answer) => match answer.code() {
            "BUSY" | "ABORTED" | "LAGGING" | "READONLY" | "MOVED" | "MAXCONN" => Outcome::NotRun,
            _ => Outcome::Unknown,
        },
        None => Outcome::Unknown,
    }
}

/// One caller: writes its item alone and in transactions, reads its own and its neighbour's.
fn call(index: usize, shared: &Shared) -> BTreeMap<u64, Outcome> {
    let database = match index % 2 {
        0 => LATEST,
        _ => SESSION,
    };
    let mut outcomes = BTreeMap::new();
    let mut proxy = index % PROXIES;
    let mut caller = None;
    for number in 1.. {
        if shared.stop.load(Ordering::SeqCst) {
            break;
        }
        std::thread::sleep(Duration::from_millis(5));
        let Some(open) = caller.as_mut() else {
            proxy = (proxy + 1) % PROXIES;
            caller = Caller::open(&shared.address(proxy), database);
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        let in_transaction = number % 3 == 0;
        let (result, ended) = match in_transaction {
            true => write_in_transaction(open, index, number),
            false => {
                let answer = open.try_ask(&format!("PUT own{index} {number}"));
                (outcome(answer.as_ref()), answer.is_none())
            }
        };
        outcomes.insert(number, result);
        shared.statements.fetch_add(1, Ordering::Relaxed);
        if result == Outcome::Unknown {
            let mut unknown = shared.unknown.lock().expect("no holder panics");
            unknown.insert((index, number));
        }
        if result == Outcome::Kept {
            shared.kept[index].store(number, Ordering::SeqCst);
        }
        if ended || !read_back(open, index, database, shared) {
            caller = None;
        }
    }
    outcomes
}

/// Two writes that belong together; whether the connection ended.
fn write_in_transaction(caller: &mut Caller, index: usize, number: u64) -> (Outcome, bool) {
    let begin = caller.try_ask("BEGIN");
    if outcome(begin.as_ref()) != Outcome::Kept {
        // Nothing was asked for yet.
        return (Outcome::NotRun, begin.is_none());
    }
    for text in [
        format!("PUT own{index} {number}"),
        format!("PUT twin{index} {number}"),
    ] {
        let answer = caller.try_ask(&text);
        if outcome(answer.as_ref()) != Outcome::Kept {
            // Without its COMMIT nothing of it may be kept, whatever became of this statement.
            let ended = answer.is_none() || caller.try_ask("ROLLBACK").is_none();
            return (Outcome::NotRun, ended);
        }
    }
    let commit = caller.try_ask("COMMIT");
    (outcome(commit.as_ref()), commit.is_none())
}

/// Reads the caller's own item and, where every commit must be seen, its neighbour's; `false` when the
/// connection has ended.
fn read_back(caller: &mut Caller, index: usize, database: &str, shared: &Shared) -> bool {
    let neighbour = (index + 1) % CALLERS;
    let items = match database {
        LATEST => vec![index, neighbour],
        _ => vec![index],
    };
    for item in items {
        let at_least = shared.kept[item].load(Ordering::SeqCst);
        let Some(answer) = caller.try_ask(&format!("FETCH own{item}")) else {
            return false;
        };
        shared.statements.fetch_add(1, Ordering::Relaxed);
        if !answer.done() {
            continue;
        }
        let seen = answer
            .rows
            .first()
            .and_then(|row| row.parse().ok())
            .unwrap_or(0);
        let own_session = item == index && database == SESSION;
        let older = seen < at_least && !shared.may_come_late(item, seen);
        if older && (database == LATEST || own_session) {
            shared.break_rule(format!(
                "caller {index} read {seen} of own{item} after {at_least} was kept: {answer:?}"
            ));
        }
    }
    true
}

/// Begins or ends a fault.
async fn apply(site: &mut Site, shared: &Shared, fault: Fault, begins: bool, version: &mut u64) {
    match (fault, begins) {
        (Fault::ProxyKilled(proxy), true) => site.proxies[proxy].process.kill(),
        (Fault::ProxyStopped(proxy), true) => site.proxies[proxy].process.terminate(),
        (Fault::ProxyKilled(proxy), false) => restart(site, shared, proxy),
        (Fault::ProxyStopped(proxy), false) => {
            site.proxies[proxy].process.ended(Duration::from_secs(8));
            restart(site, shared, proxy);
        }
        (Fault::ProxyFrozen(proxy), _) => site.proxies[proxy].process.pause(begins),
        (Fault::ServerDead(server), _) => site.fault(server, "dead", begins).await,
        (Fault::ServerSilent(server), _) => site.fault(server, "silent", begins).await,
        (Fault::ServerCut(server), _) => site.fault(server, "cut", begins).await,
        (Fault::ServerDeaf(server), _) => site.fault(server, "deaf", begins).await,
        (Fault::ServerReborn(server), true) => site.restart(server).await,
        (Fault::StoreDown, _) => site.store("down", begins).await,
        (Fault::StoreForgets, true) => site.store("forget", true).await,
        (Fault::Configured, true) => {
            *version += 1;
            site.configure(*version, &[LATEST, SESSION]).await;
        }
        (Fault::ServerReborn(_) | Fault::StoreForgets | Fault::Configured, false) => {}
    }
}

fn restart(site: &mut Site, shared: &Shared, proxy: usize) {
    site.proxies[proxy] = site.start_proxy(proxy);
    let listen = site.proxies[proxy].listen.clone();
    shared.listen.lock().expect("no holder panics")[proxy] = listen;
}

/// Plays one seed; returns what was broken and how many statements were sent.
async fn play(seed: u64) -> (Vec<String>, u64) {
    let steps = draw(seed);
    let mut site = Site::start_limited(&format!("soak-{seed}"), PROXIES, CONNECTIONS, &[]).await;
    site.owners(1).await;
    let shared = Arc::new(Shared {
        listen: Mutex::new(site.proxies.iter().map(|p| p.listen.clone()).collect()),
        stop: AtomicBool::new(false),
        kept: (0..CALLERS).map(|_| AtomicU64::new(0)).collect(),
        unknown: Mutex::default(),
        broken: Mutex::default(),
        statements: AtomicU64::new(0),
    });
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let shared = shared.clone();
            std::thread::spawn(move || call(index, &shared))
        })
        .collect();
    let mut moments: Vec<(Duration, Fault, bool)> = steps
        .iter()
        .flat_map(|s| [(s.begins, s.fault, true), (s.ends, s.fault, false)])
        .collect();
    moments.sort_by_key(|(at, ..)| *at);
    let (begun, mut version) = (Instant::now(), 1);
    for (at, fault, begins) in moments {
        tokio::time::sleep(at.saturating_sub(begun.elapsed())).await;
        apply(&mut site, &shared, fault, begins, &mut version).await;
    }
    let recovered = recovers(&site).await;
    shared.stop.store(true, Ordering::SeqCst);
    let outcomes: Vec<_> = callers
        .into_iter()
        .map(|caller| caller.join().expect("the caller does not panic"))
        .collect();
    let mut broken = std::mem::take(&mut *shared.broken.lock().expect("no holder panics"));
    broken.extend(recovered.err());
    broken.extend(compare(&site, &outcomes).await);
    if !broken.is_empty() {
        broken.push(format!("seed {seed}: {steps:#?}"));
        let unknown = shared.unknown.lock().expect("no holder panics");
        broken.push(format!("unknown outcomes, by caller: {unknown:?}"));
        broken.extend(
            site.lines("\"failover\"")
                .into_iter()
                .chain(site.lines("promoted")),
        );
    }
    (broken, shared.statements.load(Ordering::Relaxed))
}

/// Whether every proxy serves writes again in time.
async fn recovers(site: &Site) -> Result<(), String> {
    for proxy in 0..PROXIES {
        let served = fixture::eventually(RECOVERY, || async {
            let caller = Caller::open(&site.proxies[proxy].listen, LATEST);
            let answer = caller.and_then(|mut caller| caller.try_ask("PUT recovery x"));
            answer.is_some_and(|answer| answer.done())
        });
        if !served.await {
            return Err(format!(
                "proxy {proxy} serves no write {RECOVERY:?} after the last fault"
            ));
        }
    }
    Ok(())
}

/// Holds what callers heard against the log of the server that leads.
async fn compare(site: &Site, outcomes: &[BTreeMap<u64, Outcome>]) -> Vec<String> {
    let group = site.group().await;
    let mut counts: BTreeMap<(String, String), usize> = BTreeMap::new();
    for entry in group["log"].as_array().into_iter().flatten() {
        let text = |index: usize| entry[index].as_str().unwrap_or_default().to_owned();
        *counts.entry((text(0), text(1))).or_default() += 1;
    }
    let count = |item: String, number: u64| {
        let found = counts.get(&(item, number.to_string()));
        found.copied().unwrap_or(0)
    };
    let mut broken = Vec::new();
    for (index, outcomes) in outcomes.iter().enumerate() {
        for (number, outcome) in outcomes {
            let own = count(format!("own{index}"), *number);
            let twin = count(format!("twin{index}"), *number);
            let right = match outcome {
                Outcome::Kept => own == 1,
                Outcome::NotRun => own == 0,
                Outcome::Unknown => own <= 1,
            };
            if !right || (number % 3 == 0 && twin != own) {
                broken.push(format!(
                    "write {number} of caller {index}, {outcome:?}: {own} and {twin} times in the log"
                ));
            }
        }
    }
    broken
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

/// Proxies are killed, frozen and stopped, servers die, go silent, are cut off and start again empty, the
/// store is down or forgets, versions come, all at random and overlapping. Callers' kept writes are there
/// once, those refused as not run are not there at all, those in transactions are there together,
/// reads see what they must, and service is back in time.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_random_faults() {
    let chosen = std::env::var("DP_SOAK_SEEDS").unwrap_or_else(|_| SEEDS.to_owned());
    for seed in seeds(&chosen) {
        let (broken, statements) = play(seed).await;
        println!(
            "seed {seed}: {statements} statements, {} broken",
            broken.len()
        );
        assert!(broken.is_empty(), "{broken:#?}");
        assert!(
            statements > 500,
            "seed {seed}: only {statements} statements"
        );
    }
}

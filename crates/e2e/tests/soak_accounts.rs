//! Soak test of client accounts: callers press on all proxies while proxies are killed, frozen and restarted,
//! a limit falls and a key is removed. The servers' records show what ran, and under which name.
//!
//! `DP_SOAK_ACCOUNTS=7,100-149 cargo test -p dandelionpitch-e2e --test soak_accounts` runs other seeds
//! than those below.

mod fixture;

use std::{
    collections::BTreeMap,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use fixture::line::{Account, Caller, Run, Site, SESSION};
use rand::{rngs::StdRng, Rng, SeedableRng};

const SEEDS: &str = "1-2";

const PROXIES: usize = 3;

/// The span in which operations are counted, and the limit in it: the proxies' settings tolerate nothing
/// above the limit.
const WINDOW: Duration = Duration::from_secs(5);

const PHARMACY: Account<'_> = Account {
    name: "pharmacy",
    keys: &["key-of-pharmacy"],
    rate: 40,
};

const COURIER: Account<'_> = Account {
    name: "courier",
    keys: &["key-of-courier", "lost-key"],
    rate: 30,
};

/// The limit of the first account after it was lowered.
const LOWERED_RATE: u32 = 10;

/// Within this time a configuration is applied, and permits of the earlier limit have expired.
const CONFIG_TIME: Duration = Duration::from_secs(3);

/// Both phases, before and after the configuration changes.
const PHASE: Duration = Duration::from_secs(9);

/// What the callers share: the proxies' addresses, and when each operation was sent.
#[derive(Default)]
struct Shared {
    addresses: Mutex<Vec<String>>,
    sent: Mutex<BTreeMap<String, Instant>>,
    stop: AtomicBool,
}

/// One caller: sends single reads as fast as it is answered, through one proxy after another.
fn press(name: &str, index: usize, key: &str, shared: &Shared) {
    let mut proxy = index % PROXIES;
    let mut caller: Option<Caller> = None;
    for number in 0.. {
        if shared.stop.load(Ordering::SeqCst) {
            return;
        }
        std::thread::sleep(Duration::from_millis(8));
        let Some(open) = caller.as_mut() else {
            proxy = (proxy + 1) % PROXIES;
            let address = shared.addresses.lock().expect("lock is not poisoned")[proxy].clone();
            let opened = Caller::open_with_key(&address, SESSION, key);
            caller = opened
                .filter(|(_, answer)| answer == "READY I -")
                .map(|(c, _)| c);
            continue;
        };
        let id = format!("{name}.{index}.{number}");
        let sent_at = Instant::now();
        shared
            .sent
            .lock()
            .expect("lock is not poisoned")
            .insert(id.clone(), sent_at);
        if open.try_query_as(&id, "FETCH a").is_none() {
            caller = None;
        }
    }
}

/// Freezes, kills and restarts proxies for the length of a phase.
async fn disturb(site: &mut Site, shared: &Shared, random: &mut StdRng) {
    let until = Instant::now() + PHASE;
    while Instant::now() < until {
        let proxy = random.random_range(0..PROXIES);
        let pause = Duration::from_millis(random.random_range(100..2_500));
        if random.random_bool(0.5) {
            site.proxies[proxy].process.set_paused(true);
            tokio::time::sleep(pause).await;
            site.proxies[proxy].process.set_paused(false);
        } else {
            site.kill_proxy(proxy);
            tokio::time::sleep(pause / 4).await;
            site.proxies[proxy] = site.start_proxy(proxy);
            let address = site.proxies[proxy].listen.clone();
            shared.addresses.lock().expect("lock is not poisoned")[proxy] = address;
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(0..1_500))).await;
    }
}

/// An operation that a server ran.
struct Operation {
    sent: Instant,
    ran: Instant,
}

/// The most operations that were both sent and run within one window.
fn most_in_a_window(operations: &[Operation], from: Instant) -> usize {
    let starts = operations.iter().map(|operation| operation.sent);
    let count = |start: Instant| {
        let within =
            |operation: &&Operation| operation.sent >= start && operation.ran < start + WINDOW;
        operations.iter().filter(within).count()
    };
    let starts = starts.filter(|start| *start >= from);
    starts.map(count).max().unwrap_or_default()
}

async fn run_seed(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut site = Site::start(&format!("soak-accounts-{seed}"), PROXIES).await;
    site.configure_accounts(2, &[PHARMACY, COURIER]).await;
    site.wait_for_version(2).await;
    let shared = Arc::new(Shared::default());
    let addresses = site.proxies.iter().map(|proxy| proxy.listen.clone());
    *shared.addresses.lock().expect("lock is not poisoned") = addresses.collect();
    let callers = [
        ("pharmacy", "key-of-pharmacy"),
        ("pharmacy", "key-of-pharmacy"),
        ("pharmacy", "key-of-pharmacy"),
        ("courier", "key-of-courier"),
        ("courier", "lost-key"),
    ];
    let callers: Vec<_> = callers
        .into_iter()
        .enumerate()
        .map(|(index, (name, key))| {
            let shared = shared.clone();
            std::thread::spawn(move || press(name, index, key, &shared))
        })
        .collect();

    disturb(&mut site, &shared, &mut random).await;
    let lowered = Account {
        rate: LOWERED_RATE,
        ..PHARMACY
    };
    let reduced = Account {
        keys: &["key-of-courier"],
        ..COURIER
    };
    site.configure_accounts(3, &[lowered, reduced]).await;
    let changed_at = Instant::now();
    disturb(&mut site, &shared, &mut random).await;
    shared.stop.store(true, Ordering::SeqCst);
    callers
        .into_iter()
        .for_each(|caller| caller.join().expect("a caller ends"));

    let runs = site.runs().await;
    let now = Instant::now();
    let sent = shared.sent.lock().expect("lock is not poisoned");
    let mut operations: BTreeMap<&str, Vec<Operation>> = BTreeMap::new();
    for Run(client, id, age_ms) in &runs {
        let Some(sent) = sent.get(id) else { continue };
        let ran = now - Duration::from_millis(*age_ms);
        let name = id.split('.').next().unwrap_or_default();
        assert_eq!(client, name, "seed {seed}: {id} ran for {client}");
        let lost_key = id.starts_with("courier.4.");
        let after_removal = *sent > changed_at + CONFIG_TIME;
        assert!(
            !lost_key || !after_removal,
            "seed {seed}: {id} ran with a removed key"
        );
        let operation = Operation { sent: *sent, ran };
        operations.entry(client).or_default().push(operation);
    }
    let allowed = |rate: u32| (rate * (WINDOW.as_secs() as u32 + 1)) as usize;
    let started = now - PHASE * 4;
    let pharmacy = operations.remove("pharmacy").unwrap_or_default();
    let courier = operations.remove("courier").unwrap_or_default();
    let figures = [
        (most_in_a_window(&pharmacy, started), allowed(PHARMACY.rate)),
        (most_in_a_window(&courier, started), allowed(COURIER.rate)),
        (
            most_in_a_window(&pharmacy, changed_at + CONFIG_TIME),
            allowed(LOWERED_RATE),
        ),
    ];
    println!("seed {seed}: {figures:?}, {} operations", runs.len());
    assert!(
        figures.iter().all(|(most, allowed)| most <= allowed),
        "seed {seed}: {figures:?}"
    );
    assert!(
        figures[1].0 > allowed(COURIER.rate) / 10,
        "seed {seed}: {figures:?}"
    );
}

/// Guards against accounts that exceed their limits, statements that run under another account's name, and
/// removed keys that still work, while proxies are killed, frozen and restarted.
#[tokio::test(flavor = "multi_thread")]
async fn limits_and_names_hold_under_random_faults() {
    let chosen = std::env::var("DP_SOAK_ACCOUNTS").unwrap_or_else(|_| SEEDS.to_owned());
    for part in chosen.split(',') {
        let (first, last) = part.split_once('-').unwrap_or((part, part));
        let number = |text: &str| text.trim().parse::<u64>().expect("a seed");
        for seed in number(first)..=number(last) {
            run_seed(seed).await;
        }
    }
}

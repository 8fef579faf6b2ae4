//! Measures what one change of the list of proxies costs a proxy in a deployment of the design size
//! (`docs/CAPACITY.md`), and fails if that exceeds the CPU or memory budget of control tasks.
//!
//! Run with `cargo bench -p dandelionpitch-engine`.

mod measure;

use std::{hint::black_box, net::SocketAddr, time::Duration};

use dandelionpitch_engine::{
    feed::Subscription,
    mirror::{Change, Item, Mirror, Update},
    ownership::{self, Allocation, Limits, Peer, Plan, Query},
};
use measure::{median, resident_kb};

const PROXIES: usize = 3_400;
const DCS: usize = 15;
const GROUPS: usize = 4_000;
/// The number of store changes sent to a follower at once.
const BATCH: usize = 10;
/// The proxy whose costs are measured.
const OWN_ID: &str = "proxy-0100";
const OWN_DC: &str = "dc-10";

/// The fraction of a core that control tasks may use.
const MAX_CPU_FRACTION: f64 = 0.029;
/// Proxies that fail, restart or are replaced per day; each is removed and added once.
const CHANGES_PER_DAY: f64 = 2.0 * (33.0 + 820.0);
const SECONDS_PER_DAY: f64 = 86_400.0;
const MAX_MEMORY_KB: f64 = 32.0 * 1_024.0;

fn fleet() -> Vec<Peer> {
    let mut peers: Vec<Peer> = (0..PROXIES)
        .map(|index| Peer {
            id: format!("proxy-{index:04}"),
            dc: format!("dc-{:02}", index % DCS),
            address: SocketAddr::from(([10, 0, 0, 1], 7455)),
            capacity: 300.0 + (index % 4) as f64 * 300.0,
        })
        .collect();
    peers.sort_by(|a, b| a.id.cmp(&b.id));
    peers
}

/// A mirror of the store's content, with an entry of 200 bytes for each proxy and server.
fn mirror() -> Mirror<Vec<u8>> {
    let change = |index: usize| {
        Change::Written(Item {
            key: format!("dandelionpitch/member/proxy-{index:05}"),
            value: vec![b'x'; 200],
            revision: index as u64 + 1,
        })
    };
    let entries = PROXIES + 3 * GROUPS;
    let mut mirror = Mirror::default();
    for (is_snapshot, indexes) in [(true, 0..entries), (false, entries..entries + BATCH)] {
        mirror.apply(&Update {
            revision: indexes.end as u64,
            is_snapshot,
            changes: indexes.map(change).collect(),
        });
    }
    mirror
}

fn query(service: &str) -> Query<'_> {
    Query {
        own: OWN_ID,
        dc: OWN_DC,
        service,
    }
}

fn main() {
    let before = fleet();
    let now: Vec<Peer> = before.iter().skip(1).cloned().collect();
    let limits = Limits {
        max_connections: 30,
        slots: 5,
    };
    let allocation = Allocation::new(PROXIES, DCS, limits);
    let services: Vec<String> = (0..GROUPS).map(|group| format!("g{group}")).collect();
    let rank = |service: &String| ownership::plan(&before, OWN_ID, OWN_DC, service, allocation);
    let plans: Vec<Plan> = services.iter().map(rank).collect();

    let full = median(|| services.iter().for_each(|s| drop(black_box(rank(s)))));
    let incremental = median(|| {
        let change = ownership::Change::new(&before, &now);
        for (service, plan) in services.iter().zip(&plans) {
            let plan = ownership::replan(plan, &change, &now, query(service), allocation);
            drop(black_box(plan));
        }
    });
    let subscription = median(|| drop(black_box(Subscription::new(&now, OWN_ID, OWN_DC))));
    let empty_kb = resident_kb();
    let mirror = mirror();
    let mirror_kb = resident_kb() - empty_kb;
    let update = median(|| drop(black_box(mirror.since(mirror.revision() - BATCH as u64))));

    let bound = Duration::from_secs_f64(MAX_CPU_FRACTION * SECONDS_PER_DAY / CHANGES_PER_DAY);
    println!("owners: {full:.1?} ranking all, {incremental:.1?} incrementally, bound {bound:.1?}");
    println!(
        "relays: {subscription:.1?}; {BATCH} changes: {update:.1?}; mirror: {mirror_kb:.0} KB"
    );
    assert!(
        incremental + subscription <= bound,
        "CPU time of a change exceeds its bound"
    );
    assert!(
        mirror_kb <= MAX_MEMORY_KB,
        "memory of the mirror exceeds its bound"
    );
}

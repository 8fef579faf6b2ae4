//! What one change of the fleet costs a proxy at the size to design for (`docs/CAPACITY.md`). Fails past
//! its regression bounds, which follow from the share of a core that control may take.
//!
//! Run with `cargo bench -p dandelionpitch-engine`.

mod measure;

use std::{hint::black_box, net::SocketAddr, time::Duration};

use dandelionpitch_engine::{
    feed::Subscription,
    mirror::{Change, Item, Mirror, Update},
    ownership::{self, Allocation, Limits, Peer, Plan, Query},
};
use measure::{median, resident};

const PROXIES: usize = 3_400;
const DCS: usize = 15;
const GROUPS: usize = 4_000;
/// How many changes a follower is told at once.
const TOLD: usize = 10;
/// The proxy that computes.
const OWN: &str = "proxy-0100";
const DC: &str = "dc-10";

/// The part of a core that control may take.
const SHARE: f64 = 0.029;
/// Proxies that fail, are restarted or replaced in a day; each goes and comes.
const CHANGES_A_DAY: f64 = 2.0 * (33.0 + 820.0);
const SECONDS_A_DAY: f64 = 86_400.0;
/// The memory that control may take, in KB.
const MEMORY_KB: f64 = 32.0 * 1_024.0;

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

/// The store's content as a proxy keeps it: an entry of 200 bytes for each proxy and server.
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
    for (is_snapshot, known) in [(true, 0..entries), (false, entries..entries + TOLD)] {
        mirror.apply(&Update {
            revision: known.end as u64,
            is_snapshot,
            changes: known.map(change).collect(),
        });
    }
    mirror
}

fn query(service: &str) -> Query<'_> {
    Query {
        own: OWN,
        dc: DC,
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
    let rank = |service: &String| ownership::plan(&before, OWN, DC, service, allocation);
    let known: Vec<Plan> = services.iter().map(rank).collect();

    let anew = median(|| services.iter().for_each(|s| drop(black_box(rank(s)))));
    let carried = median(|| {
        let change = ownership::Change::new(&before, &now);
        for (service, known) in services.iter().zip(&known) {
            let plan = ownership::replan(known, &change, &now, query(service), allocation);
            drop(black_box(plan));
        }
    });
    let place = median(|| drop(black_box(Subscription::new(&now, OWN, DC))));
    let empty = resident();
    let mirror = mirror();
    let kept = resident() - empty;
    let told = median(|| drop(black_box(mirror.since(mirror.revision() - TOLD as u64))));

    let bound = Duration::from_secs_f64(SHARE * SECONDS_A_DAY / CHANGES_A_DAY);
    println!("owners: {anew:.1?} ranked anew, {carried:.1?} carried over, bound {bound:.1?}");
    println!("feeders: {place:.1?}; {TOLD} changes told: {told:.1?}; mirror: {kept:.0} KB");
    assert!(carried + place <= bound, "a change is past its bound");
    assert!(kept <= MEMORY_KB, "the mirror is past its bound");
}

//! Measures what one change of the store costs a proxy at the size of the largest deployment and at twice
//! that (`docs/CAPACITY.md`), and fails if the cost of a change grows faster than the deployment.
//!
//! Run with `cargo bench -p dandelionpitch-engine --bench sizes`.

mod measure;

use std::{hint::black_box, net::SocketAddr, time::Duration};

use dandelionpitch_engine::{
    feed::Subscription,
    members::Members,
    mirror::{Change, Item, Mirror, Update},
    ownership::{Limits, Peer},
    planner::Planner,
    registry::{Registry, Role, Server},
    time::Moment,
};
use measure::{median, resident_kb};

const DCS: usize = 5;

/// The groups of which a proxy sees statements.
const PLANNED: usize = 100;

/// The maximum size of a response to a follower.
const PART_BYTES: usize = 64 * 1024;

/// How much a cost may grow when the deployment doubles: with its size, and some noise.
const MAX_GROWTH: f64 = 3.0;

/// Below this, a cost is too small for its growth to matter.
const NEGLIGIBLE: Duration = Duration::from_micros(50);

const LIMITS: Limits = Limits {
    max_connections: 269,
    slots: 5,
};

struct Size {
    members: usize,
    groups: usize,
}

const SIZES: [Size; 2] = [
    Size {
        members: 984,
        groups: 1_000,
    },
    Size {
        members: 1_968,
        groups: 2_000,
    },
];

fn at(millis: u64) -> Moment {
    Moment::default() + Duration::from_millis(1_000_000 + millis)
}

fn peer(index: usize) -> Peer {
    Peer {
        id: format!("proxy-{index:04}"),
        dc: format!("dc-{}", index % DCS),
        address: SocketAddr::from(([10, 0, 0, 1], 7455)),
        capacity: 300.0 + (index % 20 / 19) as f64 * 2_200.0,
    }
}

fn server(index: usize, leaving: bool) -> Server {
    Server {
        incarnation: format!("i-{index:05}@{index}").as_str().into(),
        service: format!("group-{}", index / 3),
        address: SocketAddr::from(([10, 0, 0, 2], 5432)),
        dc: format!("dc-{}", index % 3),
        slots: 5,
        role: Role::Replica,
        leaving,
    }
}

fn registry(size: &Size) -> Registry {
    let mut registry = Registry::default();
    registry.replace(
        (0..3 * size.groups)
            .map(|index| server(index, false))
            .collect(),
        at(0),
    );
    registry
}

fn members(size: &Size) -> Members {
    let mut members = Members::default();
    (0..size.members).for_each(|index| members.mark_present(&peer(index).id, Some(peer(index))));
    members
}

/// One server announces that it stops, and a view of all groups is taken.
fn server_change(size: &Size) -> Duration {
    let mut registry = registry(size);
    let mut leaving = false;
    let mut published = registry.groups().clone();
    median(|| {
        leaving = !leaving;
        registry.put(server(7, leaving), at(1));
        published = registry.groups().clone();
        black_box(&published);
    })
}

/// All servers are listed again.
fn complete_list(size: &Size) -> Duration {
    let mut registry = registry(size);
    median(|| {
        let servers = (0..3 * size.groups).map(|index| server(index, false));
        registry.replace(servers.collect(), at(1));
    })
}

/// One proxy leaves or returns: the list of proxies, the relays and the plans of the groups in use.
fn member_change(size: &Size) -> Duration {
    let mut members = members(size);
    let mut planner = Planner::new("proxy-0100", "dc-0");
    planner.update(&members.peers(at(0)), size.members, |_| Some(LIMITS));
    for index in 0..PLANNED {
        planner.ownership(&format!("group-{index}"), LIMITS);
    }
    let mut present = true;
    median(|| {
        present = !present;
        members.mark_present(&peer(7).id, present.then(|| peer(7)));
        let peers = members.peers(at(1));
        black_box(Subscription::new(&peers, "proxy-0100", "dc-0"));
        planner.update(&peers, size.members, |_| Some(LIMITS));
    })
}

/// The first statement of a group.
fn first_statement(size: &Size) -> Duration {
    let peers = members(size).peers(at(0));
    let mut index = 0;
    let mut planner = Planner::new("proxy-0100", "dc-0");
    planner.update(&peers, size.members, |_| Some(LIMITS));
    median(|| {
        index += 1;
        black_box(planner.ownership(&format!("group-{index}"), LIMITS));
    })
}

/// A mirror of the store's content, with an entry of 200 bytes for each proxy, server and group.
fn mirror(size: &Size) -> Mirror<Vec<u8>> {
    let entries = size.members + 4 * size.groups;
    let change = |index: usize| {
        Change::Written(Item {
            key: format!("dandelionpitch/member/proxy-{index:05}"),
            value: vec![b'x'; 200],
            revision: index as u64 + 1,
        })
    };
    let mut mirror = Mirror::default();
    mirror.apply(&Update {
        revision: entries as u64,
        is_snapshot: true,
        changes: (0..entries).map(change).collect(),
    });
    mirror
}

/// The first part of the content for a proxy that starts.
fn first_part(size: &Size) -> Duration {
    let mirror = mirror(size);
    let bytes = |key: &str, value: Option<&Vec<u8>>| key.len() + value.map_or(0, Vec::len);
    median(|| drop(black_box(mirror.part_since(0.into(), PART_BYTES, bytes))))
}

type Cost = (&'static str, fn(&Size) -> Duration);

fn main() {
    let costs: [Cost; 5] = [
        ("change of a server", server_change),
        ("complete list of servers", complete_list),
        ("change of a proxy", member_change),
        ("first statement of a group", first_statement),
        ("first part for a starting proxy", first_part),
    ];
    for size in &SIZES {
        let before = resident_kb();
        let mirror = mirror(size);
        let kb = resident_kb() - before;
        println!("mirror of {} proxies: {kb:.0} KB", size.members);
        drop(mirror);
    }
    for (name, cost) in costs {
        let [once, twice] = SIZES.each_ref().map(cost);
        println!("{name}: {once:.1?}, {twice:.1?} at twice the size");
        let growth = twice.as_secs_f64() / once.as_secs_f64();
        assert!(
            twice <= NEGLIGIBLE || growth <= MAX_GROWTH,
            "{name} grows {growth:.1} times when the deployment doubles"
        );
    }
}

//! Which proxies own the connections to a group, and to which proxies the others forward statements.

use std::time::Duration;

use dandelionpitch_engine::{
    forwarding,
    ownership::{self, Allocation, Change, Limits, Peer, Plan, Query},
    refusal::Code,
};
use yare::parameterized;

const DCS: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

fn peers(count: usize) -> Vec<Peer> {
    let peer = |index: usize| Peer {
        id: format!("proxy-{index:02}"),
        dc: DCS[index % DCS.len()].to_owned(),
        address: ([127, 0, 0, 1], 5000).into(),
        capacity: 600.0,
    };
    (0..count).map(peer).collect()
}

fn limits(max_connections: u32, slots: u32) -> Limits {
    Limits {
        max_connections,
        slots,
    }
}

/// The proxies that own a group according to their own plans.
fn owners(peers: &[Peer], service: &str, limits: Limits) -> Vec<String> {
    let allocation = Allocation::new(peers.len(), DCS.len(), limits);
    let owns =
        |peer: &&Peer| ownership::plan(peers, &peer.id, &peer.dc, service, allocation).runs();
    let owners = peers.iter().filter(owns);
    owners.map(|peer| peer.id.clone()).collect()
}

/// If every proxy of a large deployment opened connections, the servers would refuse most of them. The
/// connections of all owners together must fit into a server's limit.
#[parameterized(
    small_fleet_and_small_servers = { 8, 21, 3 },
    small_fleet = { 7, 33, 5 },
    large_fleet = { 75, 49, 5 },
    large_fleet_and_large_servers = { 61, 157, 5 },
    hundreds_of_proxies = { 300, 49, 6 },
    very_few_connections = { 75, 6, 1 },
)]
fn connections_of_all_owners_fit(members: usize, max_connections: u32, slots: u32) {
    let limits = limits(max_connections, slots);
    let peers = peers(members);

    let allocation = Allocation::new(members, DCS.len(), limits);
    let owners = owners(&peers, "ledger", limits).len();
    let held = owners * allocation.connections(limits);

    assert!(owners >= DCS.len());
    assert!(
        held <= max_connections as usize - 3,
        "{owners} owners hold {held}"
    );
}

/// If the connections suffice for twice the number of proxies, every proxy has its own, which avoids
/// forwarding. Twice, because a server still counts the connections of failed proxies for a while.
#[parameterized(
    four_proxies_21_connections = { 4, 21, 3, true },
    eight_proxies_21_connections = { 8, 21, 3, false },
    six_proxies_34_connections = { 6, 34, 3, true },
    seven_proxies_33_connections = { 7, 33, 5, true },
    seventy_five_proxies_49_connections = { 75, 49, 5, false },
)]
fn proxies_of_small_fleets_have_own_connections(
    members: usize,
    max_connections: u32,
    slots: u32,
    expected: bool,
) {
    let allocation = Allocation::new(members, DCS.len(), limits(max_connections, slots));

    assert_eq!(matches!(allocation, Allocation::All { .. }), expected);
}

/// Every proxy lists the owners of its own data centre first, and all proxies choose the same owners.
/// Otherwise a group could have as many owners as there are proxies.
#[test]
fn all_proxies_choose_the_same_owners() {
    let peers = peers(75);
    let limits = limits(49, 5);
    let owners = owners(&peers, "ledger", limits);
    let allocation = Allocation::new(75, DCS.len(), limits);
    let dc = |id: &String| {
        peers
            .iter()
            .find(|peer| peer.id == *id)
            .map(|peer| &peer.dc)
    };

    for peer in &peers {
        let Plan::Forward { local, fallback } =
            ownership::plan(&peers, &peer.id, &peer.dc, "ledger", allocation)
        else {
            continue;
        };
        assert!(local.iter().all(|id| dc(id) == Some(&peer.dc)), "{local:?}");
        assert!(local.iter().all(|id| owners.contains(id)), "{local:?}");
        assert_eq!(fallback.iter().filter(|id| owners.contains(id)).count(), 4);
    }
    assert_eq!(owners.len(), 6);
}

/// Guards against moving other groups than those of the owner that was lost, which would move their
/// statements to other proxies as well.
#[test]
fn lost_owner_moves_only_its_own_groups() {
    let before = peers(75);
    let limits = limits(49, 5);
    let lost = owners(&before, "group-0", limits).remove(0);
    let after: Vec<Peer> = before.iter().filter(|p| p.id != lost).cloned().collect();

    for group in (0..8).map(|group| format!("group-{group}")) {
        let mut kept = owners(&before, &group, limits);
        let owned_by_lost = kept.contains(&lost);
        kept.retain(|id| *id != lost);
        let now = owners(&after, &group, limits);

        assert!(kept.iter().all(|id| now.contains(id)));
        assert_eq!(now.len() - kept.len(), usize::from(owned_by_lost));
    }
}

/// A VM with little CPU and a slow network link can serve fewer forwarded statements, so it must own fewer
/// groups.
#[test]
fn vms_with_low_capacity_own_fewer_groups() {
    let mut peers = peers(30);
    for peer in peers.iter_mut().take(15) {
        peer.capacity = ownership::capacity(0.12, 10.0);
    }
    for peer in peers.iter_mut().skip(15) {
        peer.capacity = ownership::capacity(0.5, 200.0);
    }

    let groups = (0..100).map(|group| format!("group-{group}"));
    let all: Vec<String> = groups
        .flat_map(|group| owners(&peers, &group, limits(21, 3)))
        .collect();
    let weak = all.iter().filter(|id| id.as_str() < "proxy-15").count();

    assert!(weak * 3 < all.len(), "{weak} of {}", all.len());
}

/// A statement that an owner refuses without running it is forwarded to the next one. A statement that
/// failed, may have run, was refused twice or has waited too long is not.
#[parameterized(
    not_run = { Code::Busy, 1, 20, true },
    refused_twice = { Code::Busy, 2, 20, false },
    waited_too_long = { Code::Busy, 1, 200, false },
    failed = { Code::Failed, 1, 20, false },
    unknown_outcome = { Code::Unknown, 1, 20, false },
)]
fn statement_is_forwarded_to_the_next_owner(
    code: Code,
    attempts: usize,
    waited: u64,
    expected: bool,
) {
    let waited = Duration::from_millis(waited);

    let retry = forwarding::may_retry(code, attempts, waited, Duration::from_millis(400));

    assert_eq!(retry, expected);
}

/// Many proxies start at once. If each took itself for an owner before it is in the list, their first
/// connections alone would exceed a server's limit.
#[test]
fn starting_proxy_owns_nothing() {
    let peers = peers(74);
    let allocation = Allocation::new(75, DCS.len(), limits(49, 5));

    let plan = ownership::plan(&peers, "proxy-new", DCS[0], "ledger", allocation);

    assert!(matches!(plan, Plan::Forward { local, .. } if local.len() == 2));
}

/// During a rolling restart, plans updated from change to change must equal those computed from the whole
/// list, also on a proxy that is itself restarted.
#[test]
fn replanning_gives_the_same_plan_as_planning() {
    let all = peers(60);
    let allocation = Allocation::new(all.len(), DCS.len(), limits(49, 5));
    for query in [&all[0], &all[7], &all[30]] {
        for service in ["a", "b", "c"] {
            let query = Query {
                own: &query.id,
                dc: &query.dc,
                service,
            };
            let mut before = all.clone();
            let mut known = ownership::plan(&before, query.own, query.dc, service, allocation);
            for step in 0..120 {
                // One proxy is removed, and the one removed in the previous step is added again.
                let now: Vec<Peer> = (0..all.len())
                    .filter(|index| *index != step * 7 % all.len())
                    .map(|index| all[index].clone())
                    .collect();
                let change = Change::new(&before, &now);

                known = ownership::replan(&known, &change, &now, query, allocation);

                let planned = ownership::plan(&now, query.own, query.dc, service, allocation);
                assert_eq!(known, planned, "{query:?} step {step}");
                before = now;
            }
        }
    }
}

/// A proxy whose capacity changed counts as removed and added.
#[test]
fn proxy_with_another_capacity_is_ranked_again() {
    let before = peers(60);
    let mut now = before.clone();
    now[30].capacity = 100_000.0;
    let allocation = Allocation::new(before.len(), DCS.len(), limits(49, 5));
    let query = Query {
        own: &before[1].id,
        dc: &before[1].dc,
        service: "a",
    };
    let known = ownership::plan(&before, query.own, query.dc, "a", allocation);

    let change = Change::new(&before, &now);
    let replanned = ownership::replan(&known, &change, &now, query, allocation);

    assert_eq!(
        replanned,
        ownership::plan(&now, query.own, query.dc, "a", allocation)
    );
    assert_ne!(replanned, known);
}

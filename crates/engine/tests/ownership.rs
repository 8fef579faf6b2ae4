//! Which proxies hold the connections of a group, and to whom the others hand their statements.

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

/// The owners of a group, as each proxy sees it for itself.
fn owners(peers: &[Peer], service: &str, limits: Limits) -> Vec<String> {
    let allocation = Allocation::new(peers.len(), DCS.len(), limits);
    let owns =
        |peer: &&Peer| ownership::plan(peers, &peer.id, &peer.dc, service, allocation) == Plan::Run;
    let owners = peers.iter().filter(owns);
    owners.map(|peer| peer.id.clone()).collect()
}

/// 75 proxies stand before servers that take 49 connections. With connections of their own they would
/// ask for 150 and be turned away by the thousand; with a few owners in each data centre half of the
/// room stays free, for connections of owners that are gone and still count.
#[parameterized(
    small_fleet_and_small_servers = { 8, 21, 3 },
    small_fleet = { 7, 33, 5 },
    large_fleet = { 75, 49, 5 },
    large_fleet_and_roomy_servers = { 61, 157, 5 },
    hundreds = { 300, 49, 6 },
    hardly_any_connections = { 75, 6, 1 },
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

/// With connections for all twice over, as those of former lives still count for a while, a statement takes
/// no hop more than it has to.
#[parameterized(
    four_before_21 = { 4, 21, 3, true },
    eight_before_21 = { 8, 21, 3, false },
    six_before_34 = { 6, 34, 3, true },
    seven_before_33 = { 7, 33, 5, true },
    seventy_five_before_49 = { 75, 49, 5, false },
)]
fn small_fleets_hold_their_own(members: usize, most: u32, slots: u32, expected: bool) {
    let allocation = Allocation::new(members, DCS.len(), limits(most, slots));

    assert_eq!(matches!(allocation, Allocation::All { .. }), expected);
}

/// Every proxy names owners of its own data centre first and all name the same: if each named
/// others, a group would have as many owners as proxies.
#[test]
fn all_proxies_name_the_same_owners() {
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

/// An owner is lost: only the groups that it owned move, and a proxy that was named as a spare takes
/// its place, so callers who were sent there meanwhile stay.
#[test]
fn lost_owner_moves_only_its_own_groups() {
    let before = peers(75);
    let limits = limits(49, 5);
    let lost = owners(&before, "group-0", limits).remove(0);
    let after: Vec<Peer> = before.iter().filter(|p| p.id != lost).cloned().collect();

    for group in (0..8).map(|group| format!("group-{group}")) {
        let mut kept = owners(&before, &group, limits);
        let owned = kept.contains(&lost);
        kept.retain(|id| *id != lost);
        let now = owners(&after, &group, limits);

        assert!(kept.iter().all(|id| now.contains(id)));
        assert_eq!(now.len() - kept.len(), usize::from(owned));
    }
}

/// VMs differ: one with a link of 10 Mbit/s cannot pass on what one of 200 can. Over many groups each
/// owns in proportion to what it can run.
#[test]
fn weak_vms_own_less() {
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

/// One owner says that it cannot run a statement; the next may. A failure of the statement itself, one
/// that may have run, or one that has waited too long is not offered elsewhere.
#[parameterized(
    not_run = { Code::Busy, 1, 20, true },
    second_answer = { Code::Busy, 2, 20, false },
    waited = { Code::Busy, 1, 200, false },
    failed = { Code::Failed, 1, 20, false },
    unknown = { Code::Unknown, 1, 20, false },
)]
fn statement_is_offered_to_the_next_owner(code: Code, offers: usize, waited: u64, expected: bool) {
    let waited = Duration::from_millis(waited);

    let again = forwarding::may_retry(code, offers, waited, Duration::from_millis(400));

    assert_eq!(again, expected);
}

/// 75 proxies start within 0.3 s. One that is not yet known to the others, or to itself, owns nothing: if
/// each took itself for an owner until it knows better, their first questions alone would be more
/// connections than a server takes.
#[test]
fn proxy_that_has_just_started_owns_nothing() {
    let peers = peers(74);
    let allocation = Allocation::new(75, DCS.len(), limits(49, 5));

    let plan = ownership::plan(&peers, "proxy-new", DCS[0], "ledger", allocation);

    assert!(matches!(plan, Plan::Forward { local, .. } if local.len() == 2));
}

/// Proxies are restarted in turn among many. Plans that are carried over from list to list are those that
/// ranking everybody anew would give, whoever asks, also for the proxy that comes and goes itself.
#[test]
fn plans_carried_over_are_those_ranked_anew() {
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
                // One goes, and the one that went before comes back.
                let now: Vec<Peer> = (0..all.len())
                    .filter(|index| *index != step * 7 % all.len())
                    .map(|index| all[index].clone())
                    .collect();
                let change = Change::new(&before, &now);

                known = ownership::replan(&known, &change, &now, query, allocation);

                let anew = ownership::plan(&now, query.own, query.dc, service, allocation);
                assert_eq!(known, anew, "{query:?} step {step}");
                before = now;
            }
        }
    }
}

/// A proxy comes back with another capacity: it counts as one that went and one that came.
#[test]
fn proxy_that_says_something_else_is_ranked_again() {
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
    let carried = ownership::replan(&known, &change, &now, query, allocation);

    assert_eq!(
        carried,
        ownership::plan(&now, query.own, query.dc, "a", allocation)
    );
    assert_ne!(carried, known);
}

//! How a proxy of a large deployment tracks the groups, the servers and the other proxies.

use std::{sync::Arc, time::Duration};

use dandelionpitch_engine::{
    members::Members,
    ownership::{self, Limits, Peer},
    planner::Planner,
    registry::{Registry, Role, Server, MISSING_TIMEOUT},
    time::Moment,
};

const DCS: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

const LIMITS: Limits = Limits {
    max_connections: 49,
    slots: 5,
};

fn at(millis: u64) -> Moment {
    Moment::default() + Duration::from_millis(1_000_000 + millis)
}

fn peer(index: usize) -> Peer {
    Peer {
        id: format!("proxy-{index:02}"),
        dc: DCS[index % DCS.len()].to_owned(),
        address: ([127, 0, 0, 1], 5000).into(),
        capacity: 600.0,
    }
}

fn peers(indexes: impl Iterator<Item = usize>) -> Arc<[Peer]> {
    indexes.map(peer).collect()
}

fn server(id: &str, service: &str) -> Server {
    Server {
        incarnation: id.into(),
        service: service.to_owned(),
        address: ([127, 0, 0, 1], 5000).into(),
        dc: "dc-a".to_owned(),
        slots: 5,
        role: Role::Replica,
        leaving: false,
    }
}

/// Proxies leave and join, and groups are first used at different times. Guards against a plan that
/// depends on when its group was first used.
#[test]
fn plans_are_the_same_whenever_a_group_was_first_used() {
    let own = peer(0);
    let mut planner = Planner::new(&own.id, &own.dc);
    let services: Vec<String> = (0..40).map(|index| format!("group-{index}")).collect();

    for step in 0..40 {
        let now = peers((0..60).filter(|index| index % 40 != step || *index == 0));
        planner.update(&now, 60, |_| Some(LIMITS));
        for (index, service) in services.iter().enumerate().filter(|(i, _)| *i <= step) {
            let known = planner.ownership(service, LIMITS).clone();

            let allocation = known.allocation;
            let fresh = ownership::plan(&now, &own.id, &own.dc, service, allocation);
            assert_eq!(known.plan, fresh, "group {index} at step {step}");
        }
    }
}

/// Guards against groups that stay planned after they were removed from the configuration, and against
/// plans for an earlier number of proxies.
#[test]
fn plans_follow_the_configuration_and_the_number_of_proxies() {
    let own = peer(0);
    let mut planner = Planner::new(&own.id, &own.dc);
    planner.update(&peers(0..60), 60, |_| Some(LIMITS));
    let owners = planner.ownership("ledger", LIMITS).allocation;

    planner.update(&peers(0..2), 2, |_| None);
    let all = planner.ownership("ledger", LIMITS).allocation;

    assert_eq!(owners, ownership::Allocation::new(60, 3, LIMITS));
    assert_eq!(all, ownership::Allocation::new(2, 2, LIMITS));
}

/// Each change of a server is published by every proxy. Guards against copies of the groups that did
/// not change, whose number grows with the deployment.
#[test]
fn change_of_a_server_leaves_other_groups_shared() {
    let mut registry = Registry::default();
    registry.put(server("a", "ledger"), at(0));
    registry.put(server("b", "archive"), at(0));
    let before = registry.groups().clone();

    registry.put(
        Server {
            leaving: true,
            ..server("a", "ledger")
        },
        at(1),
    );
    let after = registry.groups().clone();

    assert!(Arc::ptr_eq(&before["archive"], &after["archive"]));
    assert!(!before["ledger"][0].server.leaving && after["ledger"][0].server.leaving);
}

/// A server is registered for another group under the same id, and one is dropped. Guards against groups
/// that keep servers which are not theirs any more.
#[test]
fn servers_leave_their_former_groups() {
    let mut registry = Registry::default();
    registry.put(server("a", "ledger"), at(0));
    registry.put(server("b", "ledger"), at(0));

    registry.put(server("a", "archive"), at(1));
    registry.mark_missing("b", at(1));
    let missing = registry.servers_of("ledger")[0].missing_since;
    registry.expire(at(1) + MISSING_TIMEOUT);

    assert_eq!(missing, Some(at(1)));
    assert!(registry.servers_of("ledger").is_empty());
    assert_eq!(registry.servers_of("archive").len(), 1);
    assert_eq!(registry.groups().len(), 1);
}

/// Guards against a list of proxies that is built, and compared, again after each poll of the store, and
/// against one that keeps proxies that are gone.
#[test]
fn list_of_proxies_is_shared_until_it_changes() {
    let mut members = Members::default();
    (0..3).for_each(|index| members.mark_present(&peer(index).id, Some(peer(index))));
    let first = members.peers(at(0));

    members.mark_present(&peer(1).id, Some(peer(1)));
    let same = members.peers(at(1_000));
    members.mark_missing(&peer(1).id, at(1_000));
    let retained = members.peers(at(1_100));
    let dropped = members.peers(at(1_000) + MISSING_TIMEOUT);

    assert!(Arc::ptr_eq(&first, &same) && Arc::ptr_eq(&first, &retained));
    assert_eq!(*dropped, [peer(0), peer(2)]);
}

//! Which servers count for a promotion while the bundle's list changes.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use dandelionpitch_core::{era, position::Position, primary::Record};
use dandelionpitch_engine::roster::LIST_VALIDITY;
use dandelionpitch_proxy::{
    config::Config,
    control::counted::Counted,
    pool,
    view::{Group, Held, Latest, Role, Server, Status},
};

const SYNC_REPLICAS: usize = 1;

fn address(index: u16) -> SocketAddr {
    ([127, 0, 0, 1], 5000 + index).into()
}

fn server(index: u16, lsn: u64, read_at: Instant) -> Server {
    let config = Config::load(None).expect("the embedded settings");
    let status = Latest::default();
    status.set(Some(Status {
        role: match index {
            0 => Role::Primary,
            _ => Role::Replica,
        },
        term: 1,
        log: 0,
        position: Position { term: 1, lsn },
        lag: Duration::ZERO,
        silent: Duration::ZERO,
        read_at,
    }));
    Server {
        address: address(index),
        pool: pool::build(address(index), "ledger", 1, &config),
        status,
        leaving: false,
        listed: true,
        rest: Default::default(),
        superseded: Default::default(),
    }
}

/// A group that lists these servers, each with the end of its log; server 0 leads.
fn group(logs: &[(u16, u64)], members: &[u16], now: Instant) -> Group {
    let record = Record {
        term: 1,
        server: Some(address(0)),
        claimant: "proxy-1".to_owned(),
        members: members.iter().copied().map(address).collect(),
    };
    Group {
        servers: logs.iter().map(|&(i, lsn)| server(i, lsn, now)).collect(),
        fresh_for: Duration::from_secs(1),
        held: Some(Held {
            record,
            revision: 7,
            seen_at: now,
            forgotten: false,
        }),
        ..Group::default()
    }
}

/// Replica 1 receives nothing, so replica 2 alone confirms the members' orders. Operators take
/// replica 2 out. The two servers left look like the whole group, but one of them lacks the
/// orders: two of three must hold a new term until replica 1 has caught up, and one of two after.
#[test]
fn server_taken_out_counts_until_the_others_have_its_commits() {
    let start = Instant::now();
    let later = start + LIST_VALIDITY + Duration::from_secs(1);
    let mut counted = Counted::new(start);
    counted.update(
        &group(&[(0, 10), (1, 5), (2, 10)], &[0, 1, 2], start),
        start,
    );

    let taken_out = start + Duration::from_millis(25);
    counted.update(&group(&[(0, 10), (1, 5)], &[0, 1, 2], taken_out), taken_out);
    let while_behind = counted.quorum(SYNC_REPLICAS);
    counted.update(&group(&[(0, 10), (1, 5)], &[0, 1, 2], later), later);
    let still_behind = counted.quorum(SYNC_REPLICAS);
    counted.update(&group(&[(0, 10), (1, 10)], &[0, 1, 2], later), later);
    let caught_up = counted.quorum(SYNC_REPLICAS);

    assert_eq!(while_behind, Some(2));
    assert_eq!(still_behind, Some(2));
    assert_eq!(caught_up, Some(1));
}

/// A proxy starts after replica 2 was taken out and knows only the new list. The group's record
/// names replica 2, whose commits may be nowhere else: it counts for this proxy, too.
#[test]
fn record_tells_a_new_proxy_of_a_server_taken_out() {
    let now = Instant::now();
    let mut counted = Counted::new(now);

    counted.update(&group(&[(0, 10), (1, 5)], &[0, 1, 2], now), now);

    assert_eq!(counted.quorum(SYNC_REPLICAS), Some(2));
}

/// The record is written again when it lacks a listed server, or names one that counts no longer;
/// not while a server that was taken out still counts.
#[test]
fn record_follows_the_servers_that_count() {
    let now = Instant::now();
    let later = now + LIST_VALIDITY + Duration::from_secs(1);
    let grown = group(&[(0, 10), (1, 10), (2, 10)], &[0, 1], now);
    let shrunk = group(&[(0, 10), (1, 10)], &[0, 1, 2], now);
    let covered = group(&[(0, 10), (1, 10)], &[0, 1, 2], later);
    let mut counted = Counted::new(now);

    counted.update(&grown, now);
    let when_grown = counted.outdates(&grown);
    counted.update(&shrunk, now);
    let when_shrunk = counted.outdates(&shrunk);
    counted.update(&covered, later);
    let when_covered = counted.outdates(&covered);

    assert_eq!(when_grown, Some((1, address(0))));
    assert_eq!(when_shrunk, None);
    assert_eq!(when_covered, Some((1, address(0))));
}

/// One bundle adds replica 3, the next takes it out before the record names it. Guards against a proxy that
/// starts then and does not know of replica 3, which may alone have a commit.
#[test]
fn record_lacks_a_server_until_it_is_written_again() {
    let now = Instant::now();
    let grown = group(&[(0, 10), (1, 10), (2, 10), (3, 12)], &[0, 1, 2], now);
    let shrunk = group(&[(0, 12), (1, 10), (2, 10)], &[0, 1, 2], now);
    let written = group(&[(0, 12), (1, 10), (2, 10)], &[0, 1, 2, 3], now);
    let mut counted = Counted::new(now);

    counted.update(&grown, now);
    counted.update(&shrunk, now);
    let outdated = counted.outdates(&shrunk);

    assert_eq!(outdated, Some((1, address(0))));
    assert!(counted.is_missing_in(&shrunk));
    assert!(!counted.is_missing_in(&written));
}

/// Replica 2 was taken out and still hears from the primary. Guards against forgetting it.
#[test]
fn server_taken_out_counts_while_it_receives() {
    let start = Instant::now();
    let later = start + LIST_VALIDITY + Duration::from_secs(1);
    let taken_out = |now| {
        let mut group = group(&[(0, 10), (1, 10), (2, 10)], &[0, 1, 2], now);
        group.servers[2].listed = false;
        group
    };
    let mut counted = Counted::new(start);

    counted.update(&taken_out(start), start);
    counted.update(&taken_out(later), later);
    counted.update(&taken_out(later), later);

    assert_eq!(counted.quorum(SYNC_REPLICAS), Some(2));
}

/// A group is new and its record is not written yet. Guards against commits of which a proxy that starts
/// later, with a shorter list, cannot know that they are on a server that was taken out.
#[test]
fn primary_is_not_used_before_the_group_is_recorded() {
    let now = Instant::now();
    let recorded = Group {
        watched: true,
        ..group(&[(0, 10), (1, 10), (2, 10)], &[0, 1, 2], now)
    };
    let new = Group {
        held: None,
        ..recorded.clone()
    };

    assert_eq!(
        (recorded.primary(now), recorded.leader(now)),
        (Some(0), Some(0))
    );
    assert_eq!((new.primary(now), new.leader(now)), (None, Some(0)));
}

/// The KV came back from a copy whose record is from before replica 3 was added; by now it has been taken
/// out again. Guards against taking the older record for word that the others have its commits.
#[test]
fn record_of_a_copy_covers_nothing() {
    let now = Instant::now();
    let shrunk = group(&[(0, 12), (1, 10), (2, 10)], &[0, 1, 2, 3], now);
    let mut restored = group(&[(0, 12), (1, 10), (2, 10)], &[0, 1, 2], now);
    if let Some(held) = &mut restored.held {
        held.revision = era::stamp(1, 5);
    }
    let mut counted = Counted::new(now);

    counted.update(&shrunk, now);
    counted.update(&restored, now);

    assert_eq!(counted.quorum(SYNC_REPLICAS), Some(3));
    assert!(counted.is_missing_in(&restored));
}

//! Which servers count for the promotion quorum when servers are added or removed.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use dandelionpitch_core::{era, position::Position, primary::Record};
use dandelionpitch_engine::roster::LIST_VALIDITY;
use dandelionpitch_proxy::{
    config::Config,
    control::voters::Voters,
    pool,
    view::{Group, Role, Server, Status, StatusCell, StoredRecord},
};

const SYNC_REPLICAS: usize = 1;

fn address(index: u16) -> SocketAddr {
    ([127, 0, 0, 1], 5000 + index).into()
}

fn server(index: u16, lsn: u64, read_at: Instant) -> Server {
    let config = Config::load(None).expect("the embedded settings");
    let status = StatusCell::default();
    status.set(Some(Status {
        role: match index {
            0 => Role::Primary,
            _ => Role::Replica,
        },
        term: 1,
        log_id: 0,
        position: Position { term: 1, lsn },
        lag: Duration::ZERO,
        silence: Duration::ZERO,
        read_at,
    }));
    Server {
        address: address(index),
        pool: pool::build(address(index), "ledger", 1, &config),
        status,
        leaving: false,
        listed: true,
        cooldown: Default::default(),
        superseded: Default::default(),
    }
}

/// A group that lists these servers, each with its last log position; server 0 is the primary.
fn group(logs: &[(u16, u64)], members: &[u16], now: Instant) -> Group {
    let record = Record {
        term: 1,
        server: Some(address(0)),
        claimant: "proxy-1".to_owned(),
        members: members.iter().copied().map(address).collect(),
    };
    Group {
        servers: logs.iter().map(|&(i, lsn)| server(i, lsn, now)).collect(),
        status_ttl: Duration::from_secs(1),
        stored: Some(StoredRecord {
            record,
            revision: 7,
            seen_at: now,
            lost_in_restore: false,
        }),
        ..Group::default()
    }
}

/// Guards against losing commits that only a removed replica has: it counts until the remaining
/// replica, which lags, has caught up.
#[test]
fn removed_server_counts_until_others_have_its_commits() {
    let start = Instant::now();
    let later = start + LIST_VALIDITY + Duration::from_secs(1);
    let mut voters = Voters::new(start);
    voters.update(
        &group(&[(0, 10), (1, 5), (2, 10)], &[0, 1, 2], start),
        SYNC_REPLICAS,
        start,
    );

    let removed = start + Duration::from_millis(25);
    voters.update(
        &group(&[(0, 10), (1, 5)], &[0, 1, 2], removed),
        SYNC_REPLICAS,
        removed,
    );
    let while_behind = voters.quorum(SYNC_REPLICAS);
    voters.update(
        &group(&[(0, 10), (1, 5)], &[0, 1, 2], later),
        SYNC_REPLICAS,
        later,
    );
    let still_behind = voters.quorum(SYNC_REPLICAS);
    voters.update(
        &group(&[(0, 10), (1, 10)], &[0, 1, 2], later),
        SYNC_REPLICAS,
        later,
    );
    let caught_up = voters.quorum(SYNC_REPLICAS);

    assert_eq!(while_behind, Some(2));
    assert_eq!(still_behind, Some(2));
    assert_eq!(caught_up, Some(1));
}

/// Guards against a proxy that starts after a replica was removed, and ignores the replica although
/// the record names it.
#[test]
fn new_proxy_counts_removed_server_named_in_record() {
    let now = Instant::now();
    let mut voters = Voters::new(now);

    voters.update(
        &group(&[(0, 10), (1, 5)], &[0, 1, 2], now),
        SYNC_REPLICAS,
        now,
    );

    assert_eq!(voters.quorum(SYNC_REPLICAS), Some(2));
}

/// Guards against a record that lacks a listed server or names one that no longer counts. It is not
/// rewritten while a removed server still counts.
#[test]
fn record_is_outdated_when_voters_change() {
    let now = Instant::now();
    let later = now + LIST_VALIDITY + Duration::from_secs(1);
    let grown = group(&[(0, 10), (1, 10), (2, 10)], &[0, 1], now);
    let shrunk = group(&[(0, 10), (1, 10)], &[0, 1, 2], now);
    let covered = group(&[(0, 10), (1, 10)], &[0, 1, 2], later);
    let mut voters = Voters::new(now);

    voters.update(&grown, SYNC_REPLICAS, now);
    let when_grown = voters.outdated_record(&grown);
    voters.update(&shrunk, SYNC_REPLICAS, now);
    let when_shrunk = voters.outdated_record(&shrunk);
    voters.update(&covered, SYNC_REPLICAS, later);
    let when_covered = voters.outdated_record(&covered);

    assert_eq!(when_grown, Some((1, address(0))));
    assert_eq!(when_shrunk, None);
    assert_eq!(when_covered, Some((1, address(0))));
}

/// One bundle adds replica 3, the next removes it before the record names it. Guards against a
/// proxy that starts then and does not know of replica 3, which may be the only replica with a
/// commit.
#[test]
fn record_lacks_added_server_until_rewritten() {
    let now = Instant::now();
    let grown = group(&[(0, 10), (1, 10), (2, 10), (3, 12)], &[0, 1, 2], now);
    let shrunk = group(&[(0, 12), (1, 10), (2, 10)], &[0, 1, 2], now);
    let written = group(&[(0, 12), (1, 10), (2, 10)], &[0, 1, 2, 3], now);
    let mut voters = Voters::new(now);

    voters.update(&grown, SYNC_REPLICAS, now);
    voters.update(&shrunk, SYNC_REPLICAS, now);
    let outdated = voters.outdated_record(&shrunk);

    assert_eq!(outdated, Some((1, address(0))));
    assert!(voters.record_lacks_voter(&shrunk));
    assert!(!voters.record_lacks_voter(&written));
}

/// Guards against ignoring a removed replica that still hears from the primary.
#[test]
fn removed_server_counts_while_it_hears_from_primary() {
    let start = Instant::now();
    let later = start + LIST_VALIDITY + Duration::from_secs(1);
    let removed = |now| {
        let mut group = group(&[(0, 10), (1, 10), (2, 10)], &[0, 1, 2], now);
        group.servers[2].listed = false;
        group
    };
    let mut voters = Voters::new(start);

    voters.update(&removed(start), SYNC_REPLICAS, start);
    voters.update(&removed(later), SYNC_REPLICAS, later);
    voters.update(&removed(later), SYNC_REPLICAS, later);

    assert_eq!(voters.quorum(SYNC_REPLICAS), Some(2));
}

/// Guards against commits before a new group has a record: if a server with such a commit is removed,
/// a proxy that starts later does not know of it.
#[test]
fn primary_is_not_used_before_group_has_record() {
    let now = Instant::now();
    let recorded = Group {
        watched: true,
        ..group(&[(0, 10), (1, 10), (2, 10)], &[0, 1, 2], now)
    };
    let new = Group {
        stored: None,
        ..recorded.clone()
    };

    assert_eq!(
        (recorded.primary(now), recorded.leader(now)),
        (Some(0), Some(0))
    );
    assert_eq!((new.primary(now), new.leader(now)), (None, Some(0)));
}

/// The KV is restored from a backup whose record was written before replica 3 was added. Guards
/// against reading its absence from that record as proof that the others have its commits.
#[test]
fn record_from_backup_removes_no_voter() {
    let now = Instant::now();
    let shrunk = group(&[(0, 12), (1, 10), (2, 10)], &[0, 1, 2, 3], now);
    let mut restored = group(&[(0, 12), (1, 10), (2, 10)], &[0, 1, 2], now);
    if let Some(stored) = &mut restored.stored {
        stored.revision = era::stamp(1, 5);
    }
    let mut voters = Voters::new(now);

    voters.update(&shrunk, SYNC_REPLICAS, now);
    voters.update(&restored, SYNC_REPLICAS, now);

    assert_eq!(voters.quorum(SYNC_REPLICAS), Some(3));
    assert!(voters.record_lacks_voter(&restored));
}

/// Replica 2, the only one with a commit, restarts empty, and the record is written again for another
/// reason. Guards against taking that record, which names addresses, as proof that the others have the
/// commit.
#[test]
fn rewritten_record_does_not_cover_an_earlier_incarnation() {
    let now = Instant::now();
    let before = group(&[(0, 12), (1, 10), (2, 12)], &[0, 1, 2], now);
    let restarted = with_new_log(group(&[(0, 12), (1, 10), (2, 1)], &[0, 1, 2], now));
    let mut rewritten = with_new_log(group(&[(0, 12), (1, 10), (2, 1)], &[0, 1, 2], now));
    if let Some(stored) = &mut rewritten.stored {
        stored.revision += 1;
    }
    let mut voters = Voters::new(now);

    voters.update(&before, SYNC_REPLICAS, now);
    voters.update(&restarted, SYNC_REPLICAS, now);
    let when_restarted = voters.quorum(SYNC_REPLICAS);
    voters.update(&rewritten, SYNC_REPLICAS, now);

    assert_eq!(when_restarted, Some(3));
    assert_eq!(voters.quorum(SYNC_REPLICAS), Some(3));
}

/// The group with another log on server 2.
fn with_new_log(group: Group) -> Group {
    let cell = &group.servers[2].status;
    cell.set(cell.get().map(|status| Status {
        log_id: 1,
        ..status
    }));
    group
}

/// Guards against leaving a server out of the quorum as the failed primary although it has restarted
/// empty since: if two servers do so, no quorum is left.
#[test]
fn restarted_primary_is_no_suspect() {
    let now = Instant::now();
    let led = group(&[(0, 12), (1, 12), (2, 12)], &[0, 1, 2], now);
    let restarted = group(&[(0, 12), (1, 12), (2, 12)], &[0, 1, 2], now);
    let cell = &restarted.servers[0].status;
    cell.set(cell.get().map(|status| Status {
        role: Role::Replica,
        log_id: 1,
        ..status
    }));
    let mut voters = Voters::new(now);

    voters.update(&led, SYNC_REPLICAS, now);
    let before = voters.has_restarted_empty(address(0));
    voters.update(&restarted, SYNC_REPLICAS, now);

    assert!(!before);
    assert!(voters.has_restarted_empty(address(0)));
}

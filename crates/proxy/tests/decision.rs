//! When a primary counts as failed or superseded, given the statuses and the record.

use std::time::{Duration, Instant};

use dandelionpitch_core::{position::Position, primary::Record};
use dandelionpitch_proxy::{
    config::Config,
    control::decision::{choose, evaluate, Candidate, Decision, Limits},
    pool,
    view::{Group, Role, Server, Status, StatusCell, StoredRecord},
};
use yare::parameterized;

const LIMITS: Limits = Limits {
    quorum: 2,
    max_silence: Duration::from_millis(300),
    grace: Duration::from_millis(400),
};
const LONG_AGO: Duration = Duration::from_secs(60);
/// The address of the first server of a group.
const SERVER_0: ([u8; 4], u16) = ([127, 0, 0, 1], 5000);

/// A status read now from a server that last heard from a primary `silent_ms` ago.
fn status(role: Role, term: u64, silent_ms: u64) -> Option<Status> {
    Some(Status {
        role,
        term,
        log_id: 0,
        position: Position { term, lsn: 10 },
        lag: Duration::ZERO,
        silence: Duration::from_millis(silent_ms),
        read_at: Instant::now(),
    })
}

/// A group of servers with these statuses and, if any, this primary record.
fn group(statuses: [Option<Status>; 3], stored: Option<StoredRecord>) -> Group {
    let config = Config::load(None).expect("the embedded settings");
    let server = |(index, status)| {
        let address = ([127, 0, 0, 1], 5000 + index as u16).into();
        let latest = StatusCell::default();
        latest.set(status);
        Server {
            address,
            pool: pool::build(address, "ledger", 1, &config),
            status: latest,
            leaving: false,
            listed: true,
            cooldown: Default::default(),
            superseded: Default::default(),
        }
    };
    Group {
        servers: statuses.into_iter().enumerate().map(server).collect(),
        status_ttl: Duration::from_secs(1),
        claim_limit: Duration::from_secs(2),
        stored,
        unreadable: false,
        watched: true,
        discovery: Default::default(),
    }
}

fn stored(term: u64, server: Option<u16>, seen: Duration) -> Option<StoredRecord> {
    Some(StoredRecord {
        record: Record {
            term,
            server: server.map(|index| ([127, 0, 0, 1], 5000 + index).into()),
            claimant: "proxy-1".to_owned(),
            members: Vec::new(),
        },
        revision: 7,
        seen_at: Instant::now() - seen,
        lost_in_restore: false,
    })
}

/// Whether the primary, first seen `led` ago, counts as failed.
fn failed(statuses: [Option<Status>; 3], stored: Option<StoredRecord>, led: Duration) -> bool {
    let now = Instant::now();
    let leader_since = now.checked_sub(led);
    evaluate(&group(statuses, stored), leader_since, LIMITS, now) == Decision::Failed
}

/// Guards against replacing a healthy primary that only this proxy, or this proxy and a single
/// replica, cannot reach.
#[parameterized(
    both_replicas_silent = { 400, 400, true },
    one_replica_silent = { 400, 5, false },
    no_replica_silent = { 5, 5, false },
    below_timeout = { 250, 250, false },
)]
fn unreachable_primary_fails_by_quorum(first: u64, second: u64, expected: bool) {
    let statuses = [
        None,
        status(Role::Replica, 1, first),
        status(Role::Replica, 1, second),
    ];

    assert_eq!(failed(statuses, None, LONG_AGO), expected);
}

/// Guards against keeping a primary that answers this proxy but cannot commit, as no replica hears
/// from it.
#[test]
fn primary_without_replicas_has_failed() {
    let statuses = [
        status(Role::Primary, 1, 0),
        status(Role::Replica, 1, 400),
        status(Role::Replica, 1, 400),
    ];

    assert!(failed(statuses, None, LONG_AGO));
}

/// Guards against replacing a new primary because of statuses read before its promotion, which
/// report the silence of the old one.
#[parameterized(
    just_seen = { Duration::from_millis(20), LONG_AGO },
    just_recorded = { LONG_AGO, Duration::from_millis(20) },
)]
fn new_primary_is_kept_during_grace_period(led: Duration, recorded: Duration) {
    let statuses = [
        status(Role::Replica, 2, 700),
        status(Role::Primary, 2, 0),
        status(Role::Replica, 2, 400),
    ];

    assert!(!failed(statuses, stored(2, Some(1), recorded), led));
}

/// Server 0 has been partitioned since before server 1 was promoted. Guards against replacing the new
/// primary because the only other replica is late once.
#[parameterized(
    late = { 400, false },
    partitioned_as_well = { 700, true },
)]
fn partitioned_server_does_not_confirm_a_failure(silent_ms: u64, expected: bool) {
    let led = Duration::from_secs(5);
    let statuses = [
        status(Role::Replica, 2, 60_000),
        status(Role::Primary, 2, 0),
        status(Role::Replica, 2, silent_ms),
    ];

    assert_eq!(failed(statuses, stored(2, Some(1), led), led), expected);
}

/// Guards against replacing a new primary because of a status requested before its promotion, while
/// later requests are slow to be answered.
#[test]
fn status_from_before_the_promotion_does_not_count() {
    let led = Duration::from_millis(700);
    let earlier = |silent_ms| {
        let status = status(Role::Replica, 1, silent_ms)?;
        let read_at = status.read_at.checked_sub(led)?;
        Some(Status { read_at, ..status })
    };
    let statuses = [earlier(350), status(Role::Primary, 2, 0), earlier(350)];

    assert!(!failed(statuses, stored(2, Some(1), led), led));
}

/// Guards against waiting for the status of a server whose promotion is already recorded: a request
/// that was in progress may take until its timeout.
#[parameterized(
    asked_before = { Duration::from_millis(200), Some(1) },
    asked_since = { Duration::ZERO, None },
)]
fn promoted_server_leads_once_it_is_recorded(asked_ago: Duration, expected: Option<usize>) {
    let recorded_ago = Duration::from_millis(100);
    let replica = || status(Role::Replica, 2, 500);
    let group = group(
        [None, replica(), replica()],
        stored(2, Some(1), recorded_ago),
    );
    let now = Instant::now();
    let asked_at = now.checked_sub(asked_ago).expect("a moment ago");
    group.servers[1].status.set_failed(asked_at);

    assert_eq!(group.primary(now), expected);
}

/// Guards against interfering with the failover of another proxy before its claim has expired.
#[parameterized(
    fresh_claim = { Duration::from_millis(500), false },
    expired_claim = { Duration::from_secs(3), true },
)]
fn claim_blocks_failover_until_expired(seen: Duration, expected: bool) {
    let statuses = [
        None,
        status(Role::Replica, 1, 900),
        status(Role::Replica, 2, 900),
    ];

    assert_eq!(failed(statuses, stored(2, None, seen), LONG_AGO), expected);
}

/// Guards against a term that two proxies claim: a proxy may continue after its claim has expired, so
/// an earlier term must not be recorded over the claim.
#[parameterized(
    claim_above_its_term = { 2, 1, Decision::StaleTerm },
    claim_of_its_term = { 2, 2, Decision::Unrecorded { term: 2, server: SERVER_0.into() } },
)]
fn expired_claim_is_superseded_by_later_term(claimed: u64, led: u64, expected: Decision) {
    let statuses = [
        status(Role::Primary, led, 0),
        status(Role::Replica, led, 5),
        status(Role::Replica, led, 5),
    ];
    let group = group(statuses, stored(claimed, None, LONG_AGO));
    let now = Instant::now();

    let decision = evaluate(&group, now.checked_sub(LONG_AGO), LIMITS, now);

    assert_eq!(decision, expected);
}

/// The primary failed before any replica had received an entry of its term. Guards against promoting a
/// server that has been partitioned since an earlier failover, and against losing an entry that only
/// such a server has received.
#[parameterized(
    equal_logs = { 10, 1 },
    longer_log = { 11, 0 },
)]
fn partitioned_server_is_promoted_only_for_its_log(partitioned_lsn: u64, expected: usize) {
    let now = Instant::now();
    let candidate = |index: u16, lsn, silence| Candidate {
        server: ([127, 0, 0, 1], 5000 - index).into(),
        received: Position { term: 1, lsn },
        leaving: false,
        last_contact: now.checked_sub(silence),
    };
    let candidates = [
        candidate(0, partitioned_lsn, LONG_AGO),
        candidate(1, 10, Duration::from_millis(400)),
    ];

    assert_eq!(choose(&candidates), Some(expected));
}

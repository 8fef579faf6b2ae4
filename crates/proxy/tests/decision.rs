//! Whether a primary counts as failed, from statuses alone.

use std::time::{Duration, Instant};

use dandelionpitch_core::{position::Position, primary::Record};
use dandelionpitch_proxy::{
    config::Config,
    control::decision::{evaluate, Decision, Limits},
    pool,
    view::{Group, Role, Server, Status, StatusCell, StoredRecord},
};
use yare::parameterized;

const LIMITS: Limits = Limits {
    quorum: 2,
    after: Duration::from_millis(300),
    grace: Duration::from_millis(400),
};
const LONG_AGO: Duration = Duration::from_secs(60);
/// The address of the first server of a group.
const SERVER_0: ([u8; 4], u16) = ([127, 0, 0, 1], 5000);

/// A status read now; `silent_ms` is how long the server has not heard from a primary.
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

/// A group of servers with these statuses, and the record of its primary, if any.
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

/// Whether the group counts as failed, led by its primary for `led`.
fn failed(statuses: [Option<Status>; 3], stored: Option<StoredRecord>, led: Duration) -> bool {
    let now = Instant::now();
    let led_since = now.checked_sub(led);
    evaluate(&group(statuses, stored), led_since, LIMITS, now) == Decision::Failed
}

/// The primary is out of this proxy's sight. It has failed if both replicas miss it; one
/// replica's silence, or none, may be that replica's or this proxy's own trouble.
#[parameterized(
    both_miss_it = { 400, 400, true },
    one_misses_it = { 400, 5, false },
    only_we_miss_it = { 5, 5, false },
    not_yet = { 250, 250, false },
)]
fn primary_out_of_sight(first: u64, second: u64, expected: bool) {
    let statuses = [
        None,
        status(Role::Replica, 1, first),
        status(Role::Replica, 1, second),
    ];

    assert_eq!(failed(statuses, None, LONG_AGO), expected);
}

/// The primary answers us, but no replica hears from it, so it can commit nothing.
#[test]
fn primary_without_replicas_has_failed() {
    let statuses = [
        status(Role::Primary, 1, 0),
        status(Role::Replica, 1, 400),
        status(Role::Replica, 1, 400),
    ];

    assert!(failed(statuses, None, LONG_AGO));
}

/// Server 1 was promoted a moment ago. The other statuses are from before and still tell of
/// the old primary's silence; taken at their word they would get the new primary replaced in
/// turn, and members would wait through a second gap for nothing.
#[parameterized(
    just_seen = { Duration::from_millis(20), LONG_AGO },
    just_recorded = { LONG_AGO, Duration::from_millis(20) },
)]
fn new_primary_is_given_time(led: Duration, recorded: Duration) {
    let statuses = [
        status(Role::Replica, 2, 700),
        status(Role::Primary, 2, 0),
        status(Role::Replica, 2, 400),
    ];

    assert!(!failed(statuses, stored(2, Some(1), recorded), led));
}

/// Another proxy claimed the next term. It is left to it until the claim has had its time.
#[parameterized(
    fresh_claim = { Duration::from_millis(500), false },
    lapsed_claim = { Duration::from_secs(3), true },
)]
fn claim_is_left_its_time(seen: Duration, expected: bool) {
    let statuses = [
        None,
        status(Role::Replica, 1, 900),
        status(Role::Replica, 2, 900),
    ];

    assert_eq!(failed(statuses, stored(2, None, seen), LONG_AGO), expected);
}

/// A proxy claimed a term and stopped before a server heard of it; the primary goes on at an
/// earlier one. Its claim may still take effect, so it is passed over with a later term. To record
/// the primary's own term would hand out the claimed one a second time.
#[parameterized(
    claim_above_its_term = { 2, 1, Decision::StaleTerm },
    claim_of_its_term = { 2, 2, Decision::Unrecorded { term: 2, server: SERVER_0.into() } },
)]
fn lapsed_claim_is_passed_over(claimed: u64, led: u64, expected: Decision) {
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

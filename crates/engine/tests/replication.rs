//! When replicas are expected to have a position. Each test guards against one way in which a wrong
//! estimate could cost more than a single refused attempt.

use std::time::Duration;

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    freshness::{Watermark, Watermarks},
    replication::{self, Change, Expectation, Replica, Turn},
    time::Moment,
};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(time: u64) -> Moment {
    Moment::from_boot(millis(100_000 + time))
}

fn position(lsn: u64) -> Position {
    Position { term: 1, lsn }
}

/// A replica that reported these positions at these times.
fn replica(seen: &[(u64, u64)]) -> Replica {
    let mut replica = Replica::default();
    for (time, lsn) in seen {
        replica.note(position(*lsn), at(*time), at(*time));
    }
    replica
}

/// A replica that applied 100 entries a second up to entry 60.
fn applying() -> Replica {
    replica(&[(0, 10), (250, 35), (500, 60)])
}

/// A replica that applied nothing for half a second.
fn stalled() -> Replica {
    replica(&[(0, 60), (250, 60), (500, 60)])
}

#[test]
fn position_is_expected_at_the_rate_of_progress() {
    let replica = applying();

    assert_eq!(replica.expected_at(position(60), at(510)), Expectation::Now);
    assert_eq!(
        replica.expected_at(position(70), at(510)),
        Expectation::At(at(600))
    );
    assert_eq!(replica.turn(position(70), at(510)), Turn::Wait(at(600)));
}

/// Guards against waiting for a replica that receives nothing.
#[test]
fn replica_without_progress_is_not_waited_for() {
    let replica = stalled();

    assert_eq!(replica.turn(position(61), at(510)), Turn::Skip);
    let expected = replica.expected_at(position(61), at(510));
    assert_eq!(
        replication::retry_after([expected].into_iter(), at(510)),
        None
    );
}

/// Guards against sending all waiting reads to a replica that is wrongly expected to have caught up.
#[test]
fn wrong_estimate_costs_one_attempt_at_a_time() {
    let mut replica = applying();
    assert_eq!(replica.turn(position(70), at(600)), Turn::Probe);

    replica.set_probed(true);
    let others = replica.turn(position(70), at(600));
    replica.note(position(60), at(600), at(604));
    replica.note_read(position(70), Some(position(60)), true, at(604));
    replica.set_probed(false);

    assert_eq!(others, Turn::AfterProbe);
    assert!(matches!(replica.turn(position(70), at(604)), Turn::Wait(_)));
}

/// Guards against a replica that caught up getting no reads: none would show that it has.
#[test]
fn replica_that_catches_up_gets_reads_again() {
    let mut replica = stalled();
    assert_eq!(replica.turn(position(90), at(999)), Turn::Skip);
    assert_eq!(replica.turn(position(90), at(1_000)), Turn::Probe);

    replica.note(position(95), at(1_000), at(1_004));

    assert_eq!(replica.turn(position(95), at(1_005)), Turn::Send);
}

/// Guards against relying on the progress of an earlier term, which says nothing about the new one.
#[test]
fn later_term_drops_the_estimate() {
    let promoted = Position { term: 2, lsn: 61 };
    let mut told_by_status = applying();
    let mut told_by_answer = applying();
    let unaware = applying();

    told_by_status.note_term(2, at(510));
    told_by_answer.note(Position { term: 2, lsn: 60 }, at(510), at(512));

    assert_eq!(unaware.turn(promoted, at(510)), Turn::Skip);
    assert_eq!(
        told_by_status.expected_at(promoted, at(512)),
        Expectation::Unknown
    );
    assert_eq!(
        told_by_answer.expected_at(promoted, at(512)),
        Expectation::NotInSight
    );
}

/// Guards against reads to a server that restarted without its log, or was replaced.
#[test]
fn other_incarnation_drops_the_estimate() {
    let mut restarted = applying();
    let mut replaced = applying();

    restarted.note(position(5), at(510), at(512));
    replaced.forget();

    assert_eq!(restarted.turn(position(60), at(512)), Turn::Skip);
    assert_eq!(
        replaced.expected_at(position(60), at(512)),
        Expectation::Unknown
    );
}

/// Guards against dropping the estimate because the answers to overlapping requests are reordered.
#[test]
fn overtaken_answer_is_ignored() {
    let mut replica = applying();

    replica.note(position(58), at(498), at(501));

    assert_eq!(replica.turn(position(60), at(502)), Turn::Send);
}

/// Guards against endless refusals by a server that reports positions which it has not applied.
#[test]
fn refusal_counts_more_than_the_reported_position() {
    let mut replica = applying();

    replica.note_read(position(60), Some(position(60)), true, at(510));
    let soon = replica.turn(position(60), at(520));
    let later = replica.turn(position(60), at(1_010));
    replica.note_read(position(60), Some(position(60)), false, at(1_012));

    assert_eq!((soon, later), (Turn::Skip, Turn::Probe));
    assert_eq!(replica.turn(position(60), at(1_013)), Turn::Send);
}

/// Guards against times to come back at which the caller's deadline has passed, or that are too soon.
#[test]
fn retry_after_is_bounded() {
    let wait = |lsn| {
        let expected = applying().expected_at(position(lsn), at(510));
        replication::retry_after([expected].into_iter(), at(510))
    };

    assert_eq!(wait(61), Some(millis(50)));
    assert_eq!(wait(90), Some(millis(290)));
    assert_eq!(wait(400), Some(millis(1_000)));
}

/// Guards against a log line for each answer of a replica whose lag is close to the limit.
#[test]
fn changes_of_lag_are_reported_once() {
    let mut marks = Watermarks::default();
    for time in (0..=4_000).step_by(100) {
        let (asked, position) = (at(time), position(time));
        marks.note(Watermark { asked, position });
    }
    let delays =
        [3_500, 2_900, 3_100, 3_600, 3_400].map(|lsn| marks.delay(position(lsn), at(4_000)));
    let mut replica = Replica::default();

    let changes = delays.map(|delay| replica.note_delay(delay));

    let (behind, caught_up) = (Some(Change::FellBehind), Some(Change::CaughtUp));
    assert_eq!(changes, [None, behind, None, caught_up, None]);
}

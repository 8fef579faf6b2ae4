//! Circuit breakers of owners that cannot reach the servers of a group.

use std::time::Duration;

use dandelionpitch_engine::{
    breaker::{Breaker, Need},
    catalog::Consistency,
    session::Effect,
    time::Moment,
};

fn at(millis: u64) -> Moment {
    Moment::from_boot(Duration::from_millis(100_000 + millis))
}

/// A partition separates one of two owners from the servers for 4 s, and 100 statements a second arrive at it
/// that would each search for 150 ms. Guards against statements that use up their time there: without a
/// breaker that is all 400 of them.
#[test]
fn few_statements_are_tried_at_an_owner_that_reaches_no_server() {
    let mut breaker = Breaker::default();
    let mut tried = 0;

    for millis in (0..4_000).step_by(10) {
        if breaker.admit(at(millis)) {
            tried += 1;
            breaker.note_none_found(at(millis));
        }
    }

    assert!(tried <= 3 + 4_000 / 150, "{tried} statements were tried");
}

/// Guards against an owner that stays out of use after the partition ends.
#[test]
fn breaker_closes_with_the_first_statement_that_finds_a_server() {
    let mut breaker = Breaker::default();
    let opened: Vec<bool> = (0..4).map(|_| breaker.note_none_found(at(0))).collect();

    let early = breaker.admit(at(100));
    let probe = breaker.admit(at(150));
    let second_probe = breaker.admit(at(160));
    let closed = breaker.note_found();

    assert_eq!(opened, [false, false, true, false]);
    assert!(!early && probe && !second_probe && closed);
    assert!(breaker.admit(at(161)) && breaker.admit(at(162)));
}

/// Replicas serve reads while there is no primary. Guards against writes that keep reads from being tried.
#[test]
fn reads_and_writes_have_breakers_of_their_own() {
    let bounded = Consistency::Bounded(Duration::from_secs(1));

    let needs = [
        Need::new(Effect::Write, bounded),
        Need::new(Effect::Read, Consistency::Latest),
        Need::new(Effect::Read, bounded),
    ];

    assert_eq!(needs, [Need::Write, Need::LatestRead, Need::StaleRead]);
}

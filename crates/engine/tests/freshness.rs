//! What reads must see: marks of the primary's log, and the lease that proves who leads.

use std::time::Duration;

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    freshness::{self, Lease, Poll, Relation, Watermark, Watermarks, LEADER_LEASE, PROMOTION_WAIT},
    registry::Role,
    takeover::Status,
    time::Moment,
};
use yare::parameterized;

fn at(millis: u64) -> Moment {
    Moment::from_boot(Duration::from_millis(100_000 + millis))
}

fn position(term: u64, lsn: u64) -> Position {
    Position { term, lsn }
}

fn mark(millis: u64, term: u64, lsn: u64) -> Watermark {
    Watermark {
        asked: at(millis),
        position: position(term, lsn),
    }
}

/// A group of three: two members besides the primary, one synchronous replica.
fn poll(millis: u64, followers: usize) -> Poll {
    Poll {
        answered: at(millis),
        unregistered: 0,
        asked: at(millis),
        followers,
        others: 2,
        sync_replicas: 1,
    }
}

fn status(role: Role, term: u64, held: u64) -> Status {
    Status {
        role,
        term,
        received: position(term, 10),
        held,
    }
}

/// A read may miss what was acknowledged within its allowance: the lowest position asked for since
/// then is enough, and lets more replicas serve it.
#[test]
fn floor_is_the_oldest_mark_within_the_allowance() {
    let mut marks = Watermarks::default();
    for (millis, lsn) in [(0, 10), (100, 20), (200, 30)] {
        marks.note(mark(millis, 1, lsn));
    }

    let floors = [0, 50, 150, 201].map(|since| marks.floor(at(since)));

    let lsns = floors.map(|floor| floor.map(|mark| mark.position.lsn));
    assert_eq!(lsns, [Some(10), Some(20), Some(30), None]);
}

/// The primary's log ends in entries that nobody acknowledged, another server is promoted, and they
/// are rolled back: a read that waits for them would be refused everywhere for good.
#[test]
fn marks_of_an_earlier_term_are_dropped() {
    let mut marks = Watermarks::default();
    marks.note(mark(0, 1, 500));
    marks.note(mark(100, 2, 450));

    let floor = marks.floor(at(0));

    assert_eq!(floor, Some(mark(100, 2, 450)));
}

/// The old primary answers late, after marks of the new term are known.
#[test]
fn mark_of_an_old_term_changes_nothing() {
    let mut marks = Watermarks::default();
    marks.note(mark(0, 2, 450));
    marks.note(mark(100, 1, 600));

    assert_eq!(marks.newest(), Some(mark(0, 2, 450)));
}

/// A session has committed beyond what its allowance asks for: it must see its own commit.
#[test]
fn own_commit_raises_the_floor() {
    let mut marks = Watermarks::default();
    marks.note(mark(0, 1, 10));

    let required = freshness::required(at(0), &marks, Some(position(1, 40)));

    assert_eq!(required, Some(position(1, 40)));
}

/// A primary is replaced. At that moment the hold on its replicas ends, and one of them has not
/// heard of the new primary: it looks as if it obeyed the old one. The proxy has not asked for a
/// while, the other replica (the new primary) is out of its reach. A lease on that one word would
/// let reads miss what the new primary acknowledges next.
#[test]
fn one_word_after_a_pause_grants_no_lease() {
    let mut lease = Lease::default();
    lease.confirm(poll(0, 2));
    let promoted = PROMOTION_WAIT.as_millis() as u64 + 100;

    lease.confirm(poll(promoted, 1));

    assert!(
        lease.covers(at(promoted)),
        "a read that came before the question"
    );
    assert!(!lease.covers(at(promoted + 1)), "a read that came after it");
}

/// A promoter holds the replicas for longer than the wait before it calls for the promotion, so one
/// replica that is not held, asked within that time of the last proof, is proof enough.
#[test]
fn one_word_within_the_wait_renews_the_lease() {
    let mut lease = Lease::default();
    lease.confirm(poll(0, 2));
    let again = PROMOTION_WAIT.as_millis() as u64 - 1;

    lease.confirm(poll(again, 1));

    let last = again + LEADER_LEASE.as_millis() as u64;
    assert!(lease.covers(at(last)));
    assert!(!lease.covers(at(last + 1)));
}

/// A VM is suspended with a valid lease and wakes after another server was promoted.
#[test]
fn lease_does_not_outlive_a_suspension() {
    let mut lease = Lease::default();
    lease.confirm(poll(0, 2));

    assert!(lease.covers(at(100)));
    assert!(!lease.covers(at(4_100)));
    assert!(!lease.is_renewable(at(4_100)));
}

/// Without synchronous replicas a new primary acknowledges commits alone, so nothing but the word
/// of all others proves anything.
#[test]
fn without_synchronous_replicas_all_must_speak() {
    let mut lease = Lease::default();

    lease.confirm(Poll {
        unregistered: 0,
        sync_replicas: 0,
        ..poll(0, 1)
    });

    assert!(!lease.covers(at(0)));
}

/// A lease shorter than the promoter's wait is what the proof rests on.
#[test]
fn promoter_waits_longer_than_a_lease() {
    assert!(PROMOTION_WAIT > LEADER_LEASE);
}

#[parameterized(
    follower = { Role::Replica, 3, 0, Relation::Follows },
    held_for_a_later_term = { Role::Replica, 3, 4, Relation::Supersedes },
    follower_of_a_later_primary = { Role::Replica, 4, 0, Relation::Supersedes },
    later_primary = { Role::Primary, 4, 0, Relation::Supersedes },
    back_from_a_cut_in_an_old_term = { Role::Replica, 2, 0, Relation::Unrelated },
    old_primary_back_from_a_cut = { Role::Primary, 2, 0, Relation::Unrelated },
)]
fn word_of_a_server_about_the_primary_of_term_3(
    role: Role,
    term: u64,
    held: u64,
    expected: Relation,
) {
    assert_eq!(freshness::relation(&status(role, term, held), 3), expected);
}

/// A commit was acknowledged, and then a server says how far its log goes. In a later term the same
/// number, or a higher one, may be another's commit.
#[parameterized(
    has_it = { 3, 40, true },
    has_more = { 3, 41, true },
    has_less = { 3, 39, false },
    follows_a_later_primary = { 4, 50, false },
    back_from_an_old_term = { 2, 60, false },
)]
fn server_has_the_commit_40_of_term_3(term: u64, lsn: u64, expected: bool) {
    let received = Position { term, lsn };

    assert_eq!(freshness::has_commit(received, position(3, 40)), expected);
}

fn lsns(lsns: &[u64]) -> Vec<Position> {
    let position = |lsn: &u64| Position { term: 3, lsn: *lsn };
    lsns.iter().map(position).collect()
}

/// The primary is cut off, the store is away, and nobody can be promoted. Callers' reads with an allowance
/// go on: of three servers that count two answer, and each commit that a caller was told of is on
/// two. With one answer, with a vanished server that may have the commit, or without synchronous
/// replicas nothing is proved.
#[parameterized(
    both_replicas = { &[17, 19], 3, 1, Some(19) },
    all_three = { &[17, 19, 20], 3, 1, Some(20) },
    one_replica = { &[19], 3, 1, None },
    one_has_vanished = { &[17, 19], 4, 1, None },
    two_synchronous = { &[17, 19], 4, 2, Some(19) },
    no_synchronous = { &[17, 19, 20], 3, 0, None },
    nobody = { &[], 0, 1, None },
)]
fn answers_of_a_quorum_prove_a_position(
    received: &[u64],
    counted: usize,
    sync_replicas: usize,
    expected: Option<u64>,
) {
    let mark = freshness::quorum_watermark(at(500), &lsns(received), counted, sync_replicas);

    let position = expected.map(|lsn| Position { term: 3, lsn });
    assert_eq!(mark.map(|mark| mark.position), position);
    assert!(mark.is_none_or(|mark| mark.asked == at(500)));
}

/// The primary starts again with an empty log, and one of its answers comes while nobody else can lead yet.
/// Its position must not become what reads have to see.
#[test]
fn shorter_log_is_no_mark() {
    let mut marks = Watermarks::default();
    let mark = |asked, lsn| Watermark {
        asked: at(asked),
        position: Position { term: 3, lsn },
    };
    marks.note(mark(0, 40));

    marks.note(mark(200, 0));

    assert_eq!(marks.floor(at(100)), None);
    assert_eq!(marks.newest(), Some(mark(0, 40)));
}

/// A proxy that has just started takes a server for the primary, and that server starts again with nothing
/// before any mark is noted. Guards against a read on the empty log: it must go up to what the server had.
#[test]
fn log_that_led_is_what_reads_must_reach() {
    let mut marks = Watermarks::default();

    let unknown = marks.newest_position();
    marks.note_leader_position(position(2, 40));
    let led = marks.newest_position();
    marks.note(mark(0, 2, 41));
    let marked = marks.newest_position();
    marks.note_leader_position(position(3, 20));

    assert_eq!(unknown, None);
    assert_eq!(led, Some(position(2, 40)));
    assert_eq!(marked, Some(position(2, 41)));
    assert_eq!(marks.newest_position(), Some(position(3, 20)));
}

//! Whether a caller may be told that its commit is kept.

use std::time::Duration;

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    commit::{Commit, Membership, Snapshot},
    freshness::{Lease, Poll, PROMOTION_WAIT},
    registry::{Incarnation, Role},
    takeover::Status,
    time::Moment,
};

fn at(millis: u64) -> Moment {
    Moment::from_boot(Duration::from_millis(100_000 + millis))
}

fn id(text: &str) -> Incarnation {
    Incarnation::from(text)
}

fn position(lsn: u64) -> Position {
    Position { term: 2, lsn }
}

/// A replica of term 2 that has received everything up to `lsn`.
fn received(lsn: u64) -> Status {
    Status {
        role: Role::Replica,
        term: 2,
        received: position(lsn),
        held: 0,
    }
}

fn poll(asked: u64, answered: u64, followers: usize) -> Poll {
    Poll {
        asked: at(asked),
        answered: at(answered),
        followers,
        others: 2,
        unregistered: 0,
        sync_replicas: 1,
    }
}

/// A lease that began at 0.
fn lease() -> Lease {
    let mut lease = Lease::default();
    lease.confirm(poll(0, 10, 2));
    lease
}

/// Commit 2.705 of "a@1", which "b@1" was found to have at 20.
fn held_by_b() -> Commit {
    let mut commit = Commit::new(position(705), 1);
    commit.note(&id("b@1"), true, &received(705), at(20));
    commit
}

fn others() -> Vec<Incarnation> {
    vec![id("b@1"), id("c@1")]
}

/// What the store says when it is asked at 30.
fn testimony(promoted: Option<&str>) -> Snapshot {
    Snapshot {
        asked: at(30),
        promoted: promoted.map(str::to_owned),
        members: ["a@1", "b@1", "c@1"].map(id).to_vec(),
    }
}

/// A caller's commit is on a replica while the lease of its primary lasts: it is kept.
#[test]
fn one_replica_is_enough_under_a_lease() {
    assert!(held_by_b().is_durable(Some(&lease()), Membership::Current, &others()));
}

/// The replicas were held for a promotion, so the lease ran out. The promotion takes effect, the holds
/// end, and b, which has not heard of it, receives the commit. Its word proves nothing.
#[test]
fn one_replica_is_not_enough_after_the_lease() {
    let mut commit = Commit::new(position(705), 1);

    commit.note(&id("b@1"), true, &received(705), at(1_200));

    assert!(!commit.is_durable(Some(&lease()), Membership::Current, &others()));
}

/// A replica that does not obey cannot be asked, so a single word began no lease: it says what a newer
/// primary has acknowledged by then, not that there is none.
#[test]
fn single_word_is_no_lease() {
    let mut lease = Lease::default();

    lease.confirm(poll(100, 110, 1));

    assert!(lease.covers(at(50)));
    assert!(!held_by_b().is_durable(Some(&lease), Membership::Current, &others()));
}

/// The primary that made the commit has been replaced: the lease is another's.
#[test]
fn lease_of_another_primary_proves_nothing() {
    assert!(!held_by_b().is_durable(None, Membership::Current, &others()));
}

/// Without a list that is young enough the replica may be one that no promoter counts any more.
#[test]
fn one_replica_is_not_enough_by_an_old_list() {
    for list in [Membership::Stale, Membership::Missing] {
        assert!(!held_by_b().is_durable(Some(&lease()), list, &others()));
    }
}

/// All servers have the commit, so whichever is promoted has it.
#[test]
fn all_replicas_are_enough() {
    let mut commit = held_by_b();

    commit.note(&id("c@1"), true, &received(709), at(40));

    assert!(commit.is_durable(None, Membership::Stale, &others()));
}

/// Replica b confirms, starts again, and confirms once more in its new life. Two lives are not two
/// servers: c may lack the commit and be promoted.
#[test]
fn two_lives_are_one_server() {
    let mut commit = held_by_b();

    commit.note(&id("b@2"), true, &received(705), at(900));

    let others = [id("b@1"), id("b@2"), id("c@1")];
    assert!(!commit.is_durable(None, Membership::Current, &others));
}

/// A server that followed a newer primary may have lost the commit at the change.
#[test]
fn log_of_a_later_term_does_not_confirm() {
    let mut commit = Commit::new(position(705), 1);
    let mut later = received(705);
    later.received = Position { term: 3, lsn: 900 };

    commit.note(&id("b@1"), true, &later, at(20));

    assert!(!commit.is_replicated());
}

/// Commits wait for two replicas, and b alone is known to have this one. The other may be a server that
/// no promoter counts, and three of five held servers need not include b.
#[test]
fn two_synchronous_replicas_need_two_words() {
    let mut commit = Commit::new(position(705), 2);
    commit.note(&id("b@1"), true, &received(705), at(20));
    let others = ["b@1", "c@1", "d@1", "e@1"].map(id);

    let by_lease = commit.is_durable(Some(&lease()), Membership::Current, &others);
    let by_store = commit.is_durable_by_record(&testimony(None), &id("a@1"));

    assert!(!by_lease && !by_store);
}

/// Nobody was promoted after the primary when the store was asked, and b had the commit before: whoever
/// promotes asks b once more and finds it.
#[test]
fn store_confirms_while_nobody_else_was_promoted() {
    for promoted in [None, Some("a")] {
        assert!(held_by_b().is_durable_by_record(&testimony(promoted), &id("a@1")));
    }
}

/// A promotion of c has been written down: b may have been asked before it received the commit.
#[test]
fn store_does_not_confirm_once_another_is_promoted() {
    assert!(!held_by_b().is_durable_by_record(&testimony(Some("c")), &id("a@1")));
}

/// The store was asked before b was known to have the commit: a promotion may have come in between.
#[test]
fn earlier_word_of_the_store_does_not_confirm() {
    let mut commit = Commit::new(position(705), 1);

    commit.note(&id("b@1"), true, &received(705), at(31));

    assert!(!commit.is_durable_by_record(&testimony(None), &id("a@1")));
}

/// A replica's answer is 250 ms late. It was asked within the promoter's wait, but may have answered
/// after the promotion, when the hold had ended: the lease does not go on.
#[test]
fn late_answer_renews_no_lease() {
    let mut lease = lease();

    lease.confirm(poll(545, 800, 1));

    assert!(!lease.excludes_promotion(at(810)));
}

/// A server counts for a promotion that is not registered any more. All that can be asked obey, but that
/// one may have been promoted: no lease begins.
#[test]
fn server_out_of_sight_begins_no_lease() {
    let mut lease = Lease::default();

    lease.confirm(Poll {
        unregistered: 1,
        ..poll(0, 10, 2)
    });

    assert!(!lease.excludes_promotion(at(20)));
}

/// b confirmed the commit, then b followed another primary, and the first was promoted again before the
/// store was asked. Guards against a name in the store that stands for the primary's second time.
#[test]
fn word_from_before_the_wait_of_a_promotion_is_no_witness() {
    let late = |millis| Snapshot {
        asked: at(millis),
        ..testimony(Some("a"))
    };
    let mut commit = held_by_b();
    let wait = PROMOTION_WAIT.as_millis() as u64;

    let stale = commit.is_durable_by_record(&late(20 + wait), &id("a@1"));
    commit.note(&id("b@1"), true, &received(705), at(600));
    let again = commit.is_durable_by_record(&late(10 + wait + 60), &id("a@1"));

    assert!(!stale && again);
}

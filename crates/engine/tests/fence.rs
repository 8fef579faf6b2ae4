//! What the orders of an attempt prove, and whether its choice still stands just before the call.

use std::time::Duration;

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    fence::{Fence, Objection, Recheck, Response},
    registry::{Incarnation, Role},
    takeover::{Member, Sight, Status},
    time::Moment,
};

const NEWEST: u64 = 2;

fn status(role: Role, lsn: u64, held: u64) -> Status {
    Status {
        role,
        term: NEWEST,
        received: Position { term: NEWEST, lsn },
        held,
    }
}

fn replica(lsn: u64) -> Status {
    status(Role::Replica, lsn, 0)
}

fn held(lsn: u64) -> Status {
    status(Role::Replica, lsn, NEWEST + 1)
}

fn member(id: &str, seen: Status) -> Member {
    Member {
        id: id.into(),
        leaving: false,
        sight: Sight::Answered(seen),
        asked: Moment::from_boot(Duration::from_secs(100)),
    }
}

/// Primary a and its replicas b and c, all with 700 entries.
fn group() -> [Member; 3] {
    [
        member("a", status(Role::Primary, 700, 0)),
        member("b", replica(700)),
        member("c", replica(700)),
    ]
}

/// An attempt in which b and c are held.
fn both_held() -> Fence {
    let members = group();
    let mut fence = Fence::new(&members, NEWEST, None, 2);
    for replica in &members[1..] {
        assert_eq!(fence.note(replica, &held(706)), Response::Held);
    }
    fence
}

fn answers(b: Recheck, c: Recheck) -> [(Incarnation, Recheck); 2] {
    [("b".into(), b), ("c".into(), c)]
}

/// Nobody seemed to lead, and the server that led before was told to step down. It has long been a
/// replica of the true primary, n, which did not answer and goes on. That it answers as a replica does
/// not prove that its log is complete: with two of three held nobody may be promoted.
#[test]
fn replica_that_obeys_is_no_primary_that_stepped_down() {
    let members = [
        member("b", replica(700)),
        member("c", replica(700)),
        member("old", replica(705)),
        member("n", status(Role::Replica, 691, 2)),
    ];
    let mut fence = Fence::new(&members, NEWEST, None, 3);

    fence.note(&members[0], &held(706));
    fence.note(&members[1], &held(706));
    let heard = fence.note(&members[2], &replica(705));

    assert_eq!(heard, Response::Nothing);
    assert_eq!(fence.choice(), None);
}

/// The primary says that it leads and steps down; one of its replicas cannot be reached. Its log has
/// everything, so the other replica, which has as much, may be promoted.
#[test]
fn primary_that_steps_down_has_everything() {
    let members = group();
    let mut fence = Fence::new(&members, NEWEST, Some("a"), 2);

    let heard = fence.note(&members[0], &replica(705));
    fence.note(&members[1], &held(705));

    assert_eq!(heard, Response::SteppedDown);
    assert_eq!(fence.choice().map(|one| one.id.id.as_str()), Some("b"));
}

/// As above, but the record says that n was promoted after a: a only believes that it leads.
#[test]
fn primary_that_was_replaced_proves_nothing_by_stepping_down() {
    let members = group();
    let mut fence = Fence::new(&members, NEWEST, Some("n"), 2);

    fence.note(&members[0], &replica(705));
    fence.note(&members[1], &held(705));

    assert_eq!(fence.choice(), None);
}

/// A later term than this process has seen among the members is known: the primary of an earlier term
/// that is in sight was replaced.
#[test]
fn primary_of_an_earlier_term_proves_nothing_by_stepping_down() {
    let members = group();
    let mut fence = Fence::new(&members, NEWEST + 1, None, 2);

    fence.note(&members[0], &replica(705));
    fence.note(&members[1], &status(Role::Replica, 705, NEWEST + 2));

    assert_eq!((fence.term(), fence.choice()), (NEWEST + 2, None));
}

/// One member is already in the term for which it was to be held: somebody was promoted meanwhile, and
/// what that server acknowledges would be lost.
#[test]
fn member_in_the_attempts_term_ends_the_attempt() {
    let members = group();
    let mut fence = both_held();
    let mut follows = replica(710);
    follows.term = NEWEST + 1;

    let heard = fence.note(&members[0], &follows);

    assert_eq!((heard, fence.choice()), (Response::Superseded, None));
}

/// Both are asked again just before the call, and are as they were.
#[test]
fn held_members_are_still_held() {
    let again = Recheck::Answered(held(706));

    assert_eq!(both_held().recheck(&answers(again, again)), Ok(()));
}

/// Replica b started again with its log while the leases ran out, has forgotten that it is held, and
/// confirms what the old primary commits: the promoted server would lack it. The same if an order to
/// receive again came late, if its log has grown, or if it has lost it.
#[test]
fn member_that_was_let_go_is_found() {
    let now_led = Status {
        term: NEWEST + 1,
        ..held(706)
    };
    for changed in [replica(706), held(707), held(3), now_led] {
        let again = answers(Recheck::Answered(changed), Recheck::Answered(held(706)));

        let result = both_held().recheck(&again);

        assert_eq!(result, Err(Objection::Changed("b".into())));
    }
}

/// A member that does not answer may be one that started again a moment ago: it is not counted.
#[test]
fn silent_member_is_not_counted() {
    let again = answers(Recheck::Unavailable, Recheck::Answered(held(706)));

    let result = both_held().recheck(&again);

    let (confirmed, quorum) = (1, 2);
    assert_eq!(result, Err(Objection::NoQuorum { confirmed, quorum }));
}

/// More members are held than are needed, and the one to be promoted is the one that does not answer: it
/// may have lost its log.
#[test]
fn chosen_member_has_to_answer() {
    let members = group();
    let mut fence = Fence::new(&members, NEWEST, None, 1);
    fence.note(&members[1], &held(705));
    fence.note(&members[2], &held(706));

    let result = fence.recheck(&answers(Recheck::Answered(held(705)), Recheck::Unavailable));

    let (confirmed, quorum) = (1, 1);
    assert_eq!(result, Err(Objection::NoQuorum { confirmed, quorum }));
}

/// The primary stepped down, one replica is held. Before the call the primary leads again: it crashed and
/// came back with its log.
#[test]
fn primary_that_leads_again_is_found() {
    let members = group();
    let mut fence = Fence::new(&members, NEWEST, Some("a"), 2);
    fence.note(&members[0], &replica(705));
    fence.note(&members[1], &held(705));
    let leads = Recheck::Answered(status(Role::Primary, 705, 0));

    let result = fence.recheck(&[
        ("a".into(), leads),
        ("b".into(), Recheck::Answered(held(705))),
    ]);

    assert_eq!(result, Err(Objection::Changed("a".into())));
}

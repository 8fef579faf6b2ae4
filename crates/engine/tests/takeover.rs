//! Whether a primary is replaced, and by which server.

use std::time::Duration;

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    fence::{self, Fenced},
    registry::Role,
    roster::Roster,
    takeover::{self, Cause, Decision, Member, Monitor, Sight, Status},
    time::Moment,
};
use yare::parameterized;

fn at(millis: u64) -> Moment {
    Moment::from_boot(Duration::from_millis(100_000 + millis))
}

fn status(role: Role, term: u64, lsn: u64) -> Status {
    Status {
        role,
        term,
        received: Position { term, lsn },
        held: 0,
    }
}

fn member(id: &str, sight: Sight, asked: u64) -> Member {
    Member {
        id: id.into(),
        leaving: false,
        sight,
        asked: at(asked),
    }
}

fn primary(id: &str, lsn: u64, asked: u64) -> Member {
    member(id, Sight::Answered(status(Role::Primary, 1, lsn)), asked)
}

fn replica(id: &str, lsn: u64, asked: u64) -> Member {
    member(id, Sight::Answered(status(Role::Replica, 1, lsn)), asked)
}

fn lost(id: &str, since: u64) -> Member {
    member(id, Sight::Lost { since: at(since) }, since)
}

fn fenced(id: &str, lsn: u64) -> Fenced {
    Fenced {
        id: id.into(),
        leaving: false,
        received: Position { term: 1, lsn },
    }
}

fn replace(old: &str, cause: Cause) -> Decision {
    Decision::Replace {
        old: Some(old.into()),
        cause,
    }
}

/// Callers get no writes through: the primary stops answering. It is replaced once it has been
/// missed for long enough, not at the first lost answer.
#[test]
fn silent_primary_is_replaced_after_a_while() {
    let mut memory = Monitor::default();
    memory.evaluate(
        &[primary("a", 5, 0), replica("b", 5, 0), replica("c", 5, 0)],
        at(0),
    );
    let missing = [lost("a", 100), replica("b", 5, 100), replica("c", 5, 100)];

    let early = memory.evaluate(&missing, at(300));
    let later = memory.evaluate(&missing, at(600));

    assert_eq!(early, Decision::Undecided);
    assert_eq!(later, replace("a", Cause::Missing));
}

/// Another process takes the duty over while the primary is cut off: it has never seen it lead,
/// and must still replace it.
#[test]
fn new_holder_replaces_a_primary_it_never_saw() {
    let mut memory = Monitor::default();
    let members = [lost("a", 0), replica("b", 5, 0), replica("c", 5, 0)];

    memory.evaluate(&members, at(0));
    let verdict = memory.evaluate(&members, at(600));

    let cause = Cause::Leaderless;
    assert_eq!(verdict, Decision::Replace { old: None, cause });
}

/// As above, and the new holder has asked everyone for the first time a while ago: it does not wait
/// once more for what the silence already shows.
#[test]
fn new_holder_counts_from_the_first_unanswered_question() {
    let mut memory = Monitor::default();
    let members = [lost("a", 0), replica("b", 5, 0), replica("c", 5, 0)];

    let verdict = memory.evaluate(&members, at(400));

    let cause = Cause::Leaderless;
    assert_eq!(verdict, Decision::Replace { old: None, cause });
}

/// The holder is suspended for two seconds between a question and its answer. On waking all its time
/// limits are over, though the primary is sound: it must not be replaced on that.
#[parameterized(
    unanswered = { 250, 0 },
    suspended = { 2_000, 2_000 },
)]
fn suspension_does_not_count_as_silence(now: u64, since: u64) {
    assert_eq!(takeover::lost_since(at(0), at(now)), at(since));
}

/// Attempts that ended halfway leave the replicas held above the term of the primary that is promoted
/// in the end. Its commits wait, because the replicas are held and not because they are cut off:
/// replacing it once more would leave the next primary in the same state. They are let go.
#[test]
fn held_replicas_are_no_stall() {
    let mut memory = Monitor::default();
    let held = Status {
        held: 4,
        ..status(Role::Replica, 1, 466)
    };
    let members = |asked| {
        let led = Sight::Answered(status(Role::Primary, 2, 470 + asked));
        let waits = Sight::Answered(held);
        [
            member("a", led, asked),
            member("b", waits, asked),
            member("c", waits, asked),
        ]
    };

    let verdicts: Vec<Decision> = (0..=2_600)
        .step_by(100)
        .map(|millis| memory.evaluate(&members(millis), at(millis)))
        .collect();

    assert!(verdicts[..25]
        .iter()
        .all(|verdict| *verdict == Decision::Healthy));
    assert_eq!(verdicts.last(), Some(&Decision::Resume));
}

/// Holders change in the middle of an attempt, several times over. Each holds the replicas for one
/// term more than the primary's, not than its predecessor did: the platform gives the promoted server
/// the next term, and replicas held above it would not follow.
#[test]
fn attempts_hold_for_the_same_term() {
    let held = Status {
        held: 3,
        ..status(Role::Replica, 1, 5)
    };
    let members = [
        member("a", Sight::Answered(held), 0),
        member("b", Sight::Answered(held), 0),
        lost("c", 0),
    ];

    assert_eq!(takeover::newest_term(&members), 1);
}

/// Commits hang: the primary writes, and none of its replicas receives anything.
#[test]
fn primary_whose_replicas_receive_nothing_is_replaced() {
    let mut memory = Monitor::default();
    let mut verdict = Decision::Undecided;
    for millis in (0..=1_000).step_by(100) {
        let led = primary("a", 10 + millis, millis);
        verdict = memory.evaluate(
            &[led, replica("b", 5, millis), replica("c", 5, millis)],
            at(millis),
        );
    }

    assert_eq!(verdict, replace("a", Cause::Stalled));
}

/// Replicas are asked less often than the primary, so their answers are always a little older.
#[test]
fn replicas_that_follow_with_a_delay_are_no_stall() {
    let mut memory = Monitor::default();
    for millis in (0..=5_000).step_by(100) {
        let followed = (millis / 500) * 500;
        let members = [
            primary("a", 10 + millis, millis),
            replica("b", 10 + followed, followed),
            replica("c", 10 + followed, followed),
        ];

        assert_eq!(
            memory.evaluate(&members, at(millis)),
            Decision::Healthy,
            "{millis}"
        );
    }
}

/// The primary is to be stopped: it is replaced while it still runs.
#[test]
fn leaving_primary_is_replaced_at_once() {
    let mut memory = Monitor::default();
    let mut leaving = primary("a", 5, 0);
    leaving.leaving = true;

    let verdict = memory.evaluate(&[leaving, replica("b", 5, 0)], at(0));

    assert_eq!(verdict, replace("a", Cause::Leaving));
}

/// A replica that receives nothing stays held after its primary was replaced. Replacing the new
/// primary by it would lose everything acknowledged since.
#[test]
fn held_replica_under_a_sound_primary_is_let_go() {
    let mut memory = Monitor::default();
    let held = Status {
        held: 3,
        ..status(Role::Replica, 1, 5)
    };
    let members = |asked| {
        let led = Sight::Answered(status(Role::Primary, 2, 90));
        let follower = Sight::Answered(status(Role::Replica, 2, 90));
        [
            member("a", led, asked),
            member("b", Sight::Answered(held), asked),
            member("c", follower, asked),
        ]
    };

    memory.evaluate(&members(0), at(0));
    let verdict = memory.evaluate(&members(2_600), at(2_600));

    assert_eq!(verdict, Decision::Resume);
}

#[parameterized(
    both_others_held = { 2, &[("b", 7), ("c", 9)], None, Some("c") },
    one_of_two_held = { 2, &[("b", 7)], None, None },
    none_held = { 2, &[], None, None },
    one_held_and_the_old_one_stepped_down = { 2, &[("b", 9)], Some(9), Some("b") },
    the_held_one_is_behind = { 2, &[("b", 7)], Some(9), Some("a") },
)]
fn choice_of_the_new_primary(
    quorum: usize,
    held: &[(&str, u64)],
    stepped_down: Option<u64>,
    expected: Option<&str>,
) {
    let held: Vec<Fenced> = held.iter().map(|(id, lsn)| fenced(id, *lsn)).collect();
    let old = stepped_down.map(|lsn| fenced("a", lsn));

    let chosen = fence::choose(quorum, &held, old.as_ref());

    assert_eq!(chosen.map(|chosen| chosen.id.id.as_str()), expected);
}

/// With equal logs a server that stays goes before one that is about to leave.
#[test]
fn leaving_server_is_the_last_choice() {
    let mut leaving = fenced("z", 9);
    leaving.leaving = true;
    let held = [fenced("b", 9), leaving];

    let chosen = fence::choose(2, &held, None);

    assert_eq!(chosen.map(|chosen| chosen.id.id.as_str()), Some("b"));
}

#[parameterized(
    three_one_synchronous = { 3, 1, 2 },
    four_while_one_is_replaced = { 4, 1, 3 },
    none_synchronous = { 3, 0, 3 },
    five_two_synchronous = { 5, 2, 3 },
)]
fn quorum(members: usize, sync_replicas: u32, expected: usize) {
    assert_eq!(fence::quorum(members, sync_replicas), expected);
}

/// A caller hears that its commit is kept, as replica b has it. Then b starts again under its id, and
/// the primary is cut off before b has received anything. b as it is now and c, which was behind,
/// must not look like all but one of the group: neither has the commit.
#[test]
fn replica_that_starts_again_does_not_stand_for_its_earlier_life() {
    let before = [
        primary("a@1", 9, 0),
        replica("b@1", 9, 0),
        replica("c@1", 5, 0),
    ];
    let mut roster = Roster::default();
    roster.update(&before, at(0));

    let after = [
        lost("a@1", 100),
        replica("b@2", 0, 100),
        replica("c@1", 5, 100),
    ];
    roster.update(&after, at(100));
    let held = [fenced("b@2", 0), fenced("c@1", 5)];

    let quorum = fence::quorum(roster.len(), 1);
    assert_eq!(fence::choose(quorum, &held, None), None);
}

/// As above, and the new life is not registered yet: only its log shows that it is another. A log that
/// was cut at a change of the primary is still the same server's.
#[parameterized(
    shorter = { 1, 4, true },
    as_long = { 1, 9, false },
    longer = { 1, 12, false },
    cut_by_a_new_primary = { 2, 4, false },
)]
fn log_that_has_become_shorter_shows_a_restart(term: u64, lsn: u64, expected: bool) {
    let before = status(Role::Replica, 1, 9);
    let after = Status {
        term,
        received: Position { term: 1, lsn },
        ..before
    };

    assert_eq!(takeover::has_restarted(&before, &after), expected);
}

/// A holder that promoted a server two seconds ago has heard of the others since, but not of that
/// one: it is busy, and its last answer is from before it led. Nobody seems to lead, though the others
/// follow term 2, so somebody does. Taken for a group without a primary, it was replaced within half
/// a second, and 40 commits that it had acknowledged by then were lost.
#[test]
fn answer_from_before_a_promotion_does_not_deny_it() {
    let mut memory = Monitor::default();
    let followed = |id, asked| {
        let mut status = status(Role::Replica, 2, 700);
        status.received = Position { term: 2, lsn: 700 };
        member(id, Sight::Answered(status), asked)
    };
    let before = Status {
        held: 2,
        ..status(Role::Replica, 1, 691)
    };
    let members = |asked| {
        [
            followed("b", asked),
            followed("c", asked),
            followed("old", asked),
            member("new", Sight::Answered(before), 0),
        ]
    };

    let verdicts: Vec<Decision> = (200..=1_200)
        .step_by(100)
        .map(|millis| memory.evaluate(&members(millis), at(millis)))
        .collect();

    assert_eq!(verdicts, vec![Decision::Undecided; verdicts.len()]);
}

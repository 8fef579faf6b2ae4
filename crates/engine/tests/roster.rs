//! Which servers may hold a commit that no other server holds.

use std::time::Duration;

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    registry::{Incarnation, Role},
    roster::{Roster, LIST_VALIDITY},
    takeover::{Member, Sight, Status},
    time::Moment,
};

fn at(millis: u64) -> Moment {
    Moment::from_boot(Duration::from_millis(100_000 + millis))
}

fn member(id: &str, role: Role, lsn: u64, asked: u64) -> Member {
    let status = Status {
        role,
        term: 1,
        received: Position { term: 1, lsn },
        held: 0,
    };
    Member {
        id: id.into(),
        leaving: false,
        sight: Sight::Answered(status),
        asked: at(asked),
    }
}

fn primary(id: &str, lsn: u64, asked: u64) -> Member {
    member(id, Role::Primary, lsn, asked)
}

fn replica(id: &str, lsn: u64, asked: u64) -> Member {
    member(id, Role::Replica, lsn, asked)
}

/// Acknowledged writes vanish: the primary and the replica that acknowledged them are cut off
/// together, their entries lapse, and the two servers left look like the whole group.
#[test]
fn vanished_servers_still_count() {
    let mut roster = Roster::default();
    let all = [
        primary("a", 20, 0),
        replica("b", 19, 0),
        replica("c", 19, 0),
        replica("d", 20, 0),
    ];
    roster.update(&all, at(0));

    roster.update(
        &[replica("b", 19, 5_000), replica("c", 19, 5_000)],
        at(5_000),
    );

    assert_eq!(roster.len(), 4);
}

/// A replica leaves for good under a primary that goes on. A proxy that is cut off from the store goes
/// on counting it for a while, so it matters until another has all that the primary had after that
/// while; then it does not matter any more.
#[test]
fn vanished_server_is_forgotten_once_others_have_everything() {
    let mut roster = Roster::default();
    let all = [
        primary("a", 20, 0),
        replica("b", 19, 0),
        replica("c", 19, 0),
    ];
    let listed = LIST_VALIDITY.as_millis() as u64;
    roster.update(&all, at(0));
    roster.update(&[primary("a", 30, 900), replica("b", 29, 900)], at(1_000));
    let vanished = roster.len();
    let early = 1_000 + listed;
    roster.update(
        &[primary("a", 31, early), replica("b", 31, early)],
        at(early + 100),
    );
    let counted = roster.len();

    let late = early + 200;
    roster.update(
        &[primary("a", 32, late), replica("b", 32, late)],
        at(late + 100),
    );

    assert_eq!((vanished, counted, roster.len()), (3, 3, 2));
}

/// The failover duty passes on after entries have lapsed: the list in the store is what counts.
#[test]
fn new_holder_goes_on_from_the_recorded_members() {
    let recorded = ["a", "b", "c"].map(Incarnation::from);
    let mut roster = Roster::new(&recorded, at(0));

    roster.update(&[replica("b", 19, 100)], at(100));

    assert_eq!(roster.ids(), recorded);
}

/// The list in the store was changed by another holder after this one had read it: what it says counts,
/// and a server that is not in sight counts as vanished.
#[test]
fn list_of_another_holder_is_taken_in() {
    let mut roster = Roster::new(&[], at(0));
    roster.update(&[primary("a", 20, 0), replica("b", 20, 0)], at(0));

    roster.merge(&["b", "c"].map(Incarnation::from), at(100));

    assert_eq!(roster.ids(), ["a", "b", "c"].map(Incarnation::from));
}

/// A server that is not registered any more is still sent commits. Guards against forgetting it because
/// the others have what the primary had a while ago: it alone may confirm the next commit.
#[test]
fn vanished_server_that_still_receives_counts() {
    let listed = LIST_VALIDITY.as_millis() as u64;
    let left = |asked| [primary("a", 31, asked), replica("b", 31, asked)];
    let mut roster = Roster::default();
    roster.update(
        &[
            primary("a", 20, 0),
            replica("b", 20, 0),
            replica("c", 20, 0),
        ],
        at(0),
    );
    roster.update(&left(100), at(100));

    roster.note_in_use(&"c".into(), at(listed));
    roster.update(&left(listed + 200), at(listed + 200));
    let receiving = roster.len();
    roster.update(&left(2 * listed + 200), at(2 * listed + 200));

    assert_eq!((receiving, roster.len()), (3, 2));
}

/// Another process has seen that the others have everything of a vanished server. Guards against processes
/// that remind each other of it for ever; one that is present is not forgotten on anybody's word.
#[test]
fn covered_server_is_forgotten() {
    let mut roster = Roster::new(&["c"].map(Incarnation::from), at(0));
    roster.update(&[primary("a", 20, 0), replica("b", 10, 0)], at(0));

    roster.remove_covered(&["b", "c"].map(Incarnation::from));

    assert_eq!(roster.ids(), ["a", "b"].map(Incarnation::from));
}

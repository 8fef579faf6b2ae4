//! What a proxy tells others of the store's content.

use dandelionpitch_engine::{
    era,
    mirror::{Change, Item, Mirror, Update},
};

fn written(key: &str, revision: u64, value: &'static str) -> Change<&'static str> {
    Change::Written(Item {
        key: key.to_owned(),
        value,
        revision,
    })
}

fn removed(key: &str, revision: u64) -> Change<&'static str> {
    Change::Removed {
        key: key.to_owned(),
        revision,
    }
}

fn update(
    revision: u64,
    is_snapshot: bool,
    changes: &[Change<&'static str>],
) -> Update<&'static str> {
    Update {
        revision,
        is_snapshot,
        changes: changes.to_vec(),
    }
}

/// A mirror that read everything at revision 10 and was told of changes up to 13.
fn mirror() -> Mirror<&'static str> {
    let mut mirror = Mirror::default();
    let all = [written("config", 4, "v1"), written("server", 9, "up")];
    mirror.apply(&update(10, true, &all));
    mirror.apply(&update(
        13,
        false,
        &[written("config", 12, "v2"), removed("server", 13)],
    ));
    mirror
}

#[test]
fn follower_is_told_what_it_has_missed() {
    let mirror = mirror();

    let told = mirror.since(11);

    let missed = [written("config", 12, "v2"), removed("server", 13)];
    assert_eq!(told, update(13, false, &missed));
    assert_eq!(mirror.since(13), update(13, false, &[]));
}

/// A follower has reached a revision before the mirror's first list. What was removed until then is
/// not known here, so it is told everything, and drops what is not in it.
#[test]
fn follower_from_before_the_first_list_is_told_everything() {
    let mirror = mirror();
    let mut follower = Mirror::default();
    follower.apply(&update(3, true, &[written("gone", 2, "x")]));

    let told = mirror.since(3);
    follower.apply(&told);

    assert!(told.is_snapshot);
    assert_eq!(follower.since(0).changes, [written("config", 12, "v2")]);
}

/// A follower turns from one source to another that is behind the first. Its updates are older than
/// what the follower has: taken, they would put an earlier configuration back in force.
#[test]
fn older_updates_change_nothing() {
    let mut mirror = mirror();

    let taken = mirror.apply(&update(11, true, &[written("config", 4, "v1")]));

    assert!(!taken);
    assert_eq!(mirror.revision(), 13);
    assert_eq!(mirror.since(0).changes, [written("config", 12, "v2")]);
}

/// The store has forgotten its history, so the mirror is read anew, and a server's entry is not there any
/// more. A follower that is not behind that far is told of the removal all the same.
#[test]
fn removals_found_by_reading_anew_are_told() {
    let mut mirror = mirror();
    mirror.apply(&update(14, false, &[written("other", 14, "y")]));

    mirror.apply(&update(20, true, &[written("config", 12, "v2")]));

    assert_eq!(mirror.since(14), update(20, false, &[removed("other", 20)]));
}

/// Entries come and go by the thousand. The removals that are remembered are bounded; whoever has
/// missed a forgotten one is told everything.
#[test]
fn forgotten_removals_are_made_good_by_telling_everything() {
    let mut mirror = mirror();
    for revision in (14..10_000).step_by(2) {
        let come_and_gone = [written("k", revision, "x"), removed("k", revision + 1)];
        mirror.apply(&update(revision + 1, false, &come_and_gone));
    }

    assert!(mirror.since(13).is_snapshot);
    assert!(!mirror.since(9_900).is_snapshot);
    assert!(mirror.since(9_900).changes.len() < 100);
}

/// The store came back from a copy and counts from there. Guards against a follower that keeps what is gone,
/// or takes what has changed since for all there is.
#[test]
fn later_era_begins_with_everything() {
    let mut mirror = mirror();
    let again = |revision| era::stamp(1, revision);

    let changes = mirror.apply(&update(
        again(9),
        false,
        &[written("config", again(9), "v3")],
    ));
    let whole = mirror.apply(&update(
        again(8),
        true,
        &[written("config", again(4), "v1")],
    ));
    mirror.apply(&update(
        again(9),
        false,
        &[written("server", again(9), "up")],
    ));
    let told = mirror.since(13);

    assert!(!changes && whole);
    let all = [
        written("config", again(4), "v1"),
        written("server", again(9), "up"),
    ];
    assert_eq!(told, update(again(9), true, &all));
}

/// Guards against a source that has not heard of the restore yet and puts what is gone back.
#[test]
fn earlier_era_changes_nothing() {
    let mut mirror = mirror();
    mirror.apply(&update(era::stamp(1, 2), true, &[]));

    let taken = mirror.apply(&update(4_000, true, &[written("config", 12, "v2")]));

    assert!(!taken);
    assert_eq!(mirror.since(0).changes, []);
}

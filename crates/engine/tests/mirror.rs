//! The copy of the store's content that a relay keeps, and the updates that it sends to followers.

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

/// A mirror that received a snapshot at revision 10 and changes up to 13.
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
fn follower_gets_the_changes_that_it_has_missed() {
    let mirror = mirror();

    let sent = mirror.since(11);

    let missed = [written("config", 12, "v2"), removed("server", 13)];
    assert_eq!(sent, update(13, false, &missed));
    assert_eq!(mirror.since(13), update(13, false, &[]));
}

/// A follower is at a revision before the mirror's first snapshot. The mirror does not know what was
/// removed in between, so the follower gets a snapshot and drops the keys that are not in it.
#[test]
fn follower_behind_the_first_snapshot_gets_a_snapshot() {
    let mirror = mirror();
    let mut follower = Mirror::default();
    follower.apply(&update(3, true, &[written("gone", 2, "x")]));

    let sent = mirror.since(3);
    follower.apply(&sent);

    assert!(sent.is_snapshot);
    assert_eq!(follower.since(0).changes, [written("config", 12, "v2")]);
}

/// A follower switches to a source that is behind the previous one. Applying its older updates
/// would bring back an earlier configuration.
#[test]
fn older_updates_are_ignored() {
    let mut mirror = mirror();

    let applied = mirror.apply(&update(11, true, &[written("config", 4, "v1")]));

    assert!(!applied);
    assert_eq!(mirror.revision(), 13);
    assert_eq!(mirror.since(0).changes, [written("config", 12, "v2")]);
}

/// The store has compacted its history, so the mirror reads a snapshot, which lacks a server's entry. A
/// follower that is recent enough to get only changes must still get the removal.
#[test]
fn removals_found_in_a_snapshot_are_relayed() {
    let mut mirror = mirror();
    mirror.apply(&update(14, false, &[written("other", 14, "y")]));

    mirror.apply(&update(20, true, &[written("config", 12, "v2")]));

    assert_eq!(mirror.since(14), update(20, false, &[removed("other", 20)]));
}

/// The number of removals kept is bounded. A follower that has missed a discarded one gets a snapshot.
#[test]
fn follower_that_missed_discarded_removals_gets_a_snapshot() {
    let mut mirror = mirror();
    for revision in (14..10_000).step_by(2) {
        let changes = [written("k", revision, "x"), removed("k", revision + 1)];
        mirror.apply(&update(revision + 1, false, &changes));
    }

    assert!(mirror.since(13).is_snapshot);
    assert!(!mirror.since(9_900).is_snapshot);
    assert!(mirror.since(9_900).changes.len() < 100);
}

/// The store was restored from a backup, and its revisions continue from there. Guards against a
/// mirror that keeps keys which the restored store lacks, or treats changes as a snapshot.
#[test]
fn later_era_starts_with_a_snapshot() {
    let mut mirror = mirror();
    let restored = |revision| era::stamp(1, revision);

    let changes_applied = mirror.apply(&update(
        restored(9),
        false,
        &[written("config", restored(9), "v3")],
    ));
    let snapshot_applied = mirror.apply(&update(
        restored(8),
        true,
        &[written("config", restored(4), "v1")],
    ));
    mirror.apply(&update(
        restored(9),
        false,
        &[written("server", restored(9), "up")],
    ));
    let sent = mirror.since(13);

    assert!(!changes_applied && snapshot_applied);
    let all = [
        written("config", restored(4), "v1"),
        written("server", restored(9), "up"),
    ];
    assert_eq!(sent, update(restored(9), true, &all));
}

/// Guards against a source that does not know of a restore yet and would bring back removed keys.
#[test]
fn updates_of_an_earlier_era_are_ignored() {
    let mut mirror = mirror();
    mirror.apply(&update(era::stamp(1, 2), true, &[]));

    let applied = mirror.apply(&update(4_000, true, &[written("config", 12, "v2")]));

    assert!(!applied);
    assert_eq!(mirror.since(0).changes, []);
}

/// A follower lacks more changes than fit into a response. Guards against a follower that skips changes, or
/// that applies a part of the changes of one revision.
#[test]
fn missed_changes_are_sent_in_parts_in_order() {
    let mut mirror = mirror();
    let changes: Vec<_> = (14..40)
        .flat_map(|revision| {
            [
                written("config", revision, "x"),
                written(name(revision), revision, "x"),
            ]
        })
        .collect();
    mirror.apply(&update(40, false, &changes));
    mirror.apply(&update(41, false, &[removed(name(20), 41)]));
    let mut follower = Mirror::default();
    follower.apply(&update(13, true, &[written("config", 12, "v2")]));
    let mut reached = Vec::new();

    loop {
        let part = mirror
            .part_since(follower.revision().into(), 5, |_, _| 1)
            .expect("five changes are never of one revision");
        assert!(part.update.changes.len() <= 6 && !part.update.is_snapshot);
        follower.apply(&part.update);
        reached.push(follower.revision());
        if !part.has_more {
            break;
        }
    }

    assert_eq!(follower.since(0).changes, mirror.since(0).changes);
    assert_eq!(reached, [18, 24, 29, 34, 39, 41]);
}

/// The name of a key that differs for each revision below 64.
fn name(revision: u64) -> &'static str {
    const NAMES: &str = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ+-";
    &NAMES[revision as usize..=revision as usize]
}

/// A snapshot lists all keys, so a follower that applied a part of it would drop the others.
#[test]
fn snapshot_that_is_too_large_is_not_split() {
    let mirror = mirror();

    assert!(mirror.part_since(3.into(), 0, |_, _| 1).is_none());
    assert!(mirror
        .part_since(3.into(), 1, |_, _| 1)
        .is_some_and(|part| part.update.is_snapshot));
}

/// The first configuration of a large deployment alone exceeds the size of a response. Guards against a relay
/// that refuses it, so that all its followers read it from the store, and against a split revision.
#[test]
fn changes_of_one_revision_that_are_too_large_are_sent_together() {
    let mut mirror = mirror();
    let both = [written("a", 14, "x"), written("b", 14, "x")];
    mirror.apply(&update(14, false, &both));
    mirror.apply(&update(15, false, &[written("c", 15, "x")]));

    let part = mirror
        .part_since(13.into(), 1, |_, _| 1)
        .expect("it is no snapshot");

    assert_eq!(part.update, update(14, false, &both));
    assert!(part.has_more);
}

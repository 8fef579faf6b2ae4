//! Which seeds a starting proxy asks while the store does not answer, and when it has a complete copy.

use std::{net::SocketAddr, time::Duration};

use dandelionpitch_core::hash::Set;
use dandelionpitch_engine::{
    mirror::{Change, Item, Mirror, Update},
    seed::{Search, Step, Store, Verdict},
    time::Moment,
};

const NOW: Moment = Moment::from_boot(Duration::from_secs(100));

fn seeds() -> Vec<SocketAddr> {
    (1..=3).map(|n| ([10, 0, 0, n], 7000).into()).collect()
}

/// A search of `proxy-1`, which is none of the seeds.
fn search() -> Search<u64> {
    Search::new(&seeds(), None, "proxy-1")
}

/// A live proxy's copy of a store with keys `k1` to `k9`, each written at the revision of its number, and
/// written again at those in `rewritten`.
fn content(rewritten: &[(u64, u64)]) -> Mirror<u64> {
    let mut content = Mirror::default();
    let writes = (1..=9).map(|key| (key, key));
    for (key, revision) in writes.chain(rewritten.iter().copied()) {
        let written = Change::Written(Item {
            key: format!("k{key}"),
            value: revision,
            revision,
        });
        content.apply(&Update {
            revision,
            is_snapshot: false,
            changes: vec![written],
        });
    }
    content
}

/// Adds the next part of `seed`, of at most four keys.
fn copy_part(search: &mut Search<u64>, seed: &Mirror<u64>) -> Verdict {
    let part = seed.part_since(search.progress(), 4, |_, _| 1);
    search.apply(&part.expect("the seed can send it in parts"))
}

/// Lets every seed fail; returns them in the order in which they were asked.
fn ask_all(search: &mut Search<u64>) -> Vec<SocketAddr> {
    let mut asked = Vec::new();
    while let Step::Ask(seed) = search.step(Store::Failed, NOW) {
        asked.push(seed);
        search.note_failure();
    }
    asked
}

/// Guards against proxies that start together and all ask the same seed first, and one that asks itself.
#[test]
fn proxies_ask_the_seeds_in_different_orders_and_not_themselves() {
    let proxies = (0..60).map(|n| format!("proxy-{n}"));
    let first = proxies.map(|id| ask_all(&mut Search::new(&seeds(), None, &id))[0]);
    let firsts: Vec<SocketAddr> = first.collect();
    let own = ask_all(&mut Search::new(&seeds(), Some(seeds()[1]), "proxy-1"));

    for seed in seeds() {
        let count = firsts.iter().filter(|first| **first == seed).count();
        assert!(count > 8, "{seed} is asked first by {count} of 60");
    }
    assert_eq!(own.len(), 2);
    assert!(!own.contains(&seeds()[1]));
}

/// The store has the newest content, so the seeds are asked only once it has failed or is late.
#[test]
fn store_is_asked_before_the_seeds() {
    let asked = Store::Asked(NOW);
    let later = |millis| NOW + Duration::from_millis(millis);

    assert!(matches!(search().step(asked, later(1)), Step::Wait(_)));
    assert!(matches!(search().step(Store::Failed, NOW), Step::Ask(_)));
    assert!(matches!(search().step(asked, later(1_000)), Step::Ask(_)));
    assert!(matches!(
        search().step(Store::Answered, later(1_000)),
        Step::Wait(_)
    ));
}

/// Seeds that are down, or have no copy themselves, are all asked again after a pause.
#[test]
fn failed_seeds_are_asked_again() {
    let mut search = search();

    let first = ask_all(&mut search);
    let second = ask_all(&mut search);

    assert_eq!(Set::from_iter(first.clone()), Set::from_iter(seeds()));
    assert_eq!(first, second);
}

/// The seed is lost after the first part. The next one has the same content and sends only the rest.
#[test]
fn interrupted_copy_is_continued_by_another_seed() {
    let (one, other) = (content(&[]), content(&[(2, 10)]));
    let mut search = search();

    let first = copy_part(&mut search, &one);
    search.note_failure();
    let after = search.progress().after;
    while copy_part(&mut search, &other) == Verdict::Incomplete {}

    assert_eq!((first, after), (Verdict::Incomplete, 4));
    assert_eq!(search.parts(), 3);
    assert_eq!(search.into_mirror().since(0), other.since(0));
}

/// The first seed left `k1` out of its first part, as it was written again. Guards against a copy without
/// `k1`: the next seed has it at a revision that the copy has passed.
#[test]
fn seed_that_is_behind_does_not_complete_the_copy_of_another() {
    let (ahead, behind) = (content(&[(1, 10)]), content(&[]));
    let mut search = search();
    copy_part(&mut search, &ahead);

    let continued = copy_part(&mut search, &behind);
    ask_all(&mut search);
    while copy_part(&mut search, &behind) == Verdict::Incomplete {}

    assert_eq!(continued, Verdict::Unusable);
    assert_eq!(search.into_mirror().since(0), behind.since(0));
}

/// The store answers during a copy and fails again. The copy begins anew, as its seed may have changed.
#[test]
fn copy_is_discarded_when_the_store_answers() {
    let mut search = search();
    copy_part(&mut search, &content(&[]));

    search.step(Store::Answered, NOW);

    assert_eq!(search.progress().after, 0);
    assert!(matches!(search.step(Store::Failed, NOW), Step::Ask(_)));
}

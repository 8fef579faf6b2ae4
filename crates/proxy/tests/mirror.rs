//! The copy of the store's content that a proxy serves to its followers.

use std::{sync::Arc, time::Duration};

use dandelionpitch_engine::{
    feed::{Budget, Source},
    mirror::{Change, Item, Mirror, Progress, Update},
    time::Moment,
};
use dandelionpitch_platform::{
    feed::{Request, Response},
    store::Value,
    Error,
};
use dandelionpitch_proxy::line::{clock, mirror::Handle};

const CONFIG: &str = "op/config";

/// A configuration of `routes` routes, of some 60 bytes each.
fn configuration(version: u64, routes: usize) -> Value {
    let route = |index| {
        format!("{{\"name\":\"route-{index}\",\"service\":\"ledger\",\"timeout_ms\":{version}}}")
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    Arc::new(
        format!(
            "{{\"version\":{version},\"routes\":[{}]}}",
            routes.join(",")
        )
        .into_bytes(),
    )
}

/// Changes of the configuration, each with its revision and number of routes.
fn changes(versions: &[(u64, usize)]) -> Update<Value> {
    let written = |(revision, routes): &(u64, usize)| {
        Change::Written(Item {
            key: CONFIG.to_owned(),
            value: configuration(*revision, *routes),
            revision: *revision,
        })
    };
    Update {
        revision: versions.last().map_or(0, |(revision, _)| *revision),
        is_snapshot: false,
        changes: versions.iter().map(written).collect(),
    }
}

/// A store's content that takes several parts to send: servers, and a configuration that was written before
/// them.
fn listed_store() -> Update<Value> {
    let servers = (1..=300).map(|revision| {
        Change::Written(Item {
            key: format!("servers/i-{revision}"),
            value: configuration(revision, 10),
            revision,
        })
    });
    Update {
        revision: 400,
        is_snapshot: true,
        changes: changes(&[(1, 1_000)])
            .changes
            .into_iter()
            .chain(servers)
            .collect(),
    }
}

/// An empty copy of the store's content.
fn handle() -> Handle {
    Handle::new(Budget::new(Duration::from_secs(3)).max_relay_age)
}

/// A relay that has received these batches of changes from the store.
fn relay(batches: &[&[(u64, usize)]]) -> Handle {
    let relay = handle();
    for versions in batches {
        relay.apply(&Source::Store, &changes(versions), clock::now());
    }
    relay
}

/// Copies the relay's content from nothing; returns the number of parts, or `None` if the relay refuses one.
async fn copy(relay: &Handle, follower: &Handle) -> Option<usize> {
    let mut progress = Progress::default();
    let source = Source::Peer("relay".to_owned());
    for parts in 1.. {
        let wait = Duration::ZERO;
        let sent = relay.respond(Request { progress, wait }).await;
        let sent = sent.expect("the response encodes")?;
        let mut rows = Vec::new();
        let written = sent.changes.write(sent.timing, &mut rows);
        written.expect("the response encodes");
        let response = Response::read(&rows, |key| follower.current(key));
        let part = response.expect("the response parses").part;
        follower.apply(&source, &part.update, clock::now());
        progress.advance(&part);
        if !part.has_more {
            return Some(parts);
        }
    }
    None
}

/// Brings the follower up to date with the relay.
async fn follow(relay: &Handle, follower: &Handle) -> Result<(), Error> {
    let request = Request {
        progress: follower.revision().into(),
        wait: Duration::ZERO,
    };
    let sent = relay.respond(request).await?.expect("the relay serves");
    let mut rows = Vec::new();
    sent.changes.write(sent.timing, &mut rows)?;
    let response = Response::read(&rows, |key| follower.current(key))?;
    let source = Source::Peer("relay".to_owned());
    follower.apply(&source, &response.part.update, clock::now());
    Ok(())
}

/// Guards against a delta to a version that the follower does not have: the relay keeps no small versions
/// for deltas, and took an earlier, larger one for the follower's.
#[tokio::test]
async fn follower_of_a_small_version_gets_the_large_one_after_it() {
    let relay = relay(&[&[(10, 100)], &[(11, 100)], &[(12, 5)]]);
    let follower = handle();
    follow(&relay, &follower).await.expect("the first copy");

    relay.apply(&Source::Store, &changes(&[(13, 100)]), clock::now());
    let followed = follow(&relay, &follower).await;

    assert!(followed.is_ok(), "{followed:?}");
    assert_eq!(follower.current(CONFIG), relay.current(CONFIG));
}

/// Guards against a delta to a version that the follower does not have: the relay was behind the proxy that
/// the follower followed before, and received two versions at once.
#[tokio::test]
async fn follower_that_was_ahead_of_its_new_relay_gets_the_next_version() {
    let former = relay(&[&[(10, 100)], &[(11, 101)]]);
    let behind = relay(&[&[(10, 100)]]);
    let follower = handle();
    follow(&former, &follower).await.expect("the first copy");

    behind.apply(
        &Source::Store,
        &changes(&[(11, 101), (12, 102)]),
        clock::now(),
    );
    let followed = follow(&behind, &follower).await;

    assert!(followed.is_ok(), "{followed:?}");
    assert_eq!(follower.current(CONFIG), behind.current(CONFIG));
}

/// A follower that has the version before gets a delta, even if the relay received later ones at once.
#[tokio::test]
async fn follower_of_a_known_version_gets_a_delta() {
    let relay = relay(&[&[(10, 1_000)]]);
    let follower = handle();
    follow(&relay, &follower).await.expect("the first copy");

    relay.apply(
        &Source::Store,
        &changes(&[(11, 1_001), (12, 1_002)]),
        clock::now(),
    );
    let request = Request {
        progress: follower.revision().into(),
        wait: Duration::ZERO,
    };
    let sent = relay.respond(request).await.expect("the response encodes");
    let mut rows = Vec::new();
    let sent = sent.expect("the relay serves");
    sent.changes
        .write(sent.timing, &mut rows)
        .expect("the response encodes");

    assert!(rows.windows(8).any(|part| part == b"\"delta\":"));
    follow(&relay, &follower).await.expect("the delta applies");
    assert_eq!(follower.current(CONFIG), relay.current(CONFIG));
}

/// Guards against a relay that has just listed the store and refuses the second part of a copy: it took the
/// proxy that copies from nothing for one that missed removals, and all of them listed the store instead.
#[tokio::test]
async fn relay_that_has_just_listed_the_store_serves_a_copy_in_parts() {
    let relay = handle();
    relay.apply(&Source::Store, &listed_store(), clock::now());
    let follower = handle();

    let parts = copy(&relay, &follower).await;

    assert!(parts.is_some_and(|parts| parts > 1), "{parts:?}");
    assert_eq!(follower.content(), relay.content());
}

/// Copies the seed's content from nothing; returns it and the age that the seed told last, or `None` if the
/// seed refuses a part.
fn copy_from_seed(seed: &Handle) -> Option<(Mirror<Value>, Duration)> {
    let mut copied = Mirror::default();
    let mut progress = Progress::default();
    loop {
        let sent = seed
            .respond_with_copy(progress)
            .expect("the response encodes")?;
        let mut rows = Vec::new();
        let written = sent.changes.write(sent.timing, &mut rows);
        written.expect("the response encodes");
        let response = Response::read(&rows, |_| None).expect("the response has no deltas");
        copied.apply(&response.part.update);
        progress.advance(&response.part);
        if !response.part.has_more {
            return Some((copied, response.timing.age));
        }
    }
}

/// The store has been down for ten seconds. Guards against proxies that start meanwhile and have no content
/// although live ones do, and against content that looks newer than it is.
#[tokio::test]
async fn copy_of_any_age_is_served_with_its_age() {
    let seed = handle();
    let age = Duration::from_secs(10);
    seed.apply(&Source::Store, &listed_store(), clock::now() - age);
    seed.note_source_lost();
    let request = Request {
        progress: Progress::default(),
        wait: Duration::ZERO,
    };

    let followed = seed.respond(request).await.expect("the response encodes");
    let copied = copy_from_seed(&seed);

    assert!(followed.is_none(), "an old copy is served to a follower");
    let (content, told) = copied.expect("the seed serves its copy");
    assert_eq!(content.since(0).changes, seed.content());
    assert!(told >= age, "{told:?}");
}

/// Guards against a proxy that takes what another starting one has copied so far for the whole content.
#[tokio::test]
async fn incomplete_copy_is_not_served() {
    let (relay, seed) = (handle(), handle());
    relay.apply(&Source::Store, &listed_store(), clock::now());
    let part = relay.respond_with_copy(Progress::default());
    let part = part
        .expect("the response encodes")
        .expect("the relay serves");
    let mut rows = Vec::new();
    part.changes.write(part.timing, &mut rows).expect("writes");
    let part = Response::read(&rows, |_| None).expect("parses").part;
    let source = Source::Peer("relay".to_owned());
    seed.apply(&source, &part.update, Moment::default());

    let before = copy_from_seed(&seed);
    let copied = copy_from_seed(&relay).expect("the relay serves");
    let adopted = seed.adopt(copied.0.clone(), clock::now());
    let adopted_again = seed.adopt(Mirror::default(), clock::now());

    assert!(part.has_more && before.is_none(), "{before:?}");
    assert!(adopted && !adopted_again);
    let after = copy_from_seed(&seed).expect("the copy is complete");
    assert_eq!(after.0.since(0).changes, relay.content());
}

/// The configuration is replaced while a proxy copies the content in parts. Guards against a delta to the
/// version before, which that proxy has not received.
#[tokio::test]
async fn proxy_that_copies_in_parts_gets_whole_values() {
    let relay = handle();
    relay.apply(&Source::Store, &listed_store(), clock::now());
    relay.apply(&Source::Store, &changes(&[(401, 1_001)]), clock::now());

    let seeded = copy_from_seed(&relay).expect("the relay serves");
    let follower = handle();
    let parts = copy(&relay, &follower).await;

    assert_eq!(seeded.0.since(0).changes, relay.content());
    assert!(parts.is_some_and(|parts| parts > 1), "{parts:?}");
    assert_eq!(follower.content(), relay.content());
}

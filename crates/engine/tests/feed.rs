//! From whom a proxy hears what changed in the store.

use std::{net::SocketAddr, time::Duration};

use dandelionpitch_engine::{
    feed::{self, Failures, Source, Subscription, MAX_RELAY_AGE, POLL_TIMEOUT},
    ownership::Peer,
    roster::LIST_VALIDITY,
    time::Moment,
};

fn at(millis: u64) -> Moment {
    Moment::from_boot(Duration::from_millis(millis))
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Proxies `DC-0` and on in each data centre, every third one strong.
fn fleet(dcs: &[&str], each: u16) -> Vec<Peer> {
    let peer = |(dc, n): (&str, u16)| Peer {
        id: format!("{dc}-{n}"),
        dc: dc.to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], n)),
        capacity: match n % 3 {
            0 => 1_000.0,
            _ => 300.0,
        },
    };
    let all = dcs.iter().flat_map(|dc| (0..each).map(move |n| (*dc, n)));
    all.map(peer).collect()
}

/// Hundreds of proxies start, are restarted in turn, and each writes its entry. If each watched the store,
/// every entry would cost a call for each of them; a few of each data centre do, however many there are.
#[test]
fn watches_do_not_grow_with_the_fleet() {
    for each in [10, 100] {
        let peers = fleet(&["a", "b", "c"], each);

        let watching = peers
            .iter()
            .filter(|peer| Subscription::new(&peers, &peer.id, &peer.dc).is_relay);

        assert_eq!(watching.count(), 6, "{each} in each data centre");
    }
}

/// Each change goes out from a feeder once for each follower, so weak VMs are not asked to, and the
/// followers are spread over the feeders.
#[test]
fn strong_proxies_feed_and_share_the_followers() {
    let peers = fleet(&["a", "b"], 40);
    let relays = feed::relays(&peers, "a");
    let subscriptions = peers.iter().filter(|peer| peer.dc == "a").map(|peer| {
        let subscription = Subscription::new(&peers, &peer.id, "a");
        subscription.sources.into_iter().next()
    });

    let first = Source::Peer(relays[0].id.clone());
    let asked = subscriptions
        .filter(|source| source.as_ref() == Some(&first))
        .count();

    assert!(relays.iter().all(|peer| peer.capacity > 500.0));
    assert!((10..=30).contains(&asked), "{asked} of 38 ask the first");
}

/// A few proxies in each data centre, as today: nothing changes for those that are as many as the feeders.
#[test]
fn few_proxies_watch_for_themselves() {
    let peers = fleet(&["a", "b", "c"], 2);

    let subscriptions = peers
        .iter()
        .map(|p| Subscription::new(&peers, &p.id, &p.dc));

    assert!(subscriptions
        .into_iter()
        .all(|p| p.is_relay && p.sources[0] == Source::Store));
}

/// A proxy that has just started is not among the others yet. It does not become one more feeder.
#[test]
fn starting_proxy_follows() {
    let peers = fleet(&["a", "b"], 10);

    assert!(!Subscription::new(&peers, "a-new", "a").is_relay);
    assert!(Subscription::new(&[], "a-new", "a").is_relay);
}

/// Both feeders of a data centre are lost. Its followers ask those of others next, and the store last: it may be
/// away itself, and hundreds of calls would meet it as it returns. When a feeder's rest is over
/// they go back to it.
#[test]
fn lost_feeders_are_passed_over_and_asked_again() {
    let peers = fleet(&["a", "b", "c"], 10);
    let subscription = Subscription::new(&peers, "a-1", "a");
    let mut failures = Failures::default();
    let mut asked = Vec::new();
    for _ in 0..subscription.sources.len() {
        let source = failures.choose(&subscription, at(1_000));
        failures.record(&source, at(1_000));
        asked.push(source);
    }

    let meanwhile = failures.choose(&subscription, at(1_500));
    let later = failures.choose(&subscription, at(2_100));

    assert_eq!(asked, subscription.sources);
    assert_eq!(asked.last(), Some(&Source::Store));
    assert!(failures.is_backing_off(&meanwhile, &subscription, at(1_500)));
    assert_eq!(later, subscription.sources[0]);
}

/// The store is away for ten seconds. Of its followers' questions few meet the store itself.
#[test]
fn followers_leave_an_absent_store_alone() {
    let peers = fleet(&["a", "b", "c"], 10);
    let subscription = Subscription::new(&peers, "a-1", "a");
    let mut failures = Failures::default();
    let mut calls = 0;
    for now in (0..10_000).step_by(250) {
        let source = failures.choose(&subscription, at(now));
        calls += usize::from(source == Source::Store);
        failures.record(&source, at(now));
    }

    assert!(calls <= 3, "{calls} calls");
}

/// A feeder that the store turns away hears of changes from another one meanwhile.
#[test]
fn feeder_without_the_store_follows() {
    let peers = fleet(&["a", "b"], 10);
    let own = feed::relays(&peers, "a")[0].id.clone();
    let subscription = Subscription::new(&peers, &own, "a");
    let mut failures = Failures::default();

    let first = failures.choose(&subscription, at(1_000));
    failures.record(&first, at(1_000));
    let second = failures.choose(&subscription, at(1_000));

    assert_eq!(first, Source::Store);
    assert!(matches!(second, Source::Peer(id) if id.starts_with('a') && id != own));
}

/// The feeder knew of everything 700 ms before its answer, which it gave 1 s after it was asked; then the answer
/// was held up, or the follower was suspended, for 5 s. What it says holds up to 300 ms after
/// the question, not up to the moment at which it was taken up.
#[test]
fn held_up_answers_are_as_old_as_they_are() {
    let asked = at(10_000);

    let known = feed::known_until(asked, millis(1_000), millis(700));

    assert_eq!(known, at(10_300));
}

/// In a calm hour nothing changes, and the list of servers that a follower has must still be young enough to
/// go by, just before the next answer.
#[test]
fn calm_hours_keep_lists_young() {
    let feeder = 2 * POLL_TIMEOUT;
    let follower = feeder + POLL_TIMEOUT;

    assert!(feeder < MAX_RELAY_AGE);
    assert!(follower + millis(500) < LIST_VALIDITY);
}

//! Which source a proxy follows for changes of the store, and how current a response makes it.

use std::{net::SocketAddr, time::Duration};

use dandelionpitch_engine::{
    feed::{
        self, Budget, Failures, Source, Start, Subscription, MAX_RELAY_AGE, POLL_TIMEOUT,
        RELAY_GRACE,
    },
    ownership::Peer,
    roster::LIST_VALIDITY,
    time::Moment,
};
use yare::parameterized;

fn at(millis: u64) -> Moment {
    Moment::from_boot(Duration::from_millis(millis))
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// `per_dc` proxies in each data centre, named `DC-0`, `DC-1` and so on. Every third one has a higher
/// capacity than the others.
fn fleet(dcs: &[&str], per_dc: u16) -> Vec<Peer> {
    let peer = |(dc, n): (&str, u16)| Peer {
        id: format!("{dc}-{n}"),
        dc: dc.to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], n)),
        capacity: match n % 3 {
            0 => 1_000.0,
            _ => 300.0,
        },
    };
    let all = dcs.iter().flat_map(|dc| (0..per_dc).map(move |n| (*dc, n)));
    all.map(peer).collect()
}

/// If every proxy watched the store, each entry written by a starting proxy would cost the store one
/// response per proxy.
#[test]
fn number_of_watches_does_not_grow_with_the_number_of_proxies() {
    for per_dc in [10, 100] {
        let peers = fleet(&["a", "b", "c"], per_dc);

        let relays = peers
            .iter()
            .filter(|peer| Subscription::new(&peers, &peer.id, &peer.dc).is_relay);

        assert_eq!(relays.count(), 6, "{per_dc} in each data centre");
    }
}

/// A relay sends each change to all its followers, so VMs with little capacity must not be relays, and
/// the followers must be spread over the relays.
#[test]
fn proxies_with_the_highest_capacity_are_relays_and_share_the_followers() {
    let peers = fleet(&["a", "b"], 40);
    let relays = feed::relays(&peers, "a");
    let subscriptions = peers.iter().filter(|peer| peer.dc == "a").map(|peer| {
        let subscription = Subscription::new(&peers, &peer.id, "a");
        subscription.sources.into_iter().next()
    });

    let first = Source::Peer(relays[0].id.clone());
    let followers = subscriptions
        .filter(|source| source.as_ref() == Some(&first))
        .count();

    assert!(relays.iter().all(|peer| peer.capacity > 500.0));
    assert!(
        (10..=30).contains(&followers),
        "{followers} of 38 follow the first relay"
    );
}

/// In a data centre with no more proxies than relays, every proxy watches the store itself.
#[test]
fn all_of_a_few_proxies_watch_the_store() {
    let peers = fleet(&["a", "b", "c"], 2);

    let subscriptions = peers
        .iter()
        .map(|p| Subscription::new(&peers, &p.id, &p.dc));

    assert!(subscriptions
        .into_iter()
        .all(|p| p.is_relay && p.sources[0] == Source::Store));
}

/// A starting proxy, which is not in the list yet, must not become an additional relay.
#[test]
fn starting_proxy_is_a_follower() {
    let peers = fleet(&["a", "b"], 10);

    assert!(!Subscription::new(&peers, "a-new", "a").is_relay);
    assert!(!Subscription::new(&peers[..1], "a-new", "a").is_relay);
    assert!(Subscription::new(&[], "a-new", "a").is_relay);
}

/// Both relays of a data centre fail. Its followers try relays of other data centres next and the store
/// last, since hundreds of requests could overload it as it recovers. They return to a relay of their own
/// data centre after its backoff.
#[test]
fn failed_relays_are_skipped_until_their_backoff_ends() {
    let peers = fleet(&["a", "b", "c"], 10);
    let subscription = Subscription::new(&peers, "a-1", "a");
    let mut failures = Failures::default();
    let mut tried = Vec::new();
    for _ in 0..subscription.sources.len() {
        let source = failures.choose(&subscription, at(1_000));
        failures.record(&source, at(1_000));
        tried.push(source);
    }

    let meanwhile = failures.choose(&subscription, at(1_500));
    let later = failures.choose(&subscription, at(2_100));

    assert_eq!(tried, subscription.sources);
    assert_eq!(tried.last(), Some(&Source::Store));
    assert!(failures.is_backing_off(&meanwhile, &subscription, at(1_500)));
    assert_eq!(later, subscription.sources[0]);
}

/// All sources fail for ten seconds. Guards against followers that overload an unreachable store.
#[test]
fn followers_rarely_call_an_unreachable_store() {
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

/// A relay that cannot reach the store follows another relay of its data centre.
#[test]
fn relay_without_the_store_follows_another_relay() {
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

/// The relay responds 1 s after the request and may have missed the changes of the last 700 ms. The
/// response makes the follower current up to 300 ms after the request, however late it is processed.
#[test]
fn delayed_response_does_not_look_more_recent() {
    let asked = at(10_000);

    let synced_until = feed::synced_until(asked, millis(1_000), millis(700));

    assert_eq!(synced_until, at(10_300));
}

/// While nothing changes, a follower's list of servers must stay valid until its next poll ends.
#[test]
fn list_stays_valid_between_long_polls() {
    let relay_age = 2 * POLL_TIMEOUT;
    let follower_age = relay_age + POLL_TIMEOUT;

    assert!(relay_age < MAX_RELAY_AGE);
    assert!(follower_age + millis(500) < LIST_VALIDITY);
}

/// A follower's relay answers with the oldest copy that it may serve and then falls silent. Guards against a
/// configuration that is applied too late because the relay had lost the store before: the follower must be
/// able to ask the store within the deadline.
#[parameterized(
    short = { 2_500 },
    usual = { 3_000 },
    grown = { 5_000 },
    large = { 8_000 },
)]
fn follower_of_a_stale_relay_asks_the_store_within_the_deadline(deadline_ms: u64) {
    let budget = Budget::new(millis(deadline_ms));
    let answered = at(100_000);
    let synced_until = answered - budget.max_relay_age;
    let given_up = answered + budget.relay_poll + RELAY_GRACE;
    let failures = Failures::default();

    let mut asked = given_up;
    while !failures.is_store_due(&budget, synced_until, asked) {
        asked = asked + RELAY_GRACE;
    }

    let deadline = synced_until + millis(deadline_ms);
    assert!(asked < deadline, "{:?} too late", asked.since(deadline));
}

/// While nothing fails, a relay's copy must not become too old to be served between its polls, nor a
/// follower's so old that it asks the store.
#[parameterized(
    usual = { 3_000 },
    grown = { 5_000 },
    large = { 8_000 },
)]
fn copies_stay_current_while_nothing_fails(deadline_ms: u64) {
    let budget = Budget::new(millis(deadline_ms));
    let relay_age = 2 * budget.store_poll;
    let follower_age = relay_age + budget.relay_poll;
    let now = at(100_000);

    let is_store_due = Failures::default().is_store_due(&budget, now - follower_age, now);

    assert!(relay_age < budget.max_relay_age);
    assert!(!is_store_due);
}

/// The store fails, and with it all relays. Guards against all followers that ask a store that has just
/// become available again, which the relays notice first.
#[test]
fn followers_do_not_ask_a_failed_store_before_their_relays() {
    let budget = Budget::new(millis(3_000));
    let mut failures = Failures::default();
    let synced_until = at(10_000);
    failures.record(&Source::Store, at(12_600));

    let in_outage = failures.is_store_due(&budget, synced_until, at(13_000));
    failures.record(&Source::Peer("a-1".to_owned()), at(20_000));
    let in_long_outage = failures.is_store_due(&budget, synced_until, at(20_000));
    let once_followed_again = failures.is_store_due(&budget, at(21_000), at(24_000));

    assert!(!in_outage);
    assert!(!in_long_outage);
    assert!(once_followed_again);
}

/// All proxies start at once and wait until a relay's copy has the entries written meanwhile. Guards against
/// callers that are refused for as long as a relay of a running deployment batches changes.
#[test]
fn relay_that_has_just_started_does_not_delay_the_others() {
    let at_start = feed::batch_interval(millis(50));
    let later = feed::batch_interval(millis(10_000));

    assert!(at_start <= millis(100), "{at_start:?}");
    assert!(later >= millis(500), "{later:?}");
}

/// All proxies of a deployment start at once, and no relay is announced. Guards against hundreds that list
/// the store together: at twice the size, as few may find no relay when their wait has passed.
#[parameterized(
    fleet = { 200, 10 },
    twice_the_fleet = { 400, 20 },
)]
fn few_proxies_list_the_store_when_all_start(weak: usize, strong: usize) {
    const CALL: Duration = Duration::from_millis(12);
    let proxy = |index: usize| Peer {
        id: format!("proxy-{index:03}"),
        dc: "a".to_owned(),
        address: ([127, 0, 0, 1], 5000).into(),
        capacity: match index < strong {
            true => 2_500.0,
            false => 300.0,
        },
    };
    let wait = |peer: &Peer| match Start::new(Vec::new(), &peer.id, "a", peer.capacity) {
        Start::Wait(delay) => delay,
        other => panic!("{other:?}"),
    };

    let waits: Vec<Duration> = (0..weak + strong)
        .map(|index| wait(&proxy(index)))
        .collect();
    let first = waits.iter().min().expect("there are proxies");
    let listing = waits.iter().filter(|delay| **delay < *first + CALL).count();

    assert!(listing <= 6, "{listing} proxies list the store");
    assert!(waits
        .iter()
        .all(|delay| *delay <= Duration::from_millis(1_500)));
}

/// A relay restarted, and the others wait for its content. Guards against a relay that waits for itself, and
/// against followers that copy from a far data centre while there is a relay in their own.
#[test]
fn restarted_relay_lists_the_store_and_others_copy_from_the_nearest() {
    let relay = |id: &str, dc: &str| Peer {
        id: id.to_owned(),
        dc: dc.to_owned(),
        address: ([127, 0, 0, 1], 5000).into(),
        capacity: 600.0,
    };
    let relays = vec![relay("far", "b"), relay("near", "a")];

    let own = Start::new(relays.clone(), "near", "a", 600.0);
    let other = Start::new(relays.clone(), "other", "a", 600.0);
    let without_local = Start::new(relays, "other", "c", 600.0);

    assert_eq!(own, Start::List);
    assert_eq!(
        other,
        Start::Copy(vec![relay("near", "a"), relay("far", "b")])
    );
    assert!(matches!(without_local, Start::Wait(_)));
}

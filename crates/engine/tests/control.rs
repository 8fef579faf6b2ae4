//! Decisions about the surroundings: servers come and go, the duty, a data centre cut off, versions.

use std::time::Duration;

use dandelionpitch_engine::{
    catalog::Catalog,
    election::{claim_delay, Election, LEASE_TTL},
    isolation::{Isolation, BALANCER_DELAY, ISOLATED_AFTER},
    registry::{Incarnation, Registry, Role, Server, MISSING_TIMEOUT},
    takeover::PROMOTION_COOLDOWN,
    time::Moment,
};

fn at(millis: u64) -> Moment {
    Moment::from_boot(Duration::from_millis(100_000 + millis))
}

fn server(id: &str) -> Server {
    Server {
        incarnation: id.into(),
        service: "ledger".to_owned(),
        address: ([127, 0, 0, 1], 5000).into(),
        dc: "dc-1".to_owned(),
        slots: 5,
        role: Role::Replica,
        leaving: false,
    }
}

fn registry(ids: &[&str]) -> Registry {
    let mut registry = Registry::default();
    for id in ids {
        registry.put(server(id), at(0));
    }
    registry
}

/// The store was down, all entries lapsed, and on its return the list is empty for two seconds.
/// Traffic must go on to the servers meanwhile.
#[test]
fn entries_that_lapsed_in_an_outage_are_kept_until_they_are_back() {
    let mut registry = registry(&["a", "b"]);
    registry.replace(Vec::new(), at(1_000));

    let gone = registry.expire(at(3_000));
    registry.replace(vec![server("a")], at(3_100));
    let later = registry.expire(at(1_000) + MISSING_TIMEOUT);

    assert!(gone.is_empty());
    assert_eq!(later, ["b"]);
    assert_eq!(registry.len(), 1);
}

/// The store goes out of reach again while entries are missing: time in which nothing could be read
/// does not count against them.
#[test]
fn outage_starts_the_return_period_anew() {
    let mut registry = registry(&["a"]);
    registry.mark_missing("a", at(0));

    registry.restart_expiry(at(9_000));

    assert!(registry.expire(at(10_000)).is_empty());
}

/// A server that leaves is remembered as leaving since the first sign.
#[test]
fn leaving_is_counted_from_the_first_sign() {
    let mut registry = registry(&[]);
    let leaving = Server {
        leaving: true,
        ..server("a")
    };
    registry.put(leaving.clone(), at(0));
    let primary = Server {
        role: Role::Primary,
        ..leaving
    };
    registry.put(primary, at(500));

    assert_eq!(registry.servers_of("ledger")[0].leaving_since, Some(at(0)));
}

/// The store turns a proxy away for nine seconds. Meanwhile a server says that it leaves, and when the
/// proxy hears of it, it may have said so right after the proxy's last look: seven seconds after its
/// word, its last reads would run on a server that is about to end.
#[test]
fn server_found_leaving_after_an_outage_gets_no_new_work() {
    let leaving = Server {
        leaving: true,
        ..server("a")
    };
    let mut registry = registry(&["a"]);
    registry.note_synced(at(0));
    let mut watching = registry.clone();
    watching.note_synced(at(8_900));

    registry.put(leaving.clone(), at(9_000));
    watching.put(leaving, at(9_000));

    assert!(!registry.servers_of("ledger")[0].takes_work(at(9_000)));
    assert!(watching.servers_of("ledger")[0].takes_work(at(9_000)));
    assert!(watching.servers_of("ledger")[0].takes_work(at(13_800)));
    assert!(!watching.servers_of("ledger")[0].takes_work(at(14_000)));
}

/// A process starts and finds a server leaving: since when, it cannot know.
#[test]
fn server_found_leaving_at_the_start_gets_no_work() {
    let mut registry = Registry::default();
    registry.note_synced(Moment::default());
    let leaving = Server {
        leaving: true,
        ..server("a")
    };

    registry.replace(vec![leaving, server("b")], at(0));

    let takes = registry
        .servers_of("ledger")
        .iter()
        .map(|e| e.takes_work(at(0)))
        .collect::<Vec<_>>();
    assert_eq!(takes, [false, true]);
}

/// A stale read of the store brings an older version after a newer one was in force.
#[test]
fn older_version_never_replaces_a_newer_one() {
    let version = |version| Catalog {
        version,
        ..Catalog::default()
    };

    assert!(version(1).replaces(None));
    assert!(version(7).replaces(Some(&version(3))));
    assert!(!version(3).replaces(Some(&version(7))));
    assert!(!version(7).replaces(Some(&version(7))));
}

/// The holder of the duty is suspended; it wakes after its lease has ended and another process has
/// promoted. It must not act on its old token.
#[test]
fn suspended_holder_has_no_token() {
    let mut duty = Election::default();
    duty.note_renewal(at(0));
    duty.note_won("a", 7);

    let before = duty.token(at(1_000));
    let after = duty.token(at(0) + LEASE_TTL);

    assert_eq!((before, after), (Some(7), None));
}

/// The store takes the key away without a word, and another process writes it: the first sees it.
#[test]
fn holder_whose_key_is_rewritten_has_no_token() {
    let mut duty = Election::default();
    duty.note_renewal(at(0));
    duty.note_won("a", 7);

    duty.note_holder(Some(("b", 9)));

    assert_eq!(duty.token(at(100)), None);
    assert!(!duty.can_acquire(at(100)));
}

#[test]
fn duty_is_claimed_only_under_a_lease_that_lasts() {
    let mut duty = Election::default();
    let without = duty.can_acquire(at(0));
    duty.note_renewal(at(0));

    assert!(!without);
    assert!(duty.can_acquire(at(100)));
    assert!(!duty.can_acquire(at(0) + LEASE_TTL));
}

/// A holder is cut off while proxies are restarted in turn. Of those that see the duty free, one that
/// has just started would have to wait until it may replace a primary that another has promoted, so
/// those that have run for longer claim first.
#[test]
fn process_that_has_just_started_claims_last() {
    let (young, old) = (Duration::from_millis(430), PROMOTION_COOLDOWN);

    assert!(claim_delay(young, true) > claim_delay(old, true) + Duration::from_millis(250));
    assert_eq!(claim_delay(old, true), Duration::ZERO);
}

/// A data centre is cut off: its proxies send new callers away once they are sure, resting ones
/// once the balancer has noticed, and take them back as soon as anything outside answers.
#[test]
fn proxy_that_reaches_nothing_outside_sends_callers_elsewhere() {
    let mut isolation = Isolation::default();
    isolation.note(false, at(0));
    let first = isolation.is_isolated(at(0));
    isolation.note(false, at(500));
    let sure = at(0) + ISOLATED_AFTER;
    let noticed = sure + BALANCER_DELAY;

    assert!(!first);
    assert!(isolation.is_isolated(sure));
    assert!(!isolation.should_close_sessions(sure));
    assert!(isolation.should_close_sessions(noticed));
    isolation.note(true, noticed);
    assert!(!isolation.is_isolated(noticed));
}

fn life(id: &str, born: u64, leaving: bool) -> Server {
    Server {
        incarnation: Incarnation {
            id: id.to_owned(),
            born,
        },
        leaving,
        ..server(id)
    }
}

/// A server that was leaving crashes and starts again under its id. Its new life takes work, and a
/// heartbeat of the earlier one that arrives late does not bring that back.
#[test]
fn late_heartbeat_of_an_earlier_life_changes_nothing() {
    let mut registry = Registry::default();
    registry.put(life("a", 1_000, true), at(0));

    let began = registry.put(life("a", 2_000, false), at(8_000));
    let late = registry.put(life("a", 1_000, true), at(8_100));
    let entry = registry.servers_of("ledger").remove(0);

    assert!(began && !late);
    assert_eq!(entry.server.incarnation.born, 2_000);
    assert!(entry.takes_work(at(20_000)));
}

/// The store came back from a copy, without the holder's key. Guards against a second holder who promotes
/// while the first, who has not heard of it, still relies on its lease.
#[test]
fn duty_is_left_alone_until_a_lost_lease_has_run_out() {
    let mut duty = Election::default();
    duty.note_renewal(at(0));
    duty.note_won("a", 7);

    duty.note_store_restored(at(1_000));
    duty.note_holder(None);

    assert_eq!(duty.token(at(1_000)), None);
    assert!(!duty.may_claim(at(1_000) + LEASE_TTL - Duration::from_millis(1)));
    assert!(duty.may_claim(at(1_000) + LEASE_TTL));
}

/// A server said that it leaves, and the store came back from a copy of before. Guards against new work for
/// it until it has said so again; what it then writes counts.
#[test]
fn server_that_leaves_goes_on_leaving_after_a_restore() {
    let mut registry = registry(&["a"]);
    let mut leaving = server("a");
    leaving.leaving = true;
    registry.put(leaving, at(100));

    registry.restore(vec![server("a")], at(200));
    let restored = registry.servers_of("ledger")[0].server.leaving;
    registry.put(server("a"), at(300));

    assert!(restored);
    assert!(!registry.servers_of("ledger")[0].server.leaving);
}

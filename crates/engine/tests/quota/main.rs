//! Quotas over several proxies: what all of them admit together, and that an account gets what it is
//! allowed wherever its callers connect.

mod model;

use std::{net::SocketAddr, time::Duration};

use dandelionpitch_engine::{
    account::{Account, Directory, Limit},
    ownership::Peer,
    quota::{Batch, Decision, Ledger, Permits, Tolerance},
    time::Moment,
};
use model::{most_admitted, Missing, Model};
use proptest::prelude::*;

const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(5),
    excess: 0.0,
    margin: 6.0,
};

const STEP: Duration = Duration::from_millis(20);

fn account() -> Account {
    Account {
        name: "pharmacy".to_owned(),
        limit: Limit {
            rate: 40.0,
            burst: 40.0,
        },
    }
}

fn peers(count: usize) -> Vec<Peer> {
    let peer = |index: usize| Peer {
        id: format!("proxy-{index}"),
        dc: "dc-1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16)),
        capacity: 1.0,
    };
    (0..count).map(peer).collect()
}

fn directory() -> Directory {
    let mut directory = Directory::default();
    directory.insert(account(), []);
    directory
}

/// A ledger of a process that started at `started_at`, and knows all proxies at `now`.
fn ledger(index: usize, count: usize, started_at: Moment, now: Moment) -> Ledger {
    let mut ledger = Ledger::new(&format!("proxy-{index}"), TOLERANCE, started_at);
    ledger.configure(&directory(), now);
    ledger.set_peers(&peers(count));
    ledger.set_members(Some(count), now);
    ledger
}

fn allowed() -> usize {
    TOLERANCE.allowed(&account().limit) as usize
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Restarts, freezes and partitions must not let proxies exceed a limit together.
    #[test]
    fn windows_stay_within_the_tolerance(seed in any::<u64>()) {
        let most = Model::new(seed, Missing::Nothing).run(Duration::from_secs(30));

        prop_assert!(most <= allowed(), "{most} operations, {} are allowed", allowed());
    }
}

#[yare::parameterized(
    restart_delay = { Missing::RestartDelay },
    term_from_request = { Missing::TermFromRequest },
    issue_time = { Missing::IssueTime },
)]
fn model_finds_a_missing_safeguard(missing: Missing) {
    let most = most_admitted(missing, 1..150);

    assert!(
        most > allowed(),
        "{most} operations, {} are allowed",
        allowed()
    );
}

/// An account that presses on a single proxy gets its whole limit, although every proxy issues only a
/// small part of the permits.
#[test]
fn one_proxy_gets_the_whole_limit_through_a_collector() {
    let mut model = Model::new(7, Missing::Nothing);
    let collector = (0..Model::PROXIES)
        .find(|index| {
            let own = format!("proxy-{index}");
            let all = peers(Model::PROXIES);
            let mut ledger = ledger(*index, Model::PROXIES, Moment::default(), model.now);
            all.iter().for_each(|peer| {
                ledger.lend(&peer.id, model.now);
            });
            ledger.sources("pharmacy", model.now).last() == Some(&own.as_str())
        })
        .expect("a collector");
    let caller = (collector + 1) % Model::PROXIES;
    let mut admitted = 0;

    for _ in 0..1_000 {
        model.now = model.now + STEP;
        if model.now.millis().is_multiple_of(500) {
            for other in 0..Model::PROXIES {
                (0..Model::PROXIES)
                    .filter(|index| *index != other)
                    .for_each(|index| {
                        let asked = model.now;
                        let loans = model.ledgers[index].lend(&format!("proxy-{other}"), asked);
                        model.ledgers[other].accept(
                            &format!("proxy-{index}"),
                            &loans,
                            asked,
                            asked,
                        );
                    });
            }
        }
        for _ in 0..2 {
            if let Decision::Draw { amount } = model.ledgers[caller].admit(&account(), model.now) {
                let granted = model.ledgers[collector].grant("pharmacy", amount, model.now);
                model.ledgers[caller].credit("pharmacy", &granted);
                let again = model.ledgers[caller].retry(&account(), model.now);
                admitted += usize::from(matches!(again, Decision::Admitted { .. }));
            } else {
                admitted += 1;
            }
        }
    }

    let rate = admitted as f64 / 20.0;
    // About 44 permits are issued per second with this tolerance.
    assert!(
        (43.0..=45.0).contains(&rate),
        "{rate} operations per second"
    );
}

/// A proxy that lost all others still admits its own part, and no more.
#[test]
fn cut_off_proxy_admits_its_part() {
    let start = Moment::from_boot(Duration::from_secs(100));
    let mut ledger = ledger(0, 2, Moment::default(), start);
    let mut admitted = 0;

    for step in 0..500 {
        let now = start + STEP * step;
        let decision = ledger.admit(&account(), now);
        admitted += usize::from(matches!(decision, Decision::Admitted { .. }));
    }

    assert!((215..=225).contains(&admitted), "{admitted} in 10 s");
}

/// A second burst after a restart would exceed the limit: a new process starts without permits.
#[test]
fn new_process_starts_without_permits() {
    let now = Moment::from_boot(Duration::from_secs(100));
    let mut ledger = ledger(0, 1, now, now);

    let first = ledger.admit(&account(), now);

    assert!(matches!(first, Decision::Draw { .. }), "{first:?}");
}

#[test]
fn permit_of_an_operation_that_did_not_run_is_given_back() {
    let start = Moment::from_boot(Duration::from_secs(100));
    let mut ledger = ledger(0, 1, Moment::default(), start);
    let now = start + Duration::from_millis(30);
    let Decision::Admitted { issued } = ledger.admit(&account(), now) else {
        panic!("a permit is issued within 30 ms");
    };
    assert!(matches!(
        ledger.retry(&account(), now),
        Decision::Draw { .. }
    ));

    ledger.refund("pharmacy", issued);

    assert!(matches!(
        ledger.retry(&account(), now),
        Decision::Admitted { .. }
    ));
}

#[test]
fn lowered_limit_applies_at_once() {
    let start = Moment::from_boot(Duration::from_secs(100));
    let mut ledger = ledger(0, 1, Moment::default(), start);
    let mut lowered = account();
    lowered.limit = Limit {
        rate: 1.0,
        burst: 1.0,
    };
    let mut accounts = Directory::default();
    accounts.insert(lowered.clone(), []);
    let changed_at = start + Duration::from_secs(1);
    ledger.configure(&accounts, changed_at);
    let mut admitted = 0;

    for step in 0..250 {
        let decision = ledger.admit(&lowered, changed_at + STEP * step);
        admitted += usize::from(matches!(decision, Decision::Admitted { .. }));
    }

    let allowed = TOLERANCE.allowed(&lowered.limit) as usize + 1;
    assert!(admitted <= allowed, "{admitted} in 5 s");
}

/// Guards against grants that have expired when they arrive.
#[test]
fn permits_for_other_proxies_are_the_newest() {
    let start = Moment::from_boot(Duration::from_secs(100));
    let mut ledger = ledger(0, 1, Moment::default(), start);
    let now = start + Duration::from_millis(390);

    let granted = ledger.grant("pharmacy", 1.0, now);

    let oldest = granted.iter().map(|batch| batch.issued).min();
    let age = oldest.map(|issued| now.since(issued));
    assert!(age < Some(Duration::from_millis(150)), "{age:?}");
}

#[test]
fn permits_are_taken_oldest_first() {
    let at = |ms| Moment::from_boot(Duration::from_millis(ms));
    let mut permits = Permits::default();
    for (ms, amount) in [(500, 1.0), (100, 0.5), (300, 1.0)] {
        permits.add(Batch {
            issued: at(ms),
            amount,
        });
    }

    let taken = permits.take(1.0);
    permits.drop_issued_before(at(400));

    let issued: Vec<Moment> = taken.iter().map(|batch| batch.issued).collect();
    assert_eq!(issued, [at(100), at(300)]);
    assert_eq!(permits.total(), 1.0);
}

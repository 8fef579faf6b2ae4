//! Operations for which there is no quota permit: which of them wait, and when refused callers return.

use std::{net::SocketAddr, time::Duration};

use dandelionpitch_engine::{
    account::{Account, Directory, Limit},
    ownership::Peer,
    quota::{Decision, Ledger, Remedy, Shortage, Tolerance, Urgency},
    time::Moment,
};

const STEP: Duration = Duration::from_millis(10);
const TARGET: Duration = Duration::from_millis(400);
const TIMEOUT: Duration = Duration::from_millis(2_400);

fn at(millis: u64) -> Moment {
    Moment::from_boot(Duration::from_millis(100_000 + millis))
}

fn urgency(arrived: Moment) -> Urgency {
    Urgency {
        due: arrived + TARGET,
        timeout: TIMEOUT,
    }
}

fn account() -> Account {
    Account {
        name: "museum".to_owned(),
        limit: Limit {
            rate: 40.0,
            burst: 40.0,
        },
    }
}

/// The ledger of a deployment's only proxy, which issues all permits.
fn ledger(now: Moment) -> Ledger {
    let tolerance = Tolerance {
        window: Duration::from_secs(5),
        excess: 0.1,
        margin: 20.0,
    };
    let mut ledger = Ledger::new("proxy-0", tolerance, now);
    let mut accounts = Directory::default();
    accounts.insert(account(), []);
    ledger.configure(&accounts, now);
    ledger.set_peers(&[Peer {
        id: "proxy-0".to_owned(),
        dc: "dc-1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        capacity: 1.0,
    }]);
    ledger.set_members(Some(1), now);
    ledger
}

/// What became of operations.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    in_time: usize,
    late: usize,
    refused: usize,
}

/// Plays operations that arrive at `arrivals`, in milliseconds. Those without a permit are refused, or waited
/// for if `waits`.
fn play(arrivals: &[u64], waits: bool) -> Outcome {
    let mut ledger = ledger(at(0));
    let mut outcome = Outcome::default();
    let mut waiting: Vec<(Moment, Moment)> = Vec::new();
    for step in 0..1_000 {
        let now = at(0) + STEP * step;
        let (due, later): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|(_, next)| *next <= now);
        waiting = later;
        let arrive = |millis: &&u64| at(**millis) == now;
        let arrived = arrivals.iter().filter(arrive).map(|_| (now, None));
        let again = due.into_iter().map(|(arrived, _)| (arrived, Some(())));
        for (arrived, is_retry) in again.chain(arrived) {
            let decision = match is_retry {
                Some(()) => ledger.retry(&account(), now),
                None => ledger.admit(&account(), now),
            };
            match decision {
                Decision::Admitted { .. } if now.since(arrived) <= TARGET => outcome.in_time += 1,
                Decision::Admitted { .. } => outcome.late += 1,
                Decision::Draw { .. } | Decision::Refused { .. } if waits => {
                    match ledger.remedy("museum", urgency(arrived), now) {
                        Remedy::Wait(delay) => waiting.push((arrived, now + delay)),
                        Remedy::Refuse(_) => outcome.refused += 1,
                    }
                }
                Decision::Draw { .. } | Decision::Refused { .. } => outcome.refused += 1,
            }
        }
    }
    outcome
}

/// After a restart of all proxies, the callers of a second return within 100 ms, while no permits have been
/// issued yet. Guards against refusals of an account that is far below its limit.
#[test]
fn spike_of_an_account_within_its_limit_is_served_in_time() {
    let spike: Vec<u64> = (0..20).map(|index| index / 2 * 10).collect();

    let refusing = play(&spike, false);
    let waiting = play(&spike, true);

    assert!(refusing.refused >= 15, "{refusing:?}");
    assert!(waiting.in_time >= 18 && waiting.late == 0, "{waiting:?}");
}

/// An account sends three times its limit for five seconds. Guards against a queue of operations that all wait
/// and are then too late: after a second, those without a permit are refused on arrival.
#[test]
fn operations_of_an_account_above_its_limit_do_not_wait_for_long() {
    let pressing: Vec<u64> = (0..600).map(|index| index * 25 / 3 / 10 * 10).collect();

    let outcome = play(&pressing, true);

    assert_eq!(outcome.late, 0, "{outcome:?}");
    assert!(outcome.refused > 250, "{outcome:?}");
    let mut shortage = Shortage::default();
    for millis in (0..=1_000).step_by(100) {
        shortage.note_denied(at(millis));
    }
    let remedy = shortage.remedy(urgency(at(1_000)), at(1_000));
    assert!(matches!(remedy, Remedy::Refuse(_)), "{remedy:?}");
}

/// An operation close to its target is refused at once, so that its caller has time for another attempt.
#[test]
fn operation_without_time_to_run_does_not_wait() {
    let mut shortage = Shortage::default();
    shortage.note_denied(at(0));

    let remedy = shortage.remedy(urgency(at(0)), at(300));

    assert!(matches!(remedy, Remedy::Refuse(_)), "{remedy:?}");
}

/// Guards against callers that are refused together, return together and are refused again: no more than a
/// quarter of them return within any tenth of the interval.
#[test]
fn refused_callers_return_one_after_the_other() {
    let mut shortage = Shortage::default();
    for millis in (0..=1_000).step_by(100) {
        shortage.note_denied(at(millis));
    }
    let mut returns = || match shortage.remedy(urgency(at(1_000)), at(1_000)) {
        Remedy::Refuse(retry_after) => retry_after,
        Remedy::Wait(_) => panic!("the shortage is no spike"),
    };

    let returns: Vec<Duration> = (0..40).map(|_| returns()).collect();

    let (first, last) = (Duration::from_millis(100), TIMEOUT / 4);
    assert!(returns.iter().all(|after| (first..=last).contains(after)));
    let tenth = (last - first) / 10;
    let crowded = returns.iter().map(|start| {
        let within = |after: &&Duration| **after >= *start && **after < *start + tenth;
        returns.iter().filter(within).count()
    });
    assert!(crowded.max() <= Some(10));
}

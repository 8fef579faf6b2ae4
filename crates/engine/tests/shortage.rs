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
        arrived,
        target: TARGET,
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
    /// Refused three times.
    lost: usize,
}

/// An operation that is tried, at `next` for the next time.
struct Operation {
    arrived: Moment,
    /// When its current attempt arrived.
    attempted: Moment,
    refusals: u32,
    next: Moment,
}

/// Plays operations that arrive at `arrivals`, in milliseconds. Those without a permit are refused, or waited
/// for if `waits`; a refused caller returns at the time that it is told, twice at most.
fn play(arrivals: &[u64], waits: bool) -> Outcome {
    let mut ledger = ledger(at(0));
    let mut outcome = Outcome::default();
    let operation = |millis: &u64| Operation {
        arrived: at(*millis),
        attempted: at(*millis),
        refusals: 0,
        next: at(*millis),
    };
    let mut waiting: Vec<Operation> = arrivals.iter().map(operation).collect();
    for step in 0..1_000 {
        let now = at(0) + STEP * step;
        let (due, later): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|op| op.next <= now);
        waiting = later;
        for mut operation in due {
            let retry_after = match ledger.admit(&account(), now) {
                Decision::Admitted { .. } if now.since(operation.arrived) <= TARGET => {
                    outcome.in_time += 1;
                    continue;
                }
                Decision::Admitted { .. } => {
                    outcome.late += 1;
                    continue;
                }
                Decision::Refused { retry_after } => retry_after,
                Decision::Draw { .. } => ledger.deny("museum", now),
            };
            let remedy = match waits {
                true => ledger.remedy("museum", urgency(operation.attempted), now),
                false => Remedy::Refuse(retry_after),
            };
            match remedy {
                Remedy::Wait(delay) => operation.next = now + delay,
                Remedy::Refuse(_) if operation.refusals == 2 => {
                    outcome.lost += 1;
                    continue;
                }
                Remedy::Refuse(retry_after) => {
                    operation.refusals += 1;
                    operation.next = now + retry_after;
                    operation.attempted = operation.next;
                }
            }
            waiting.push(operation);
        }
    }
    outcome
}

/// After a restart of all proxies, the callers of a second return within 100 ms, while no permits have been
/// issued yet. Guards against losing operations of an account that is far below its limit: of a rate of 40,
/// at least 8 are served within half of the target of 400 ms, and all others on a later attempt.
#[test]
fn spike_of_an_account_within_its_limit_is_served() {
    let spike: Vec<u64> = (0..20).map(|index| index / 2 * 10).collect();

    let refusing = play(&spike, false);
    let waiting = play(&spike, true);

    assert!(refusing.lost > 0, "{refusing:?}");
    assert!(waiting.lost == 0 && waiting.in_time >= 8, "{waiting:?}");
}

/// An account sends three times its limit for five seconds. Guards against a queue of operations that all wait
/// and are then too late: after a second, those without a permit are refused on arrival.
#[test]
fn operations_of_an_account_above_its_limit_do_not_wait_for_long() {
    let pressing: Vec<u64> = (0..600).map(|index| index * 25 / 3 / 10 * 10).collect();

    let outcome = play(&pressing, true);

    assert!(outcome.lost > 200, "{outcome:?}");
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

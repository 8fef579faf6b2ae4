//! Waiting for a primary: the load of a group that loses its primary, and each way in which an estimate
//! or a place in the queue can be wrong.

mod load;

use std::time::Duration;

use dandelionpitch_engine::{
    recovery::{Capacity, Decision, History, Next, Place, Recovery, Situation, Statement},
    time::Moment,
};

const CAPACITY: Capacity = Capacity {
    connections: 18,
    hold: Duration::from_millis(20),
};

const SITUATION: Situation = Situation {
    capacity: CAPACITY,
    has_store: true,
};

/// The deadline of an operation, and the length of the outage of the page, in milliseconds.
const DEADLINE: u64 = 1_000;
const OUTAGE: u64 = 2_000;

fn at(millis: u64) -> Moment {
    Moment::from_boot(Duration::from_millis(100_000 + millis))
}

fn millis(moment: Moment) -> u64 {
    u64::try_from(moment.millis()).expect("a small time") - 100_000
}

/// A statement that arrives at `arrived` with a target of 120 ms; a forwarding proxy waits for 800 ms.
fn statement(arrived: u64, priority: u32) -> Statement {
    with_target(arrived, 120, arrived + DEADLINE, priority)
}

fn with_target(arrived: u64, target: u64, deadline: u64, priority: u32) -> Statement {
    Statement {
        priority,
        target: Duration::from_millis(target),
        due: at(arrived + target),
        answer_by: at(arrived + (deadline - arrived) * 8 / 10),
        deadline: at(deadline),
    }
}

/// A history of recoveries that took about as long as [`OUTAGE`].
fn history() -> History {
    let mut history = History::default();
    for duration in [1_900, 2_100, 2_000, 1_950] {
        history.record(Duration::from_millis(duration));
    }
    history
}

/// An outage since time 0 that a search has confirmed.
fn outage(history: &History) -> Recovery {
    let mut recovery = Recovery::default();
    assert!(recovery.begin(history, at(0)));
    assert_eq!(recovery.confirm(SITUATION, at(50)), []);
    recovery
}

fn place(decision: Decision) -> Place {
    match decision {
        Decision::Wait { place, .. } => place,
        other => panic!("does not wait: {other:?}"),
    }
}

fn retry_after(decision: Decision) -> u64 {
    match decision {
        Decision::Refuse { retry_after } => u64::try_from(retry_after.as_millis()).expect("small"),
        other => panic!("is not refused: {other:?}"),
    }
}

/// An estimate that is too short: the expected end is never in the past, those that wait leave in time,
/// and the next estimate is longer.
#[test]
fn short_estimate_names_no_time_that_has_passed() {
    let mut history = History::default();
    history.record(Duration::from_millis(400));
    let before = history.estimate();
    let mut recovery = outage(&history);
    let waiting = recovery.decide(statement(0, 1), SITUATION, at(60));

    let late = retry_after(recovery.refuse(statement(600, 1), SITUATION, at(800)));
    let starts = recovery.next(CAPACITY, at(900));
    recovery.end(&mut history, at(850));

    assert!(matches!(waiting, Decision::Wait { until, .. } if until == at(700)));
    assert!((100..200).contains(&late), "come back in {late} ms");
    assert_eq!(starts, Next::Nobody);
    assert_eq!(recovery.waiting(), 0);
    assert!(history.estimate() > before);
}

/// An estimate that is too long: what waits starts at the end, not at the expected end, and the next
/// estimate is shorter.
#[test]
fn long_estimate_holds_nothing_back() {
    let mut history = history();
    let before = history.estimate();
    let mut recovery = outage(&history);
    let waiting = place(recovery.decide(statement(1_500, 1), SITUATION, at(1_524)));

    let outcome = recovery.end(&mut history, at(1_600));
    let next = recovery.next(CAPACITY, at(1_600));

    assert_eq!(
        outcome.map(|o| o.actual),
        Some(Duration::from_millis(1_600))
    );
    assert_eq!(next, Next::Start(waiting));
    assert!(history.estimate() < before);
}

/// Without the store nobody can promote: no time is named, and nobody waits once that is known.
#[test]
fn lost_store_leaves_no_estimate() {
    let no_store = Situation {
        has_store: false,
        ..SITUATION
    };
    let mut recovery = Recovery::default();
    recovery.begin(&history(), at(0));
    let searching = place(recovery.decide(statement(0, 1), SITUATION, at(24)));

    let released = recovery.confirm(no_store, at(50));
    let decision = recovery.decide(statement(1_500, 1), no_store, at(1_524));

    assert_eq!(released, [searching]);
    assert_eq!(decision, Decision::Unknown);
    assert_eq!(
        recovery.refuse(statement(1_500, 1), no_store, at(1_524)),
        Decision::Unknown
    );
}

/// The first search may find that the primary was never lost. Guards against a refusal for two seconds
/// because of one broken connection, and against a history of such searches.
#[test]
fn unconfirmed_outage_lasts_as_long_as_a_search() {
    let mut history = history();
    let before = history.estimate();
    let mut recovery = Recovery::default();
    recovery.begin(&history, at(0));

    let waiting = place(recovery.decide(statement(0, 1), SITUATION, at(24)));
    recovery.end(&mut history, at(60));

    assert_eq!(recovery.next(CAPACITY, at(60)), Next::Start(waiting));
    assert_eq!(history.estimate(), before);
}

/// Fills the queue with statements of this priority. Returns their places.
fn fill(recovery: &mut Recovery, priority: u32) -> Vec<Place> {
    let limit = CAPACITY.within(Duration::from_millis(120));
    let arrive = |index: usize| {
        let arrived = 1_500 + index as u64;
        place(recovery.decide(statement(arrived, priority), SITUATION, at(arrived)))
    };
    (0..limit).map(arrive).collect()
}

/// A caller that leaves frees its place, and its statement never starts.
#[test]
fn caller_that_leaves_frees_its_place() {
    let mut history = history();
    let mut recovery = outage(&history);
    let places = fill(&mut recovery, 1);
    let full = recovery.decide(statement(1_700, 1), SITUATION, at(1_700));

    recovery.leave(places[0]);
    let next = recovery.decide(statement(1_701, 1), SITUATION, at(1_701));
    recovery.end(&mut history, at(1_750));

    assert!(matches!(full, Decision::Refuse { .. }));
    assert!(matches!(
        next,
        Decision::Wait {
            displaced: None,
            ..
        }
    ));
    assert_eq!(recovery.next(CAPACITY, at(1_750)), Next::Start(places[1]));
}

/// A full queue gives a place to a higher priority, at the cost of the last of a lower one.
#[test]
fn higher_priority_displaces_the_last_statement() {
    let mut history = history();
    let mut recovery = outage(&history);
    let places = fill(&mut recovery, 2);

    let decision = recovery.decide(statement(1_700, 1), SITUATION, at(1_700));
    recovery.end(&mut history, at(1_750));

    let Decision::Wait {
        place, displaced, ..
    } = decision
    else {
        panic!("does not wait: {decision:?}");
    };
    assert_eq!(displaced, places.last().copied());
    assert_eq!(recovery.next(CAPACITY, at(1_750)), Next::Start(place));
}

/// An outage that never ends: no time is named any more, nobody waits and nobody searches for them, and
/// the estimate for others at most doubles.
#[test]
fn endless_outage_has_no_estimate() {
    let mut history = history();
    let before = history.estimate();
    let mut recovery = outage(&history);
    place(recovery.decide(statement(2_000, 1), SITUATION, at(2_000)));
    let now = at(millis(at(0) + before * 2) + 1);

    let decision = recovery.decide(statement(4_300, 1), SITUATION, now);
    let next = recovery.next(CAPACITY, now);
    let is_watched = recovery.is_watched(now);
    recovery.end(&mut history, at(3_600_000));

    assert_eq!(decision, Decision::Unknown);
    assert_eq!(next, Next::Nobody);
    assert!(!is_watched);
    assert!(history.estimate() < before * 2, "{:?}", history.estimate());
}

/// The new primary is lost before all have started: the others keep their places for the next one.
#[test]
fn second_outage_keeps_the_places_of_the_first() {
    let mut history = history();
    let mut recovery = outage(&history);
    let places = fill(&mut recovery, 1);
    recovery.end(&mut history, at(1_750));
    let first = recovery.next(CAPACITY, at(1_750));

    assert!(recovery.begin(&history, at(1_751)));
    let during = recovery.next(CAPACITY, at(1_760));
    recovery.end(&mut history, at(1_800));

    assert_eq!(first, Next::Start(places[0]));
    assert_eq!(during, Next::Nobody);
    assert_eq!(recovery.next(CAPACITY, at(1_800)), Next::Start(places[1]));
    assert!(matches!(recovery.next(CAPACITY, at(1_800)), Next::Later(time) if time > at(1_800)));
}

/// Callers with the same deadline are told different times, a higher priority an earlier one.
#[test]
fn refused_callers_return_one_after_the_other() {
    let mut recovery = outage(&history());
    fill(&mut recovery, 1);
    let mut refuse =
        |priority| retry_after(recovery.refuse(statement(1_700, priority), SITUATION, at(1_700)));

    let (first, second, urgent) = (refuse(2), refuse(2), refuse(1));

    let interval = 20 / 18;
    assert!(second >= first + interval, "{first}, {second}");
    assert!(urgent <= first + interval, "{urgent}, {first}");
}

//! Load management: admission control, load balancing of reads, and division of connections.

use std::time::Duration;

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    admission::{self, Decision, Mean, Obstacle, Queue, Queued, Selection},
    lag::Lag,
    members::Members,
    placement::{self, Candidate},
    share,
    time::Moment,
};
use yare::parameterized;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Moment {
    Moment::from_boot(Duration::from_millis(100_000 + millis))
}

fn replica(pending: usize, latency: u64) -> Candidate {
    Candidate {
        pending,
        connections: 4,
        latency: millis(latency),
        primary: false,
        remote: false,
        opening: Duration::ZERO,
    }
}

/// In a burst, queued statements must be answered within the target, and the others refused at once with
/// a retry-after time.
#[test]
fn burst_is_admitted_only_as_far_as_the_target_allows() {
    let (connections, hold, target) = (4, millis(30), millis(400));
    let mut waiting = 0;
    let mut slowest = Duration::ZERO;
    let mut refused = 0;

    for _ in 0..200 {
        let queue = Queue {
            waiting,
            connections,
            hold,
        };
        match admission::decide(queue, target) {
            Decision::Wait { .. } => {
                waiting += 1;
                let rounds = waiting.div_ceil(connections) as u32;
                slowest = slowest.max(hold * (rounds + 1));
            }
            Decision::Refuse { retry_after } => {
                refused += 1;
                assert!(retry_after >= millis(50));
            }
        }
    }

    assert!(slowest <= target, "{slowest:?}");
    assert!(refused >= 150, "{refused}");
    assert!(
        waiting >= 30,
        "too few to keep the connections busy: {waiting}"
    );
}

/// A full queue would refuse a statement again. A missing primary may be found at any moment, so the
/// statement is retried for a fifth of its target.
#[parameterized(
    full_queue = { Obstacle::QueueFull, 0, false },
    no_primary_yet = { Obstacle::NoServer, 60, true },
    no_primary_for_long = { Obstacle::NoServer, 90, false },
)]
fn only_statement_without_a_server_is_retried(obstacle: Obstacle, waited: u64, expected: bool) {
    let retry = admission::may_retry(obstacle, millis(waited), millis(400));

    assert_eq!(retry, expected);
}

/// A statement that will be late only delays those queued behind it.
#[test]
fn statement_without_time_left_is_refused() {
    let queue = Queue {
        waiting: 0,
        connections: 1,
        hold: millis(30),
    };

    let decision = admission::decide(queue, Duration::ZERO);

    assert!(matches!(decision, Decision::Refuse { .. }));
}

/// One of two replicas becomes five times slower. Within ten statements all reads go to the other.
#[test]
fn slow_replica_gets_no_reads() {
    let mut slow = Mean::new(millis(30));
    for _ in 0..10 {
        slow.record(millis(150));
    }
    let slow = slow.value().as_millis() as u64;

    let first =
        (0..100).map(|rotation| placement::order(&[replica(0, slow), replica(2, 30)], rotation)[0]);

    assert_eq!(first.filter(|&index| index == 0).count(), 0);
}

#[test]
fn equal_replicas_share_the_reads() {
    let replicas = [replica(1, 30), replica(1, 30)];

    let first = (0..100).map(|rotation| placement::order(&replicas, rotation)[0]);

    assert_eq!(first.filter(|&index| index == 0).count(), 50);
}

/// Only the primary can run writes, so it gets reads only if the replicas are much slower.
#[parameterized(
    idle_primary_and_little_work_on_the_replica = { 0, 2, 1 },
    idle_primary_and_a_full_replica = { 0, 8, 0 },
)]
fn primary_serves_reads_last(primary: usize, replica_pending: usize, expected: usize) {
    let primary = Candidate {
        primary: true,
        ..replica(primary, 30)
    };

    let order = placement::order(&[primary, replica(replica_pending, 30)], 0);

    assert_eq!(order[0], expected);
}

/// The primary's mean latency is low because writes are shorter than reads. It must not attract reads
/// while its replicas have little load.
#[test]
fn short_writes_do_not_attract_reads_to_the_primary() {
    let primary = Candidate {
        primary: true,
        ..replica(0, 15)
    };

    let order = placement::order(&[primary, replica(1, 33), replica(2, 33)], 0);

    assert_eq!(order, [1, 2, 0]);
}

/// Traffic between data centres is billed, so a local replica is preferred to an equal remote one.
#[test]
fn local_replica_is_preferred() {
    let remote_replica = Candidate {
        remote: true,
        ..replica(0, 30)
    };

    assert!((0..10)
        .all(|rotation| placement::order(&[remote_replica, replica(0, 30)], rotation)[0] == 1));
}

#[parameterized(
    seven_proxies = { 33, 5, 7, 3 },
    six_proxies = { 34, 3, 6, 2 },
    two_proxies = { 33, 5, 2, 8 },
    few_slots_and_many_proxies = { 33, 1, 10, 2 },
    more_proxies_than_connections = { 33, 5, 100, 1 },
    no_proxy_known = { 33, 5, 0, 15 },
    very_few_connections = { 2, 5, 7, 1 },
)]
fn connections_per_proxy(max_connections: u32, slots: u32, members: usize, expected: usize) {
    assert_eq!(
        share::connections(max_connections, slots, members),
        expected
    );
}

/// Two of seven proxies lose the store but keep their connections. If the others claimed these shares at
/// once, the servers would reach their connection limits.
#[test]
fn proxy_that_lost_the_store_keeps_its_share() {
    let mut members = Members::default();
    let names: Vec<String> = (0..7).map(|n| format!("proxy-{n}")).collect();
    members.replace(names.iter().map(|name| (name.clone(), None)), at(0));

    members.mark_missing("proxy-1", at(1_000));
    members.mark_missing("proxy-2", at(1_000));

    let counts = [at(2_000), at(15_000), at(22_000)].map(|now| members.count(now));
    assert_eq!(counts, [7, 7, 5]);
}

fn queued(due: u64, deadline: u64) -> Queued {
    Queued {
        due: at(due),
        deadline: at(deadline),
    }
}

/// Under overload, one queued statement is past its target, one cannot finish before its deadline, and one
/// can still meet its target. The last runs next, and the second is refused at once.
#[test]
fn statement_that_can_meet_its_target_goes_first() {
    let entries = [queued(900, 1_500), queued(700, 1_010), queued(1_300, 1_900)];

    let selection = admission::select(&entries, millis(60), at(1_000));

    assert_eq!((selection.next, selection.too_late), (Some(2), vec![1]));
}

/// A late answer is still useful to its caller. If no queued statement can meet its target, they run in
/// order.
#[test]
fn late_statements_run_in_order_if_no_other_waits() {
    let entries = [queued(900, 1_500), queued(950, 1_500)];

    let selection = admission::select(&entries, millis(60), at(1_000));

    assert_eq!((selection.next, selection.too_late), (Some(0), Vec::new()));
}

/// Simulates two seconds of more load than the connections can serve, with a target of 400 ms and a
/// deadline of 1 s. Every fourth statement has a higher priority. `select` picks the next statement;
/// returns how many met their target and how many were late.
fn overload(select: impl Fn(&[Queued], u64) -> Selection) -> (usize, usize) {
    let (connections, hold) = (4, 40);
    let mut waiting: Vec<(u32, Queued)> = Vec::new();
    let mut free_at = vec![0u64; connections];
    let (mut on_time, mut late) = (0, 0);
    for now in 0..3_000u64 {
        if now < 2_000 && now % 7 == 0 {
            let priority = u32::from(now % 28 != 0);
            let position = waiting.iter().position(|(other, _)| *other > priority);
            let position = position.unwrap_or(waiting.len());
            let queue = Queue {
                waiting: position,
                connections,
                hold: millis(hold),
            };
            if matches!(admission::decide(queue, millis(400)), Decision::Wait { .. }) {
                waiting.insert(position, (priority, queued(now + 400, now + 1_000)));
            }
        }
        for free in free_at.iter_mut().filter(|free| **free <= now) {
            let entries: Vec<Queued> = waiting.iter().map(|(_, queued)| *queued).collect();
            let Selection { next, too_late } = select(&entries, now);
            if let Some(next) = next {
                *free = now + hold;
                match at(now + hold) <= entries[next].due {
                    true => on_time += 1,
                    false => late += 1,
                }
            }
            let mut index = 0..;
            waiting.retain(|_| {
                let index = index.next();
                index != next && !too_late.iter().any(|dropped| Some(*dropped) == index)
            });
        }
    }
    (on_time, late)
}

/// Guards against serving the queue in order of priority alone, where late statements delay those behind
/// them until these are late as well.
#[test]
fn selection_serves_more_on_time_under_overload() {
    let in_order = |entries: &[Queued], _| Selection {
        next: (!entries.is_empty()).then_some(0),
        too_late: Vec::new(),
    };

    let by_priority = overload(in_order);
    let by_selection = overload(|entries, now| admission::select(entries, millis(40), at(now)));

    assert!(
        by_selection.0 > by_priority.0,
        "{by_priority:?} {by_selection:?}"
    );
    assert!(
        by_selection.1 * 2 < by_priority.1,
        "{by_priority:?} {by_selection:?}"
    );
}

/// Many accounts on few connections: a read goes to the replica that has a connection of its account, as
/// opening one would occupy the other replica longer than the read itself.
#[test]
fn read_prefers_the_replica_with_a_connection_of_its_account() {
    let without = Candidate {
        opening: millis(15),
        ..replica(0, 20)
    };
    let candidates = [without, replica(1, 20)];

    for rotation in 0..2 {
        assert_eq!(placement::order(&candidates, rotation), [1, 0]);
    }
}

/// Guards against a large account that overloads one replica because it has its connections there.
#[test]
fn read_opens_a_connection_on_an_idle_replica_if_the_other_is_busy() {
    let without = Candidate {
        opening: millis(15),
        ..replica(0, 20)
    };
    let candidates = [without, replica(4, 20)];

    assert_eq!(placement::order(&candidates, 0), [0, 1]);
}

fn position(lsn: u64) -> Position {
    Position { term: 2, lsn }
}

/// Replicas far behind, many reads: guards against a read that is sent to each of them before the primary.
#[test]
fn replica_that_lacked_a_position_is_skipped_until_it_may_have_caught_up() {
    let mut lag = Lag::default();

    lag.note_lacking(position(100), at(0));

    assert!(lag.lacks(position(100), at(20)));
    assert!(lag.lacks(position(120), at(20)));
    assert!(!lag.lacks(position(90), at(20)));
    assert!(!lag.lacks(position(100), at(200)));
}

#[test]
fn replica_that_served_a_position_is_used_again() {
    let mut lag = Lag::default();
    lag.note_lacking(position(100), at(0));

    lag.note_served(position(105));

    assert!(!lag.lacks(position(110), at(20)));
}

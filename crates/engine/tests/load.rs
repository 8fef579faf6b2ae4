//! Load decisions: who waits, who is refused, where a read goes, how connections are shared. Each
//! test replays the load that its decision answers.

use std::time::Duration;

use dandelionpitch_engine::{
    admission::{self, Decision, Mean, Obstacle, Queue, Queued, Selection},
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
    }
}

/// A burst of 200 statements within 100 ms meets 4 connections that need 30 ms each, with a target
/// of 400 ms. Whoever waits is answered within the target; the rest hear at once when to come back.
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
                let turns = waiting.div_ceil(connections) as u32;
                slowest = slowest.max(hold * (turns + 1));
            }
            Decision::Refuse { retry_after } => {
                refused += 1;
                assert!(retry_after >= millis(50));
            }
        }
    }

    assert!(slowest <= target, "{slowest:?}");
    assert!(refused >= 150, "{refused}");
    assert!(waiting >= 30, "the connections stay busy: {waiting}");
}

/// A primary has more work than it can do, and its queue refuses a read: the same queue would refuse it
/// again a moment later. With no primary known, one may come any moment, and a fifth of the target is
/// spent on that.
#[parameterized(
    full_queue = { Obstacle::QueueFull, 0, false },
    no_primary_yet = { Obstacle::NoServer, 60, true },
    no_primary_for_long = { Obstacle::NoServer, 90, false },
)]
fn refused_statement_is_offered_again(obstacle: Obstacle, waited: u64, expected: bool) {
    let again = admission::may_retry(obstacle, millis(waited), millis(400));

    assert_eq!(again, expected);
}

/// What comes too late anyway only delays those behind it.
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

/// One of two replicas turns five times slower: within ten statements the reads go to the other.
#[test]
fn slow_replica_loses_its_reads() {
    let mut slow = Mean::new(millis(30));
    for _ in 0..10 {
        slow.record(millis(150));
    }
    let slow = slow.value().as_millis() as u64;

    let first = (0..100).map(|turn| placement::order(&[replica(0, slow), replica(2, 30)], turn)[0]);

    assert_eq!(first.filter(|&index| index == 0).count(), 0);
}

/// Equal replicas share the reads.
#[test]
fn equal_replicas_take_turns() {
    let replicas = [replica(1, 30), replica(1, 30)];

    let first = (0..100).map(|turn| placement::order(&replicas, turn)[0]);

    assert_eq!(first.filter(|&index| index == 0).count(), 50);
}

/// Writes have nowhere else to go, so the primary gets reads only when replicas are much worse.
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

/// Writes and their short transactions take half as long as the lookups that replicas serve. A primary
/// that looks quick for that reason is no better for a lookup, and gets none while its replicas have
/// little to do.
#[test]
fn quick_writes_draw_no_reads_to_the_primary() {
    let primary = Candidate {
        primary: true,
        ..replica(0, 15)
    };

    let order = placement::order(&[primary, replica(1, 33), replica(2, 33)], 0);

    assert_eq!(order, [1, 2, 0]);
}

/// A replica in the own data centre goes before an equal one elsewhere: bytes between data centres
/// are priced.
#[test]
fn near_replica_goes_first() {
    let far = Candidate {
        remote: true,
        ..replica(0, 30)
    };

    assert!((0..10).all(|turn| placement::order(&[far, replica(0, 30)], turn)[0] == 1));
}

#[parameterized(
    seven_proxies = { 33, 5, 7, 3 },
    six_proxies = { 34, 3, 6, 2 },
    two_proxies = { 33, 5, 2, 8 },
    few_slots_and_many_proxies = { 33, 1, 10, 2 },
    more_proxies_than_connections = { 33, 5, 100, 1 },
    no_proxy_known = { 33, 5, 0, 15 },
    hardly_any_connections = { 2, 5, 7, 1 },
)]
fn shares(max_connections: u32, slots: u32, members: usize, expected: usize) {
    assert_eq!(
        share::connections(max_connections, slots, members),
        expected
    );
}

/// Two of seven proxies lose the store but hold their connections: if the others took their shares,
/// the servers would refuse connections to all.
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

/// A primary has more work than it can do. Of those that wait one is past its target, one has no time
/// left before its deadline, and one came later and can still be answered in time: that one is next, and
/// the one without time hears so now.
#[test]
fn waiting_statement_that_can_be_on_time_goes_first() {
    let entries = [queued(900, 1_500), queued(700, 1_010), queued(1_300, 1_900)];

    let selection = admission::select(&entries, millis(60), at(1_000));

    assert_eq!((selection.next, selection.too_late), (Some(2), vec![1]));
}

/// A late answer is still worth something to its caller: where nobody can be on time, those past their
/// target are served in their order.
#[test]
fn late_statements_are_served_when_nobody_else_waits() {
    let entries = [queued(900, 1_500), queued(950, 1_500)];

    let selection = admission::select(&entries, millis(60), at(1_000));

    assert_eq!((selection.next, selection.too_late), (Some(0), Vec::new()));
}

/// Half again as much work as four connections can do comes for two seconds, all with a target of 400 ms
/// and a deadline of a second, every fourth statement ranked higher; returns how many were served on
/// time and how many late.
fn overload(judge: impl Fn(&[Queued], u64) -> Selection) -> (usize, usize) {
    let (connections, hold) = (4, 40);
    let mut waiting: Vec<(u32, Queued)> = Vec::new();
    let mut free_at = vec![0u64; connections];
    let (mut on_time, mut late) = (0, 0);
    for now in 0..3_000u64 {
        if now < 2_000 && now % 7 == 0 {
            let priority = u32::from(now % 28 != 0);
            let place = waiting.iter().position(|(other, _)| *other > priority);
            let place = place.unwrap_or(waiting.len());
            let queue = Queue {
                waiting: place,
                connections,
                hold: millis(hold),
            };
            if matches!(admission::decide(queue, millis(400)), Decision::Wait { .. }) {
                waiting.insert(place, (priority, queued(now + 400, now + 1_000)));
            }
        }
        for free in free_at.iter_mut().filter(|free| **free <= now) {
            let entries: Vec<Queued> = waiting.iter().map(|(_, queued)| *queued).collect();
            let Selection { next, too_late } = judge(&entries, now);
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
                index != next && !too_late.iter().any(|gone| Some(*gone) == index)
            });
        }
    }
    (on_time, late)
}

/// In order of rank alone 146 are served on time and 82 late, as each has waited behind others that were.
/// Judged again when a connection is free it is 206 and 22.
#[test]
fn overload_serves_more_on_time_when_the_queue_is_judged_again() {
    let in_order = |entries: &[Queued], _| Selection {
        next: (!entries.is_empty()).then_some(0),
        too_late: Vec::new(),
    };

    let before = overload(in_order);
    let after = overload(|entries, now| admission::select(entries, millis(40), at(now)));

    assert!(after.0 > before.0, "{before:?} {after:?}");
    assert!(after.1 * 2 < before.1, "{before:?} {after:?}");
}

//! Failovers of many groups at once: a data centre is partitioned with a third of all primaries, and the
//! platform executes a limited number of promotions per second.

use std::time::Duration;

use dandelionpitch_engine::{
    pace::{self, Pacer, Waiting},
    time::Moment,
};
use yare::parameterized;

/// The platform's limit of promotions per second.
const LIMIT: usize = 50;

/// How often the failover leader evaluates the groups.
const INTERVAL_MS: u64 = 100;

/// How long an attempt that the platform refused holds the replicas, and the delay until the next one.
const REFUSED_ATTEMPT_MS: u64 = 1_000;

fn at(millis: u64) -> Moment {
    Moment::default() + Duration::from_millis(1_000_000 + millis)
}

/// The platform's promotion call: executes up to [`LIMIT`] calls in each second.
#[derive(Default)]
struct Platform {
    second: u64,
    calls: usize,
    refused: usize,
}

impl Platform {
    fn call(&mut self, millis: u64) -> bool {
        if self.second != millis / 1_000 {
            (self.second, self.calls) = (millis / 1_000, 0);
        }
        self.calls += 1;
        let accepted = self.calls <= LIMIT;
        self.refused += usize::from(!accepted);
        accepted
    }
}

/// Replaces the primaries of `groups` that were lost at once. Returns how many attempts the platform
/// refused, and the time until the last group has its new primary.
fn replace_all(groups: usize, mut may_start: impl FnMut(Moment) -> bool) -> (usize, u64) {
    let mut platform = Platform::default();
    let mut next_attempt = vec![0; groups];
    for round in 0.. {
        let now = round * INTERVAL_MS;
        for next in &mut next_attempt {
            if *next <= now && may_start(at(now)) {
                *next = match platform.call(now) {
                    true => u64::MAX,
                    false => now + REFUSED_ATTEMPT_MS,
                };
            }
        }
        if next_attempt.iter().all(|next| *next == u64::MAX) {
            return (platform.refused, now);
        }
    }
    unreachable!("the rounds do not end")
}

/// Guards against attempts that hold replicas for a promotion that the platform refuses, and against a
/// pace that leaves much of the platform's limit unused. Without it, hundreds of attempts are refused.
#[parameterized(
    fleet = { 333, 9_000 },
    twice_the_fleet = { 667, 17_000 },
)]
fn lost_data_centre_is_replaced_at_the_platforms_pace(groups: usize, within_ms: u64) {
    let mut pacer = Pacer::new(LIMIT as f64);

    let (refused, took_ms) = replace_all(groups, |now| pacer.try_start(now));
    let (refused_at_once, _) = replace_all(groups, |_| true);

    assert_eq!(refused, 0);
    assert!(took_ms <= within_ms, "{took_ms} ms");
    assert!(refused_at_once >= groups, "{refused_at_once}");
}

/// Guards against a delay of the few failovers that a deployment sees on most days.
#[test]
fn few_failures_are_not_delayed() {
    let mut pacer = Pacer::new(LIMIT as f64);

    let started = (0..8).filter(|_| pacer.try_start(at(0))).count();

    assert_eq!(started, 8);
}

/// Guards against groups without a server to promote that are attempted again and again before groups
/// that could be helped.
#[test]
fn groups_whose_attempts_failed_come_last() {
    let waiting = |since, failed_attempts| Waiting {
        since: at(since),
        failed_attempts,
    };
    let mut groups = [
        waiting(0, 3),
        waiting(500, 0),
        waiting(200, 0),
        waiting(100, 1),
    ];

    pace::order(&mut groups, |group| *group);

    let expected = [
        waiting(200, 0),
        waiting(500, 0),
        waiting(100, 1),
        waiting(0, 3),
    ];
    assert_eq!(groups, expected);
}

//! The permits of one account on one proxy, and the rights to issue them.

use std::time::Duration;

use dandelionpitch_core::hash::Map;

use super::{Batch, Permits};
use crate::time::Moment;

/// The interval at which permits are stamped while they are issued.
const ISSUE_STEP: Duration = Duration::from_millis(100);

/// A proxy draws permits for as many operations as it expects within this time, at most half of
/// the time for which they are valid.
const DEMAND_HORIZON: Duration = Duration::from_millis(500);

/// The time constant of the average over recent operations.
const DEMAND_DECAY: Duration = Duration::from_secs(2);

/// The bounds of the retry-after of an operation above the limit.
pub(super) const RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(1));

/// The right of another proxy to issue permits, lent to this one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loan {
    /// The number of proxies among which the lender divides the permits.
    pub members: usize,
    pub from: Moment,
    pub until: Moment,
}

/// The permits of one account on this proxy.
#[derive(Debug)]
pub(super) struct Balance {
    /// Permits issued per second by all proxies.
    pub rate: f64,
    pub lifetime: Duration,
    pub permits: Permits,
    /// The time up to which permits have been issued.
    issued_until: Moment,
    /// To which collector this proxy has lent its right, and until when.
    lent: Option<(String, Moment)>,
    /// The collector that had the right before, and when the last of such loans ends.
    lent_before: Option<(String, Moment)>,
    /// What other proxies have lent to this one, by their ids.
    pub loans: Map<String, Loan>,
    /// The average number of operations per second, as of `counted_at`.
    demand: f64,
    counted_at: Moment,
    /// No permits are drawn before this time.
    pub denied_until: Moment,
}

impl Balance {
    pub(super) fn new(rate: f64, lifetime: Duration, now: Moment) -> Self {
        Self {
            rate,
            lifetime,
            permits: Permits::default(),
            issued_until: now,
            lent: None,
            lent_before: None,
            loans: Map::default(),
            demand: 0.0,
            counted_at: now,
            denied_until: Moment::default(),
        }
    }

    /// Issues the permits due until `now`, as one of `members` proxies, and drops expired ones.
    pub(super) fn update(&mut self, members: Option<usize>, now: Moment) {
        let oldest = now - self.lifetime;
        let mut start = self.issued_until.max(oldest);
        while start < now {
            let end = now.min(start + ISSUE_STEP);
            let amount = self.rate * self.issuing_time(members, start, end);
            self.permits.add(Batch {
                issued: start,
                amount,
            });
            start = end;
        }
        self.issued_until = self.issued_until.max(now);
        self.loans.retain(|_, loan| loan.until > now);
        self.permits.drop_issued_before(oldest);
    }

    /// The time in seconds from `start` to `end`, multiplied by the part of all permits that this proxy
    /// has the right to issue.
    fn issuing_time(&self, members: Option<usize>, start: Moment, end: Moment) -> f64 {
        let part = |members: usize, from: Moment, until: Moment| {
            until.since(from).as_secs_f64() / members.max(1) as f64
        };
        let ends = self.lent.iter().chain(&self.lent_before);
        let own_start = ends.fold(start, |start, (_, until)| start.max(*until));
        let own = members.map_or(0.0, |members| part(members, own_start, end));
        let lent = self.loans.values();
        let lent = lent.map(|loan| part(loan.members, start.max(loan.from), end.min(loan.until)));
        own + lent.sum::<f64>()
    }

    /// Lends this proxy's right to the collector `id` for `term`; returns how long other collectors still have it.
    pub(super) fn lend(&mut self, id: &str, term: Duration, now: Moment) -> Duration {
        let moved = self.lent.take_if(|(to, _)| to != id);
        if let Some((to, until)) = moved {
            let before = self.lent_before.as_ref().map(|(_, until)| *until);
            let last = before.map_or(until, |before| before.max(until));
            self.lent_before = Some((to, last));
        }
        self.lent = Some((id.to_owned(), now + term));
        let before = self.lent_before.as_ref();
        before.map_or(Duration::ZERO, |(_, until)| now.until(*until))
    }

    /// The collectors to which this proxy has lent its right; the one that has it now comes first.
    pub(super) fn holders(&self, now: Moment) -> impl Iterator<Item = &str> {
        let loans = self.lent_before.iter().chain(&self.lent);
        let running = loans.filter(move |(_, until)| *until > now);
        running.map(|(to, _)| to.as_str())
    }

    pub(super) fn count_operation(&mut self, now: Moment) {
        self.demand = self.demand_at(now) + 1.0 / DEMAND_DECAY.as_secs_f64();
        self.counted_at = now;
    }

    /// The expected operations per second.
    fn demand_at(&self, now: Moment) -> f64 {
        let passed = now.since(self.counted_at).as_secs_f64();
        self.demand * (-passed / DEMAND_DECAY.as_secs_f64()).exp()
    }

    /// The permits that this proxy expects to need soon.
    pub(super) fn expected_need(&self, now: Moment) -> f64 {
        let horizon = DEMAND_HORIZON.min(self.lifetime / 2);
        self.demand_at(now) * horizon.as_secs_f64()
    }

    /// When an operation above the limit may be retried: about when the next permit is issued.
    pub(super) fn retry_after(&self) -> Duration {
        let interval = Duration::from_secs_f64(1.0 / self.rate.max(1.0));
        interval.clamp(RETRY_AFTER.0, RETRY_AFTER.1)
    }
}

//! What happens to operations for which there is no permit: those of a short spike wait, all others are
//! refused and told when to come back.
//!
//! Two loads look alike at first. Callers that return together, for example after all proxies were
//! restarted, need a second's worth of permits within a fraction of it; their account is within its limit,
//! and the permits of the next moments suffice. An account that presses above its limit never finds enough,
//! and if its operations waited, all of them would be late.

use std::time::Duration;

use crate::time::Moment;

/// How long an account may lack permits before it counts as pressing above its limit: as long as permits are
/// valid, since a spike within the limit is over by then.
const MAX_SPIKE: Duration = Duration::from_millis(1_000);

/// An account has enough permits again once none was denied for this time. Not less: a proxy has only few of an
/// account's operations, so those that are denied may be far apart although the account presses.
const QUIET_TIME: Duration = Duration::from_millis(1_000);

/// The interval at which a waiting operation is tried again.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// An operation waits for at most 1/n of its target; the rest is for running it under load.
const MAX_WAIT_DIVISOR: u32 = 2;

/// A caller is told to come back within this part of its statement's timeout, so that there is time left for a
/// second retry.
const RETURN_DIVISOR: u32 = 4;

/// The bounds of that time: below the lower one the caller would find the same shortage.
const RETURN_WITHIN: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_000));

/// The fractional part of the golden ratio. Its multiples, modulo 1, are spread evenly however many there are.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_9;

/// The time that an operation has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    pub arrived: Moment,
    /// Within what time it should be answered.
    pub target: Duration,
    /// How long its statement may take.
    pub timeout: Duration,
}

/// What to do with an operation for which there is no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remedy {
    /// Try again after this time.
    Wait(Duration),
    /// Refuse it; the caller may retry after this time.
    Refuse(Duration),
}

/// The shortage of permits of one account on one proxy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    /// When permits were first and last denied, without a break of [`QUIET_TIME`].
    denied: Option<(Moment, Moment)>,
    /// Where in the interval of return the last caller was told to come back.
    phase: f64,
}

impl Shortage {
    /// Records that a permit was denied.
    pub fn note_denied(&mut self, now: Moment) {
        self.denied = match self.denied {
            Some((since, last)) if now.since(last) < QUIET_TIME => Some((since, now)),
            _ => Some((now, now)),
        };
    }

    /// Whether the shortage may still be a spike.
    fn is_spike(&self, now: Moment) -> bool {
        self.denied
            .is_none_or(|(since, _)| now.since(since) < MAX_SPIKE)
    }

    /// Decides on an operation that was denied a permit and has `urgency`.
    pub fn remedy(&mut self, urgency: Urgency, now: Moment) -> Remedy {
        let latest = urgency.arrived + urgency.target / MAX_WAIT_DIVISOR;
        let is_in_time = now + RETRY_INTERVAL <= latest;
        match self.is_spike(now) && is_in_time {
            true => Remedy::Wait(RETRY_INTERVAL),
            false => Remedy::Refuse(self.next_return(urgency.timeout)),
        }
    }

    /// When the next refused caller may come back. Callers that are refused at the same moment are told different
    /// times, as they would be refused again if they returned together.
    fn next_return(&mut self, timeout: Duration) -> Duration {
        let (first, last) = RETURN_WITHIN;
        let last = (timeout / RETURN_DIVISOR).clamp(first, last);
        self.phase = (self.phase + GOLDEN_FRACTION).fract();
        first + (last - first).mul_f64(self.phase)
    }
}

//! What may be issued for an account, given its limit and what is tolerated above it.

use std::time::Duration;

use crate::account::Limit;

/// The part of a limit for which no permits are issued. It covers proxies that know of fewer proxies than
/// there are, and so issue more.
const RESERVE: f64 = 0.025;

/// How long a permit is valid at least; long enough to be drawn and used.
const MIN_LIFETIME: Duration = Duration::from_millis(400);

/// How long a permit is valid at most. What is tolerated beyond that serves more operations if it is issued
/// evenly, as some rights are not exercised while proxies start or are cut off.
const MAX_LIFETIME: Duration = Duration::from_millis(1_000);

/// What is tolerated above an account's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The span over which operations are counted.
    pub window: Duration,
    /// The tolerated part of the limit, for example 0.1.
    pub excess: f64,
    /// Operations tolerated in addition.
    pub margin: f64,
}

impl Tolerance {
    /// The operations allowed in any window.
    pub fn allowed(&self, limit: &Limit) -> f64 {
        self.regular(limit) * (1.0 + self.excess) + self.margin
    }

    /// The permits issued per second by all proxies together: all that may be issued for a window, evenly,
    /// so that an account that always asks for more gets all that it is allowed.
    pub(super) fn rate(&self, limit: &Limit) -> f64 {
        let span = self.window + self.lifetime(limit);
        self.issued(limit) / span.as_secs_f64()
    }

    /// How long a permit is valid: those issued before a window and used in it count too. As long as
    /// possible without issuing less than the limit, within bounds.
    pub(super) fn lifetime(&self, limit: &Limit) -> Duration {
        let window = self.window.as_secs_f64();
        let regular = (self.regular(limit) / window).max(f64::MIN_POSITIVE);
        let longest = (self.issued(limit) / regular - window).max(0.0);
        let longest = Duration::try_from_secs_f64(longest).unwrap_or(MAX_LIFETIME);
        longest.clamp(MIN_LIFETIME, MAX_LIFETIME)
    }

    /// The permits that may be issued for a window.
    fn issued(&self, limit: &Limit) -> f64 {
        self.allowed(limit) * (1.0 - RESERVE)
    }

    /// The operations of a window within the limit itself.
    fn regular(&self, limit: &Limit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }
}

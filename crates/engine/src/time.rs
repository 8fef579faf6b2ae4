//! Points in time for decisions. The caller passes them in; nothing here reads a clock.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// A point in time on a monotonic clock that includes time during which the VM was suspended.
///
/// The daemon takes it from `CLOCK_BOOTTIME`. `std::time::Instant` does not advance while the VM is
/// suspended, so a lease or staleness bound that expired meanwhile would still look valid.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(Duration);

impl Moment {
    /// The point in time `since_boot` after the VM started.
    pub const fn from_boot(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// The time elapsed from `earlier` to this moment, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The time left from this moment until `later`, or zero if `later` has passed.
    pub fn until(self, later: Self) -> Duration {
        later.since(self)
    }

    /// Milliseconds since the VM started.
    pub fn millis(self) -> u128 {
        self.0.as_millis()
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0 + duration)
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }
}

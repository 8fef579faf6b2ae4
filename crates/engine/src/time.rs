//! The time decisions are made by: passed in, never read here.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// A moment on a clock that goes on counting while the VM is suspended.
///
/// Failure: a suspended VM wakes and `std::time::Instant` says that no time has passed, so a lease
/// or a freshness bound that ran out long ago still looks valid. Guard: the daemon fills this from
/// `CLOCK_BOOTTIME`, which counts suspended time and never jumps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(Duration);

impl Moment {
    /// The moment `since_boot` after the VM started.
    pub const fn from_boot(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// How long after `earlier` this is; zero if it is not after it.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// How long from now until `later`; zero if it has passed.
    pub fn until(self, later: Self) -> Duration {
        later.since(self)
    }

    /// Milliseconds since boot, for log lines.
    pub fn millis(self) -> u128 {
        self.0.as_millis()
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, length: Duration) -> Self {
        Self(self.0 + length)
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, length: Duration) -> Self {
        Self(self.0.saturating_sub(length))
    }
}

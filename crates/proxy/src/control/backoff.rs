//! Growing pauses between tries, different in each proxy.

use std::time::Duration;

pub use dandelionpitch_core::hash::{stable_fraction, stable_hash};

/// The pauses after successive failures: each twice the last, up to a limit, less a part that
/// depends on the salt and the count, so that proxies that failed together do not try together.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    salt: u64,
    failures: u32,
}

impl Backoff {
    /// A backoff with no failure yet.
    pub fn new(first: Duration, longest: Duration, salt: u64) -> Self {
        Self {
            first,
            longest,
            salt,
            failures: 0,
        }
    }

    /// How many failures there were since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Notes a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure; returns how long to wait.
    pub fn pause(&mut self) -> Duration {
        let doubled = self.first.saturating_mul(1 << self.failures.min(16));
        let most = doubled.min(self.longest);
        self.failures = self.failures.saturating_add(1);
        most - most.mul_f64(stable_fraction(&(self.salt, self.failures)) / 2.0)
    }
}

//! Exponential backoff with jitter that is deterministic per proxy.

use std::time::Duration;

pub use dandelionpitch_core::hash::{stable_fraction, stable_hash};

/// The delays after successive failures: each doubles up to `longest`, less a jitter of at most
/// half. The jitter depends on the salt and the failure count, so that proxies that failed at the
/// same time do not retry at the same time.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    salt: u64,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff with no failures. `salt` should differ between proxies.
    pub fn new(first: Duration, longest: Duration, salt: u64) -> Self {
        Self {
            first,
            longest,
            salt,
            failures: 0,
        }
    }

    /// The number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Resets the failure count after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let doubled = self.first.saturating_mul(1 << self.failures.min(16));
        let limit = doubled.min(self.longest);
        self.failures = self.failures.saturating_add(1);
        limit - limit.mul_f64(stable_fraction(&(self.salt, self.failures)) / 2.0)
    }
}

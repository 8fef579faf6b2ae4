//! What a proxy that has just started does with new sessions, which it cannot serve before it has a
//! configuration.
//!
//! After a restart of many proxies, thousands of callers reconnect within a fraction of a second, just before
//! the configuration arrives. If all were refused with the same time to come back, they would return
//! together, and the restart would be followed by waves of load.

use std::time::Duration;

/// How long after its start a process usually has a configuration, unless the store does not answer.
const START_PERIOD: Duration = Duration::from_millis(1_500);

/// The bounds of the time after which a refused caller may come back.
const RETURN_WITHIN: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_millis(1_500));

/// How long a session that begins when the process has been `running` waits for a configuration, at most
/// `limit`. Zero once the configuration is overdue: the store does not answer then, and nobody knows for how
/// long.
pub fn session_wait(running: Duration, limit: Duration) -> Duration {
    START_PERIOD.saturating_sub(running).min(limit)
}

/// When a refused caller may come back; `fraction`, from 0 to 1, differs between callers.
pub fn return_after(fraction: f64) -> Duration {
    let (first, last) = RETURN_WITHIN;
    first + (last - first).mul_f64(fraction.clamp(0.0, 1.0))
}

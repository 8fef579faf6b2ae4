//! Whether this proxy is cut off with its data centre, so that callers are better served elsewhere.
//!
//! Load pattern: a data centre loses the others for seconds; its proxies still get a third of all
//! callers and can neither write nor, past the staleness allowance, read. Reporting not ready lets
//! the balancer send new callers to the nearest data centre; sessions at rest are closed once it
//! has, so that they come back there. A proxy that has lost only the store, or only some servers,
//! stays ready: it serves as well as any other.

use std::time::Duration;

use crate::time::Moment;

/// How long nothing outside the data centre may have been reached before it counts as cut off: two
/// rounds of questions, so that one lost packet does not do it.
pub const ISOLATED_AFTER: Duration = Duration::from_millis(250);

/// How long after that the balancer sends no new callers any more: it asks once a second and takes
/// a proxy out after the second miss.
pub const BALANCER_DELAY: Duration = Duration::from_millis(2_200);

/// What the proxy knows of its surroundings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Isolation {
    since: Option<Moment>,
}

impl Isolation {
    /// Notes whether any server outside the own data centre accepted a connection at `now`.
    pub fn note(&mut self, reached: bool, now: Moment) {
        match reached {
            true => self.since = None,
            false => {
                self.since.get_or_insert(now);
            }
        }
    }

    /// Whether the data centre counts as cut off.
    pub fn is_isolated(&self, now: Moment) -> bool {
        self.since
            .is_some_and(|since| now.since(since) >= ISOLATED_AFTER)
    }

    /// Whether sessions at rest are to be closed, as their callers will be sent elsewhere.
    pub fn should_close_sessions(&self, now: Moment) -> bool {
        self.since
            .is_some_and(|since| now.since(since) >= ISOLATED_AFTER + BALANCER_DELAY)
    }
}

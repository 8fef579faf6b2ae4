//! Detects that this proxy's data centre is partitioned from all others.
//!
//! A proxy in a partitioned data centre can serve neither writes nor, beyond the staleness bound,
//! reads. It reports not ready and then closes idle sessions, so that callers connect to another
//! data centre. A proxy that has lost only the store or some of the servers stays ready, as it
//! serves no worse than others.

use std::time::Duration;

use crate::time::Moment;

/// How long all connection attempts to other data centres must have failed before this one counts
/// as partitioned: two rounds of attempts, so that one lost packet does not suffice.
pub const ISOLATED_AFTER: Duration = Duration::from_millis(250);

/// How long the load balancer then takes to stop sending new callers: it checks readiness once a
/// second and removes a proxy after the second failed check.
pub const BALANCER_DELAY: Duration = Duration::from_millis(2_200);

/// The state of the partition detector.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Isolation {
    /// When connection attempts to other data centres began to fail.
    unreachable_since: Option<Moment>,
}

impl Isolation {
    /// Records whether any host outside the data centre accepted a connection at `now`.
    pub fn note(&mut self, reached: bool, now: Moment) {
        match reached {
            true => self.unreachable_since = None,
            false => {
                self.unreachable_since.get_or_insert(now);
            }
        }
    }

    /// Whether the data centre counts as partitioned from the others.
    pub fn is_isolated(&self, now: Moment) -> bool {
        self.unreachable_since
            .is_some_and(|since| now.since(since) >= ISOLATED_AFTER)
    }

    /// Whether to close idle sessions: the load balancer now sends reconnecting callers elsewhere.
    pub fn should_close_sessions(&self, now: Moment) -> bool {
        self.unreachable_since
            .is_some_and(|since| now.since(since) >= ISOLATED_AFTER + BALANCER_DELAY)
    }
}

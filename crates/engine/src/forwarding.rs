//! What one proxy tells another with a statement that it hands over, and when it offers it to the next.

use std::time::Duration;

use dandelionpitch_core::position::Position;

use crate::{
    admission,
    catalog::{Consistency, Route},
    refusal::Code,
};

/// What the statement's caller may expect. It travels with each statement, so the proxy that runs it
/// goes by the configuration of the one that took it, which may be a newer one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requirements {
    pub service: String,
    /// 0 is the most important.
    pub priority: u32,
    /// What is left of the time for the statement.
    pub timeout: Duration,
    /// What is left of the time within which it should be answered.
    pub target: Duration,
    pub consistency: Consistency,
    /// The session's last commit.
    pub floor: Option<Position>,
}

impl Requirements {
    /// The terms of a statement that came `waited` ago on `route`.
    pub fn new(route: &Route, waited: Duration, floor: Option<Position>) -> Self {
        Self {
            service: route.service.clone(),
            priority: route.priority,
            timeout: route.timeout.saturating_sub(waited),
            target: route.target.saturating_sub(waited),
            consistency: route.consistency,
            floor,
        }
    }
}

/// How many proxies a statement is offered to: its owners of two data centres.
const OFFERS: usize = 2;

/// Whether a statement that came `waited` ago and that a proxy refused with `code` is offered to the
/// next one, as the `offers`-th has just answered.
///
/// Load pattern: one owner of a group is cut off from its servers, or its queue is full while
/// another's is not. A refusal that says "not run" may be tried elsewhere, as long as the caller
/// would not fare better by coming back itself.
pub fn may_retry(code: Code, offers: usize, waited: Duration, target: Duration) -> bool {
    code.guarantees_not_run() && offers < OFFERS && admission::may_search(waited, target)
}

impl From<Requirements> for Route {
    fn from(requirements: Requirements) -> Self {
        Self {
            name: HANDED.to_owned(),
            service: requirements.service,
            consistency: requirements.consistency,
            timeout: requirements.timeout,
            target: requirements.target,
            priority: requirements.priority,
        }
    }
}

/// The name under which statements of other proxies stand in logs.
const HANDED: &str = "handed over";

//! Forwarding of statements to other proxies: what is sent with a statement, and when the next proxy is
//! tried.

use std::{sync::Arc, time::Duration};

use dandelionpitch_core::position::Position;

use crate::{
    admission,
    catalog::{Consistency, Route},
    refusal::{Code, Refusal},
};

/// The requirements of a forwarded statement. They are sent with each statement, so that the receiving
/// proxy applies the configuration of the forwarding one, which may be newer than its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requirements {
    pub service: String,
    /// The name of the caller's client account, if it has one.
    pub account: Option<Arc<str>>,
    /// 0 is the highest priority.
    pub priority: u32,
    /// The remaining part of the route's timeout.
    pub timeout: Duration,
    /// The remaining part of the route's target.
    pub target: Duration,
    pub consistency: Consistency,
    /// The position of the session's last acknowledged commit, which a read must see.
    pub floor: Option<Position>,
}

impl Requirements {
    /// The requirements of a statement of `account` that arrived `waited` ago on `route`.
    pub fn new(
        route: &Route,
        account: Option<Arc<str>>,
        waited: Duration,
        floor: Option<Position>,
    ) -> Self {
        Self {
            service: route.service.clone(),
            account,
            priority: route.priority,
            timeout: route.timeout.saturating_sub(waited),
            target: route.target.saturating_sub(waited),
            consistency: route.consistency,
            floor,
        }
    }
}

/// Allows for one owner of the group in each of two data centres.
const MAX_ATTEMPTS: usize = 2;

/// Whether a statement that arrived `waited` ago is forwarded to another proxy after `attempts`
/// proxies have refused it, the last one with `code`. Another owner may have a shorter queue or
/// still reach the servers; only a statement that was not run can be retried safely.
pub fn may_retry(code: Code, attempts: usize, waited: Duration, target: Duration) -> bool {
    code.guarantees_not_run() && attempts < MAX_ATTEMPTS && admission::may_search(waited, target)
}

/// The reason of [`starting`], by which the forwarding proxy tells it from a server's refusal.
const STARTING: &str = "this proxy has no configuration yet";

/// The refusal of a forwarded statement by a proxy that has started but has read nothing of the store.
///
/// During an outage of the store a restarted proxy knows neither servers nor primaries, while the others
/// still take it for an owner. If it searched for a server, no time would be left for another proxy.
pub fn starting() -> Refusal {
    Refusal::new(Code::Moved, STARTING)
}

/// The refusal of a forwarded statement by an owner that currently reaches no server for it.
pub fn no_server() -> Refusal {
    let why = "not run: this owner cannot reach the group's servers; come back in 500 ms";
    Refusal::new(Code::Unavailable, why)
}

/// The refusal that the forwarding proxy is told: of [`Code::Moved`], which tells it to try another proxy, if
/// this one cannot run the statement, but another may.
pub fn to_forwarding_proxy(refusal: Refusal) -> Refusal {
    match refusal.code {
        Code::Unavailable => Refusal::new(Code::Moved, refusal.reason),
        _ => refusal,
    }
}

/// Why another proxy left a statement to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inability {
    /// It has no configuration yet.
    Starting,
    /// It reaches too few servers of the group.
    NoServer,
}

impl Inability {
    /// The inability that a refusal by another proxy tells; `None` if the refusal is the statement's result.
    pub fn new(refusal: &Refusal) -> Option<Self> {
        match refusal.code {
            Code::Moved if refusal.reason == STARTING => Some(Self::Starting),
            Code::Moved => Some(Self::NoServer),
            _ => None,
        }
    }
}

/// The number of proxies that may leave a statement to others. While a primary is replaced all of them do.
pub const MAX_INABILITIES: usize = 3;

/// How long a proxy that left a statement of a group to others is asked last for that group.
pub const INABILITY_PERIOD: Duration = Duration::from_millis(400);

impl From<Requirements> for Route {
    fn from(requirements: Requirements) -> Self {
        Self {
            name: FORWARDED_ROUTE.to_owned(),
            service: requirements.service,
            consistency: requirements.consistency,
            timeout: requirements.timeout,
            target: requirements.target,
            priority: requirements.priority,
            public: false,
        }
    }
}

/// The route name in logs for statements received from other proxies.
const FORWARDED_ROUTE: &str = "handed over";

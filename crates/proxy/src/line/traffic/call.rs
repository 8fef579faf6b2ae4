//! One caller's statement on its way, and what can become of it.

use std::time::Duration;

use dandelionpitch_engine::{
    admission::{self, Obstacle},
    catalog::{Consistency, Route},
    refusal::{Code, Refusal},
    session::{Effect, Execution},
    time::Moment,
};
use serde_json::json;

use crate::{
    line::{
        backend::{
            connection::Statement,
            pool::{Error, Rank, Request},
            Backend,
        },
        clock,
        group::Group,
        journal,
    },
    metrics::Metrics,
};

/// The pause before a statement that was not run is offered again.
pub const OFFER_AGAIN: Duration = Duration::from_millis(15);

/// The time at which refused callers are to come back if nothing better is known: that of a
/// failover.
pub const COME_BACK: Duration = Duration::from_millis(500);

/// The time at which callers of a proxy that is cut off are to come back: by then the balancer
/// sends them elsewhere.
const CUT_OFF: Duration = Duration::from_millis(2_000);

/// One statement on its way.
pub struct Call<'a> {
    pub id: &'a str,
    pub text: &'a str,
    pub effect: Effect,
    pub execution: Option<&'a Execution>,
    pub route: &'a Route,
    /// When its first bytes were read.
    pub arrived: Moment,
    /// Whether this proxy was cut off with its data centre then.
    pub isolated: bool,
}

/// What went wrong with a statement on one server.
#[derive(Debug)]
pub enum Failure {
    /// It has certainly not run there.
    NotRun(Refusal),
    /// Too much work waits there, so it was not run.
    Full(Refusal),
    /// The server ran it, and answered with a failure.
    Ran(Refusal),
    /// It was sent and no whole answer came; the connection is closed.
    Lost(String),
}

impl Call<'_> {
    /// The statement as it is sent to a server.
    pub fn statement(&self) -> Statement<'_> {
        Statement {
            id: self.id,
            text: self.text,
            execution: self.execution,
        }
    }

    /// When the statement's time is up.
    pub fn deadline(&self) -> Moment {
        self.arrived + self.route.timeout
    }

    /// How long ago it came.
    pub fn waited(&self) -> Duration {
        clock::now().since(self.arrived)
    }

    /// How much of its time is left.
    pub fn left(&self) -> Duration {
        clock::now().until(self.deadline())
    }

    /// Whether its time is up.
    pub fn late(&self) -> bool {
        self.left().is_zero()
    }

    /// How much longer it may look for a server that can take it.
    pub fn looking_left(&self) -> Duration {
        admission::remaining_search_time(self.waited(), self.route.target)
    }

    /// Whether to look for a server that can take it once more.
    pub fn offers_again(&self, obstacle: Obstacle) -> bool {
        !self.isolated && admission::may_retry(obstacle, self.waited(), self.route.target)
    }

    /// What it asks of a pool; the proxy's own questions go first.
    pub fn pool_request(&self) -> Request {
        let rank = Rank {
            priority: self.route.priority + 1,
            due: self.arrived + self.route.target,
        };
        let deadline = self.deadline();
        Request { rank, deadline }
    }

    /// Before when a commit must have been acknowledged for the statement to see it.
    pub fn since(&self, begun: Moment) -> Moment {
        match self.route.consistency {
            Consistency::Latest => begun,
            Consistency::Bounded(allowance) | Consistency::Session(allowance) => begun - allowance,
        }
    }

    /// The refusal of a write that no replica's word allows.
    pub fn unconfirmed(&self) -> Refusal {
        match self.isolated {
            true => self.busy("this data centre is cut off", CUT_OFF),
            false => self.busy("no replica confirms the primary", COME_BACK),
        }
    }

    /// The answer to a commit that no replica that counts is known to have.
    pub fn not_kept(&self, group: &Group, backend: &Backend) -> Refusal {
        let why = "no replica that counts has the commit";
        note_failure(group, backend, self, why);
        Refusal::new(Code::Unknown, format!("outcome unknown: {why}"))
    }

    /// A refusal that says when to come back.
    pub fn busy(&self, why: &str, retry_after: Duration) -> Refusal {
        let millis = retry_after.as_millis();
        Refusal::new(
            Code::Busy,
            format!("not run: {why}; come back in {millis} ms"),
        )
    }
}

/// What it comes to that a connection could not be had.
pub fn missed(call: &Call<'_>, error: Error) -> Failure {
    match error {
        Error::Refused { retry_after } => {
            Failure::Full(call.busy("too much work is waiting", retry_after))
        }
        Error::TooManyConnections => {
            Failure::NotRun(call.busy("the server takes no more connections", COME_BACK))
        }
        Error::Unreachable => Failure::NotRun(call.busy("no server can be reached", COME_BACK)),
    }
}

/// One log line for a statement that a server did not serve.
pub fn note_failure(group: &Group, backend: &Backend, call: &Call<'_>, why: &str) {
    note_refused(&group.metrics, backend, call, why);
}

/// The same for a server or another proxy.
pub fn note_refused(metrics: &Metrics, backend: &Backend, call: &Call<'_>, why: &str) {
    metrics.attempt(reason(why));
    journal::write(
        "attempt",
        json!({ "id": call.id, "route": call.route.name, "service": call.route.service,
            "server": backend.server.id(), "effect": format!("{:?}", call.effect),
            "after_ms": call.waited().as_millis() as u64, "why": why }),
    );
}

/// The part of an explanation that is the same for all of its kind, for counters.
fn reason(why: &str) -> &str {
    why.split(':').next().unwrap_or(why)
}

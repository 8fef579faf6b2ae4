//! A caller's statement while it is processed, and how it can fail.

use std::{cell::Cell, sync::Arc, time::Duration};

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    admission::{self, Obstacle},
    catalog::{Consistency, Route},
    forwarding::Requirements,
    refusal::{Code, Refusal},
    session::{Effect, Execution},
    slots::Purpose,
    time::Moment,
};
use dandelionpitch_platform::line;
use serde_json::json;
use tokio::net::TcpStream;

use crate::{
    line::{
        backend::{
            connection::Statement,
            pool::Error,
            request::{Client, Rank, Request},
            Backend,
        },
        clock,
        group::Group,
        journal,
    },
    metrics::Metrics,
};

/// The delay before a statement that was not run is tried again.
pub const RETRY_DELAY: Duration = Duration::from_millis(15);

/// The default retry-after of a refused statement: about the duration of a failover.
pub const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The retry-after if this data centre is partitioned: by then the load balancer sends the caller to
/// another one.
const ISOLATED_RETRY_AFTER: Duration = Duration::from_millis(2_000);

/// How often it is checked whether the sender of a waiting statement has disconnected.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A statement that is being processed.
pub struct Call<'a> {
    pub id: &'a str,
    pub text: &'a str,
    pub effect: Effect,
    pub execution: Option<&'a Execution>,
    pub route: &'a Route,
    /// The name of the caller's client account, if it has one.
    pub account: Option<&'a Arc<str>>,
    /// When its message was read.
    pub arrived: Moment,
    /// Whether this proxy's data centre was partitioned from the others when it arrived.
    pub isolated: bool,
    /// The connection of its sender, a caller or another proxy.
    pub sender: &'a TcpStream,
    /// Whether it has waited for a primary.
    pub has_waited: Cell<bool>,
}

/// Why an attempt to run a statement on one server, or on another proxy, failed.
#[derive(Debug)]
pub enum Failure {
    /// The statement was certainly not run there.
    NotRun(Refusal),
    /// The queue of statements waiting for a connection is too long; the statement was not run.
    QueueFull(Refusal),
    /// The server ran the statement, which failed.
    Failed(Refusal),
    /// The statement was sent, but no complete answer arrived; the connection is closed.
    NoAnswer(String),
}

impl Call<'_> {
    /// The statement in the form in which it is sent to a server.
    pub fn statement(&self) -> Statement<'_> {
        Statement {
            id: self.id,
            text: self.text,
            execution: self.execution,
        }
    }

    /// When the statement times out.
    pub fn deadline(&self) -> Moment {
        self.arrived + self.route.timeout
    }

    /// The time since it arrived.
    pub fn waited(&self) -> Duration {
        clock::now().since(self.arrived)
    }

    /// The time left until it times out.
    pub fn remaining(&self) -> Duration {
        clock::now().until(self.deadline())
    }

    /// Whether it has timed out.
    pub fn is_expired(&self) -> bool {
        self.remaining().is_zero()
    }

    /// How much longer it may search for a server.
    pub fn remaining_search_time(&self) -> Duration {
        admission::remaining_search_time(self.waited(), self.route.target)
    }

    /// Whether it may be tried on the servers again.
    pub fn may_retry(&self, obstacle: Obstacle) -> bool {
        !self.isolated && admission::may_retry(obstacle, self.waited(), self.route.target)
    }

    /// Returns once its sender has disconnected.
    pub async fn until_abandoned(&self) {
        while !self.is_abandoned() {
            tokio::time::sleep(DISCONNECT_CHECK_INTERVAL).await;
        }
    }

    /// As [`Self::until_abandoned`], but not before its target has passed: until then an answer may still
    /// arrive for a sender that has only ended its own side of the connection.
    pub async fn until_abandoned_late(&self) {
        tokio::time::sleep(clock::now().until(self.arrived + self.route.target)).await;
        self.until_abandoned().await;
    }

    /// Whether its sender has disconnected.
    pub fn is_abandoned(&self) -> bool {
        line::is_closed(self.sender)
    }

    /// When it should be answered. If it has missed its target while it waited for a primary, any time
    /// before its deadline is as good, and statements that can still meet theirs go first.
    pub fn due(&self) -> Moment {
        let due = self.arrived + self.route.target;
        match self.has_waited.get() && due <= clock::now() {
            true => self.deadline(),
            false => due,
        }
    }

    /// Its request for a connection. The priority is lower than that of status requests.
    pub fn pool_request(&self, purpose: Purpose) -> Request {
        let rank = Rank {
            priority: self.route.priority + 1,
            due: self.due(),
        };
        Request {
            client: Client::Account(self.account.cloned()),
            purpose,
            rank,
            deadline: self.deadline(),
        }
    }

    /// What another proxy needs to run it; `floor` is the position that its session's reads must see.
    pub fn requirements(&self, floor: Option<Position>) -> Requirements {
        Requirements::new(self.route, self.account.cloned(), self.waited(), floor)
    }

    /// The time up to which its reads must see all acknowledged commits, if it or its transaction
    /// started at `start`.
    pub fn freshness_bound(&self, start: Moment) -> Moment {
        match self.route.consistency {
            Consistency::Latest => start,
            Consistency::Bounded(bound) | Consistency::Session(bound) => start - bound,
        }
    }

    /// The refusal of a write because no replica confirms that the primary still leads.
    pub fn primary_unconfirmed(&self) -> Refusal {
        match self.isolated {
            true => self.unavailable(
                "this data centre is partitioned from the others",
                ISOLATED_RETRY_AFTER,
            ),
            false => self.unavailable("no replica confirms the primary", RETRY_AFTER),
        }
    }

    /// The refusal of a commit whose outcome is unknown, as it is not known to be durable. Also logs
    /// and counts it.
    pub fn commit_unconfirmed(&self, group: &Group, backend: &Backend) -> Refusal {
        // Also a metric label, which must not change.
        let why = "no replica that counts has the commit";
        note_failure(group, backend, self, why);
        Refusal::new(Code::Unknown, format!("outcome unknown: {why}"))
    }

    /// The refusal of a statement for which this proxy found no server.
    pub fn unavailable(&self, why: &str, retry_after: Duration) -> Refusal {
        let Refusal { reason, .. } = self.busy(why, retry_after);
        Refusal::new(Code::Unavailable, reason)
    }

    /// A refusal of a statement that was not run, with the time after which the caller may retry.
    pub fn busy(&self, why: &str, retry_after: Duration) -> Refusal {
        let millis = retry_after.as_millis();
        Refusal::new(
            Code::Busy,
            format!("not run: {why}; come back in {millis} ms"),
        )
    }
}

/// Converts the error of a connection pool.
pub fn pool_failure(call: &Call<'_>, error: Error) -> Failure {
    match error {
        Error::Refused { retry_after } => {
            Failure::QueueFull(call.busy("too much work is waiting", retry_after))
        }
        Error::TooManyConnections => {
            Failure::NotRun(call.busy("the server's connection limit is reached", RETRY_AFTER))
        }
        Error::Unreachable => Failure::NotRun(call.busy("the server is unreachable", RETRY_AFTER)),
    }
}

/// Logs and counts a failed attempt to run a statement on a server of `group`.
pub fn note_failure(group: &Group, backend: &Backend, call: &Call<'_>, why: &str) {
    note_failed_attempt(&group.metrics, backend, call, why);
}

/// Logs and counts a failed attempt to run a statement on a server or another proxy. The part of
/// `why` before the first colon becomes a metric label, so it must not be reworded.
pub fn note_failed_attempt(metrics: &Metrics, backend: &Backend, call: &Call<'_>, why: &str) {
    metrics.attempt(metric_label(why));
    journal::write(
        "attempt",
        json!({ "id": call.id, "route": call.route.name, "service": call.route.service,
            "server": backend.server.id(), "effect": format!("{:?}", call.effect),
            "after_ms": call.waited().as_millis() as u64, "why": why }),
    );
}

/// The part of an explanation before the first colon, without details that vary, as a metric label.
fn metric_label(why: &str) -> &str {
    why.split(':').next().unwrap_or(why)
}

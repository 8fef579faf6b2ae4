//! A pooled backend connection, checked out for a statement or transaction of one caller.

use std::time::{Duration, Instant};

use dandelionpitch_core::position::Position;
use deadpool_postgres::{Object, Pool};
use pgwire::error::ErrorInfo;
use tokio_postgres::{Client, SimpleQueryMessage};
use tokio_util::sync::CancellationToken;

use crate::{backend, route::Variable, view::Status};

/// The SQLSTATE of a write that a server did not run because it is not the primary.
const READ_ONLY: &str = "25006";
/// The SQLSTATE of a commit that was not yet replicated when its server ceased to be primary.
const COMPLETION_UNKNOWN: &str = "40003";

/// Why a statement did not return a result.
#[derive(Debug)]
pub enum Failure {
    /// The server is not the primary and did not run the statement.
    ReadOnly,
    /// The server returned an error.
    Server(Box<ErrorInfo>),
    /// The statement may have run, since no conclusive answer was received; the connection is
    /// closed.
    Lost(String),
}

/// The answer of a backend server.
pub type Answer = Result<Vec<SimpleQueryMessage>, Failure>;

/// A query that is pipelined with a statement, to save a round trip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pipelined {
    Nothing,
    /// The log position after the statement; a server that has applied it shows the statement's
    /// writes.
    Position,
    /// Confirmation that the server is primary, before the statement runs.
    Barrier,
}

/// The outcome of a read that depends on the server's status.
#[derive(Debug)]
pub enum Outcome {
    /// The status was acceptable; contains the read's answer.
    Valid(Answer),
    /// The status was not acceptable; the rows are discarded.
    Invalid,
    /// The server did not answer; the connection is closed.
    Unresponsive,
}

/// A backend connection. When dropped, it is returned to its pool unless it was closed or may have
/// session variables set.
#[derive(Debug)]
pub struct Connection {
    object: Option<Object>,
    superseded: CancellationToken,
    /// Whether it may have the variables of one session set.
    has_variables: bool,
}

/// Closes a connection that may have session variables set and was not reset by
/// [`Connection::return_to_pool`], since they would apply to the next caller's statements.
impl Drop for Connection {
    fn drop(&mut self) {
        if self.has_variables {
            self.close();
        }
    }
}

impl Connection {
    /// Checks out a connection from `pool`. If `superseded` is cancelled, in-flight statements fail
    /// at once.
    pub async fn checkout(pool: &Pool, superseded: &CancellationToken) -> Result<Self, String> {
        let object = pool.get().await;
        Ok(Self {
            object: Some(object.map_err(|error| error.to_string())?),
            superseded: superseded.clone(),
            has_variables: false,
        })
    }

    /// Sets a session's variables, in one round trip.
    pub async fn set_variables(
        &mut self,
        variables: &[Variable],
        deadline: Instant,
    ) -> Result<(), String> {
        if variables.is_empty() {
            return Ok(());
        }
        self.has_variables = true;
        let statements: Vec<&str> = variables.iter().map(|v| v.statement.as_str()).collect();
        let (answer, _) = self
            .run(&statements.join("; "), Pipelined::Nothing, deadline)
            .await;
        match answer {
            Ok(_) => Ok(()),
            Err(failure) => Err(format!(
                "the session's variables could not be set: {failure:?}"
            )),
        }
    }

    /// Records that a statement may have set session variables.
    pub fn mark_variables_set(&mut self) {
        self.has_variables = true;
    }

    /// Returns the connection to its pool after resetting session variables. It is closed if that
    /// fails.
    pub async fn return_to_pool(mut self, deadline: Instant) {
        if !self.has_variables {
            return;
        }
        let (answer, _) = self.run("DISCARD ALL", Pipelined::Nothing, deadline).await;
        self.has_variables = answer.is_err();
    }

    /// Creates a closed connection, as a placeholder.
    pub fn closed() -> Self {
        Self {
            object: None,
            superseded: CancellationToken::new(),
            has_variables: false,
        }
    }

    /// Closes the connection; the server rolls back a transaction that is open on it.
    ///
    /// Must be called if a transaction is open or an answer is outstanding. Otherwise the next
    /// caller's statement would run inside that transaction or receive that answer.
    pub fn close(&mut self) {
        if let Some(object) = self.object.take() {
            drop(Object::take(object));
        }
    }

    /// Runs `query`, pipelined with the query for `pipelined`. Returns the position if one was
    /// requested and received.
    pub async fn run(
        &mut self,
        query: &str,
        pipelined: Pipelined,
        deadline: Instant,
    ) -> (Answer, Option<Position>) {
        let Some(object) = &self.object else {
            let lost = Failure::Lost("the backend connection is closed".to_owned());
            return (Err(lost), None);
        };
        let exchange = send_pipelined(object, query, pipelined, deadline);
        let outcome = tokio::select! {
            outcome = exchange => Ok(outcome),
            () = self.superseded.cancelled() => Err("the primary was superseded"),
            () = tokio::time::sleep_until(deadline.into()) => Err("no answer in time"),
        };
        let (answer, position) = match outcome {
            Ok((answer, position)) => (answer.map_err(Failure::from), position),
            Err(why) => (Err(Failure::Lost(why.to_owned())), None),
        };
        if let Err(Failure::Lost(_)) = answer {
            self.close();
        }
        (answer, position)
    }

    /// Runs a read, pipelined after a status request. The answer is used only if the status arrives
    /// within `limit` and `valid` returns true for it.
    pub async fn run_checked(
        &mut self,
        query: &str,
        limit: Duration,
        deadline: Instant,
        valid: impl Fn(&Status) -> bool,
    ) -> Outcome {
        let Some(object) = &self.object else {
            return Outcome::Unresponsive;
        };
        let checked = async {
            let mut status = std::pin::pin!(backend::status(object, limit));
            let mut rows = std::pin::pin!(object.simple_query(query));
            // The server answers in order: the read completes first only if the connection failed.
            let status = tokio::select! {
                biased;
                status = &mut status => status.ok(),
                _ = &mut rows => None,
            };
            match status {
                None => Outcome::Unresponsive,
                Some(status) if valid(&status) => Outcome::Valid(rows.await.map_err(Failure::from)),
                Some(_) => match rows.await {
                    Ok(_) => Outcome::Invalid,
                    Err(_) => Outcome::Unresponsive,
                },
            }
        };
        let checked = tokio::time::timeout_at(deadline.into(), checked).await;
        let checked = checked
            .unwrap_or_else(|_| Outcome::Valid(Err(Failure::Lost("no answer in time".to_owned()))));
        if matches!(
            checked,
            Outcome::Unresponsive | Outcome::Valid(Err(Failure::Lost(_)))
        ) {
            self.close();
        }
        checked
    }

    /// Requests the server's status; closes the connection on failure.
    pub async fn status(&mut self, limit: Duration) -> Option<Status> {
        let status = backend::status(self.object.as_deref()?, limit).await.ok();
        if status.is_none() {
            self.close();
        }
        status
    }

    /// Requests the server's log position. Closes the connection on failure, since an outstanding
    /// answer would block the next caller.
    pub async fn position(&mut self, deadline: Instant) -> Option<Position> {
        let limit = deadline.saturating_duration_since(Instant::now());
        let position = backend::position(self.object.as_deref()?, limit).await.ok();
        if position.is_none() {
            self.close();
        }
        position
    }

    /// Requests the server's log position with confirmation that the server is primary. Closes the
    /// connection on failure, since an outstanding barrier would block the next caller.
    pub async fn barrier(&mut self, deadline: Instant) -> Result<Position, String> {
        let Some(object) = &self.object else {
            return Err("the backend connection is closed".to_owned());
        };
        let limit = deadline.saturating_duration_since(Instant::now());
        let outcome = tokio::select! {
            outcome = backend::barrier(object, limit) => outcome.map_err(|error| error.to_string()),
            () = self.superseded.cancelled() => Err("the primary was superseded".to_owned()),
        };
        if outcome.is_err() {
            self.close();
        }
        outcome
    }
}

type QueryResult = Result<Vec<SimpleQueryMessage>, tokio_postgres::Error>;

/// Sends `query` and the pipelined query without waiting in between; the server answers in order.
async fn send_pipelined(
    client: &Client,
    query: &str,
    pipelined: Pipelined,
    deadline: Instant,
) -> (QueryResult, Option<Position>) {
    let limit: Duration = deadline.saturating_duration_since(Instant::now());
    let statement = client.simple_query(query);
    match pipelined {
        Pipelined::Nothing => (statement.await, None),
        Pipelined::Position => {
            let (answer, position) = futures::join!(statement, backend::position(client, limit));
            (answer, position.ok())
        }
        Pipelined::Barrier => {
            let (position, answer) = futures::join!(backend::barrier(client, limit), statement);
            (answer, position.ok())
        }
    }
}

impl From<tokio_postgres::Error> for Failure {
    fn from(error: tokio_postgres::Error) -> Self {
        let Some(db) = error.as_db_error() else {
            return Self::Lost(format!("backend connection failed: {error}"));
        };
        match db.code().code() {
            READ_ONLY => Self::ReadOnly,
            COMPLETION_UNKNOWN => Self::Lost(db.message().to_owned()),
            code => Self::Server(Box::new(ErrorInfo::new(
                "ERROR".to_owned(),
                code.to_owned(),
                db.message().to_owned(),
            ))),
        }
    }
}

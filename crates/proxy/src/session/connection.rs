//! A pooled backend connection while one caller's statement or transaction has it.

use std::time::{Duration, Instant};

use dandelionpitch_core::position::Position;
use deadpool_postgres::{Object, Pool};
use pgwire::error::ErrorInfo;
use tokio_postgres::{Client, SimpleQueryMessage};
use tokio_util::sync::CancellationToken;

use crate::{backend, route::Variable, view::Status};

/// The SQLSTATE a server refuses a write with when it does not lead; nothing was run.
const READ_ONLY: &str = "25006";
/// The SQLSTATE of a commit whose server lost the lead before it was replicated.
const COMPLETION_UNKNOWN: &str = "40003";

/// Why a statement has no result.
#[derive(Debug)]
pub enum Failure {
    /// The server does not lead and has not run it.
    ReadOnly,
    /// The server refused it with an error of its own.
    Server(Box<ErrorInfo>),
    /// It was sent, and its answer will not come; the connection is closed.
    Lost(String),
}

/// What a backend answered.
pub type Answer = Result<Vec<SimpleQueryMessage>, Failure>;

/// What to ask on the same connection, sent along with a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Along {
    Nothing,
    /// The log position after the statement: where a write can be read.
    Position,
    /// A confirmation, before the statement runs, that the server leads.
    Barrier,
}

/// How a read went that was sent along with a question for the server's status.
#[derive(Debug)]
pub enum Checked {
    /// The status was good enough, and this is the answer.
    Fit(Answer),
    /// The status was not good enough; the rows are not passed on.
    Unfit,
    /// The server did not answer; the connection is closed.
    Silent,
}

/// A backend connection. Dropped, it goes back to its pool, unless a statement failed on it
/// in a way that leaves its state unknown.
#[derive(Debug)]
pub struct Connection {
    object: Option<Object>,
    superseded: CancellationToken,
    /// Whether variables of one session may be set on it.
    customized: bool,
}

/// Failure: a value that one caller set stays on a shared connection, and the next caller's
/// statements run under it. Guard: a connection that may carry such a value and was not
/// cleared by [`Connection::finish`] is closed instead of going back to its pool.
impl Drop for Connection {
    fn drop(&mut self) {
        if self.customized {
            self.close();
        }
    }
}

impl Connection {
    /// Takes a connection from `pool`; `superseded` cuts short what runs on it.
    pub async fn checkout(pool: &Pool, superseded: &CancellationToken) -> Result<Self, String> {
        let object = pool.get().await;
        Ok(Self {
            object: Some(object.map_err(|error| error.to_string())?),
            superseded: superseded.clone(),
            customized: false,
        })
    }

    /// Sets a session's variables on it, in one round trip.
    pub async fn customize(
        &mut self,
        variables: &[Variable],
        deadline: Instant,
    ) -> Result<(), String> {
        if variables.is_empty() {
            return Ok(());
        }
        self.customized = true;
        let statements: Vec<&str> = variables.iter().map(|v| v.statement.as_str()).collect();
        let (answer, _) = self
            .run(&statements.join("; "), Along::Nothing, deadline)
            .await;
        match answer {
            Ok(_) => Ok(()),
            Err(failure) => Err(format!(
                "the session's variables could not be set: {failure:?}"
            )),
        }
    }

    /// Notes that a statement may have left a session's value on it.
    pub fn mark_customized(&mut self) {
        self.customized = true;
    }

    /// Hands the connection back to its pool, cleared of a session's variables.
    pub async fn finish(mut self, deadline: Instant) {
        if !self.customized {
            return;
        }
        let (answer, _) = self.run("DISCARD ALL", Along::Nothing, deadline).await;
        self.customized = answer.is_err();
    }

    /// A connection that is already closed.
    pub fn spent() -> Self {
        Self {
            object: None,
            superseded: CancellationToken::new(),
            customized: false,
        }
    }

    /// Closes the connection; a transaction open on it is rolled back by the server.
    ///
    /// Failure: a connection with an open transaction, or with an answer still to come, goes
    /// back to the pool, and the next caller's statement runs inside that transaction or gets
    /// that answer. Guard: whoever leaves it in such a state calls this first.
    pub fn close(&mut self) {
        if let Some(object) = self.object.take() {
            drop(Object::take(object));
        }
    }

    /// Runs `query`, and asks for `along` in the same round trip.
    pub async fn run(
        &mut self,
        query: &str,
        along: Along,
        deadline: Instant,
    ) -> (Answer, Option<Position>) {
        let Some(object) = &self.object else {
            let lost = Failure::Lost("its connection is closed".to_owned());
            return (Err(lost), None);
        };
        let both = exchange(object, query, along, deadline);
        let outcome = tokio::select! {
            outcome = both => Ok(outcome),
            () = self.superseded.cancelled() => Err("its server has been superseded"),
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

    /// Runs a read, and asks for the server's status before it in the same round trip; the
    /// answer counts only if `fit` accepts the status, which must come within `limit`.
    pub async fn run_checked(
        &mut self,
        query: &str,
        limit: Duration,
        deadline: Instant,
        fit: impl Fn(&Status) -> bool,
    ) -> Checked {
        let Some(object) = &self.object else {
            return Checked::Silent;
        };
        let checked = async {
            let mut status = std::pin::pin!(backend::status(object, limit));
            let mut rows = std::pin::pin!(object.simple_query(query));
            // The server answers in order: rows that come first mean the connection failed.
            let status = tokio::select! {
                biased;
                status = &mut status => status.ok(),
                _ = &mut rows => None,
            };
            match status {
                None => Checked::Silent,
                Some(status) if fit(&status) => Checked::Fit(rows.await.map_err(Failure::from)),
                Some(_) => match rows.await {
                    Ok(_) => Checked::Unfit,
                    Err(_) => Checked::Silent,
                },
            }
        };
        let checked = tokio::time::timeout_at(deadline.into(), checked).await;
        let checked = checked
            .unwrap_or_else(|_| Checked::Fit(Err(Failure::Lost("no answer in time".to_owned()))));
        if matches!(
            checked,
            Checked::Silent | Checked::Fit(Err(Failure::Lost(_)))
        ) {
            self.close();
        }
        checked
    }

    /// The server's status, read now; without an answer the connection is closed.
    pub async fn status(&mut self, limit: Duration) -> Option<Status> {
        let status = backend::status(self.object.as_deref()?, limit).await.ok();
        if status.is_none() {
            self.close();
        }
        status
    }

    /// The server's position, read now; without an answer the connection is closed.
    ///
    /// Failure: the connection has gone silent, and goes back to the pool with an answer still to
    /// come; the next caller waits behind that for as long as it may. Guard: it is not used again.
    pub async fn position(&mut self, deadline: Instant) -> Option<Position> {
        let limit = deadline.saturating_duration_since(Instant::now());
        let position = backend::position(self.object.as_deref()?, limit).await.ok();
        if position.is_none() {
            self.close();
        }
        position
    }

    /// The server's position, once it is confirmed that it leads. A barrier without an answer
    /// leaves the connection busy, so it is closed.
    pub async fn barrier(&mut self, deadline: Instant) -> Result<Position, String> {
        let Some(object) = &self.object else {
            return Err("its connection is closed".to_owned());
        };
        let limit = deadline.saturating_duration_since(Instant::now());
        let outcome = tokio::select! {
            outcome = backend::barrier(object, limit) => outcome.map_err(|error| error.to_string()),
            () = self.superseded.cancelled() => Err("its server has been superseded".to_owned()),
        };
        if outcome.is_err() {
            self.close();
        }
        outcome
    }
}

type Sent = Result<Vec<SimpleQueryMessage>, tokio_postgres::Error>;

/// Sends `query` and what goes along without waiting in between; the server answers in order.
async fn exchange(
    client: &Client,
    query: &str,
    along: Along,
    deadline: Instant,
) -> (Sent, Option<Position>) {
    let limit: Duration = deadline.saturating_duration_since(Instant::now());
    let statement = client.simple_query(query);
    match along {
        Along::Nothing => (statement.await, None),
        Along::Position => {
            let (answer, position) = futures::join!(statement, backend::position(client, limit));
            (answer, position.ok())
        }
        Along::Barrier => {
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

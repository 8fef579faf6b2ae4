//! Errors that a proxy returns to callers, and what each says about the outcome of the request.

use pgwire::error::ErrorInfo;

/// The SQLSTATE of a request that had no effect.
pub const NOT_RUN: &str = "57P03";
/// The SQLSTATE of a request that was sent to a backend server but whose answer was lost.
pub const OUTCOME_UNKNOWN: &str = "08007";
/// The SQLSTATE of a statement in a transaction that has already failed.
const ABORTED: &str = "25P02";
/// The SQLSTATE for a user name that is not in the bundle.
const UNKNOWN_CALLER: &str = "28000";
/// The delay before a caller should retry a request or check its outcome; longer than a failover.
const RETRY_AFTER_MS: u64 = 500;

/// A request that the proxy refused, or whose outcome it does not know.
#[derive(Debug)]
pub enum Refusal {
    /// Never sent to a backend server, refused by it, or part of a transaction whose `COMMIT` was
    /// never sent; safe to retry after the delay.
    NotRun(String),
    /// Sent, but the answer was lost; the caller must check the outcome before a retry.
    Unknown(String),
    /// The user name is not in the applied bundle.
    UnknownCaller(String),
    /// The transaction has failed; only `COMMIT` or `ROLLBACK` is accepted.
    Aborted,
    /// An error returned by the backend server.
    Server(Box<ErrorInfo>),
}

impl Refusal {
    /// Whether it counts against the service level objective: the proxy could not run the request
    /// or does not know its outcome. Errors of the backend server do not count.
    pub fn is_proxy_failure(&self) -> bool {
        matches!(self, Self::NotRun(_) | Self::Unknown(_))
    }

    /// The code under which metrics count it; `None` for an error of the backend server.
    pub fn metric_code(&self) -> Option<&'static str> {
        match self {
            Self::NotRun(_) => Some(NOT_RUN),
            Self::Unknown(_) => Some(OUTCOME_UNKNOWN),
            Self::UnknownCaller(_) => Some(UNKNOWN_CALLER),
            Self::Aborted => Some(ABORTED),
            Self::Server(_) => None,
        }
    }
}

impl From<Refusal> for ErrorInfo {
    fn from(refusal: Refusal) -> Self {
        let (code, text) = match refusal {
            Refusal::NotRun(why) => (
                NOT_RUN,
                format!("not run: {why}; come back in {RETRY_AFTER_MS} ms"),
            ),
            Refusal::Unknown(why) => (
                OUTCOME_UNKNOWN,
                format!("outcome unknown: {why}; check the outcome after {RETRY_AFTER_MS} ms"),
            ),
            Refusal::UnknownCaller(user) => (
                UNKNOWN_CALLER,
                format!("unknown caller {user:?}: no such user in the applied bundle"),
            ),
            Refusal::Aborted => (
                ABORTED,
                "current transaction is aborted, commands ignored until end of transaction block"
                    .to_owned(),
            ),
            Refusal::Server(info) => return *info,
        };
        Self::new("ERROR".to_owned(), code.to_owned(), text)
    }
}

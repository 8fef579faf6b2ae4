//! The refusals a proxy makes itself, and how each tells the caller what became of the request.

use pgwire::error::ErrorInfo;

/// The SQLSTATE of a refusal for a request of which nothing is kept.
pub const NOT_RUN: &str = "57P03";
/// The SQLSTATE of a request that reached a backend whose answer was lost.
pub const OUTCOME_UNKNOWN: &str = "08007";
/// The SQLSTATE of a statement in a transaction that has already failed.
const ABORTED: &str = "25P02";
/// The SQLSTATE for a user name the bundle does not know.
const UNKNOWN_CALLER: &str = "28000";
/// When a caller may come back, with the same request or to see what became of it, in
/// milliseconds; a failover takes less.
const RETRY_AFTER_MS: u64 = 500;

/// A refusal.
#[derive(Debug)]
pub enum Refusal {
    /// Never sent to a backend, refused by it, or part of a transaction whose `COMMIT` was
    /// never sent; safe to send again after the pause.
    NotRun(String),
    /// Sent, but the answer was lost; the caller must check before repeating.
    Unknown(String),
    /// The bundle in force does not know the user name.
    UnknownCaller(String),
    /// The transaction has failed; only its end is accepted.
    Aborted,
    /// The backend's own error, passed on.
    Server(Box<ErrorInfo>),
}

impl Refusal {
    /// Whether it counts against the service level: the proxy could not do what the caller may
    /// ask for. A backend's own error, or a caller's mistake, does not.
    pub fn burns(&self) -> bool {
        matches!(self, Self::NotRun(_) | Self::Unknown(_))
    }

    /// The name it is counted under in the metrics; `None` for a backend's own error.
    pub fn counted(&self) -> Option<&'static str> {
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
                format!(
                    "outcome unknown: {why}; check what became of it from {RETRY_AFTER_MS} ms on"
                ),
            ),
            Refusal::UnknownCaller(user) => (
                UNKNOWN_CALLER,
                format!("unknown caller {user:?}: no such user in the bundle in force"),
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

//! Refusals: why a statement has no result, and whether it may have taken effect.

use derive_more::{Display, Error};

/// The kind of a refusal. Each protocol has its own error codes for these.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Code {
    /// No capacity; the statement was not run.
    Busy,
    /// This proxy reaches no server that could run the statement, or cannot prove that one may; it was not
    /// run. Another proxy may be able to run it. Callers are told that it is busy.
    Unavailable,
    /// The transaction was rolled back.
    Aborted,
    /// The server's log is behind the position that the read requires; the statement was not run.
    Lagging,
    /// The server is not the primary; the statement was not run.
    ReadOnly,
    /// A different server now listens on this address; the statement was not run.
    Moved,
    /// The server's connection limit is reached; the statement was not run.
    TooManyConnections,
    /// The outcome is unknown: the statement may have run and may be committed.
    Unknown,
    /// The statement timed out; it may be committed.
    Timeout,
    /// The server ran the statement, which failed.
    Failed,
    /// No route exists for the database name.
    NoDatabase,
    /// No client account holds the caller's key.
    Unauthorized,
    /// No such prepared statement; the statement was not run.
    NoStatement,
    /// The statement is malformed, or not allowed in the session's state.
    Syntax,
    /// A code from a server that is not in the protocol; the outcome is treated as unknown.
    Other,
}

impl Code {
    /// Whether the attempt is guaranteed to have had no lasting effect, so the caller may retry it.
    pub fn guarantees_not_applied(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Unavailable
                | Self::Aborted
                | Self::Lagging
                | Self::ReadOnly
                | Self::Moved
                | Self::TooManyConnections
        )
    }

    /// Whether a server that answers with this code is guaranteed not to have run the statement.
    pub fn guarantees_not_run(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Unavailable
                | Self::Lagging
                | Self::ReadOnly
                | Self::NoStatement
                | Self::Moved
                | Self::TooManyConnections
        )
    }
}

/// A refusal with its explanation.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{code}: {reason}")]
pub struct Refusal {
    pub code: Code,
    pub reason: String,
}

impl Refusal {
    /// Creates a refusal.
    pub fn new(code: Code, reason: impl Into<String>) -> Self {
        Self {
            code,
            reason: reason.into(),
        }
    }
}

//! Why a statement has no result, and what that promises its caller.

use derive_more::{Display, Error};

/// The kind of a refusal. Each dialect has its own words for these.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Code {
    /// No capacity; nothing was run.
    Busy,
    /// The transaction is rolled back; nothing of it is kept.
    Aborted,
    /// The server's log lacks what the read must see; nothing was run.
    Lagging,
    /// The server does not lead; nothing was run.
    ReadOnly,
    /// Another server answers at this address; nothing was run.
    Moved,
    /// The server takes no more connections; nothing was run.
    TooManyConnections,
    /// It may have run and may be kept.
    Unknown,
    /// It ran over its time; it may be kept.
    Timeout,
    /// The server ran it and failed.
    Failed,
    /// No such database for callers.
    NoDatabase,
    /// No such prepared statement; nothing was run.
    NoStatement,
    /// Not understood, or not allowed in this state.
    Syntax,
    /// A server's code that is not in the protocol; nothing is concluded from it.
    Other,
}

impl Code {
    /// Whether the caller is told that nothing of its attempt is kept, so it may repeat it.
    pub fn guarantees_not_applied(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Aborted
                | Self::Lagging
                | Self::ReadOnly
                | Self::Moved
                | Self::TooManyConnections
        )
    }

    /// Whether a server that answers with it did not run the statement.
    pub fn guarantees_not_run(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Lagging
                | Self::ReadOnly
                | Self::NoStatement
                | Self::Moved
                | Self::TooManyConnections
        )
    }
}

/// A refusal with the words that explain it.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{code}: {reason}")]
pub struct Refusal {
    pub code: Code,
    pub reason: String,
}

impl Refusal {
    /// A refusal of `code` because of `reason`.
    pub fn new(code: Code, reason: impl Into<String>) -> Self {
        Self {
            code,
            reason: reason.into(),
        }
    }
}

//! Log positions of a database group and their text form, the session token.
//!
//! A session's token is the position of its last acknowledged write. A replica may serve the
//! session's reads once it has applied that position, through any proxy to which the caller
//! presents the token (`docs/DESIGN.md`, "Read-your-writes after roaming").

use std::{fmt, str::FromStr};

use crate::Error;

/// A position in a database group's log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The term of the primary that wrote the entry. It must be the first field, as the derived
    /// order compares terms before log sequence numbers.
    pub term: u64,
    /// The log sequence number, which does not restart with a new term.
    pub lsn: u64,
}

impl Position {
    /// Whether a server that has applied `self` also has every acknowledged write up to `other`.
    ///
    /// A later term covers all earlier ones, as only a server with all their acknowledged entries
    /// is promoted (`docs/DESIGN.md`, "Failover"). A superseded primary may write unacknowledged
    /// entries with higher sequence numbers, but they never cover a position of its successor.
    pub fn covers(self, other: Self) -> bool {
        self >= other
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.lsn)
    }
}

impl FromStr for Position {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || Error::Position(text.to_owned());
        let (term, lsn) = text.trim().split_once('/').ok_or_else(invalid)?;
        Ok(Self {
            term: term.parse().map_err(|_| invalid())?,
            lsn: lsn.parse().map_err(|_| invalid())?,
        })
    }
}

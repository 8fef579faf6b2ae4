//! Log positions of a database group, and the session token that carries one.
//!
//! A session's token is the position of its last acknowledged write. A proxy may serve the
//! session's reads from a replica only once that replica has applied the position. The token
//! travels with the caller, so read-your-writes holds when the session roams to another proxy
//! with no message between proxies (see `docs/DESIGN.md`, "Read-your-writes after roaming").

use std::{fmt, str::FromStr};

use crate::Error;

/// A point in a database group's log: the primary's term and the log sequence number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The term of the primary that wrote the entry.
    pub term: u64,
    /// The log sequence number, growing across terms.
    pub lsn: u64,
}

impl Position {
    /// Whether a server that has applied `self` also holds everything up to `other`.
    ///
    /// Log sequence numbers grow across terms, as PostgreSQL's do across timelines, so the
    /// comparison is on the number alone.
    pub fn covers(self, other: Self) -> bool {
        self.lsn >= other.lsn
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
        let bad = || Error::Position(text.to_owned());
        let (term, lsn) = text.trim().split_once('/').ok_or_else(bad)?;
        Ok(Self {
            term: term.parse().map_err(|_| bad())?,
            lsn: lsn.parse().map_err(|_| bad())?,
        })
    }
}

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
    /// The term of the primary that wrote the entry; first, so that the derived order
    /// compares terms before numbers.
    pub term: u64,
    /// The log sequence number, counted on across terms.
    pub lsn: u64,
}

impl Position {
    /// Whether a server that has applied `self` also holds every acknowledged write up to `other`.
    ///
    /// Terms are compared first. A server whose last entry is of a later term holds every
    /// acknowledged entry of the earlier ones, because a primary is promoted only from the log
    /// that has them all (`docs/DESIGN.md`, "Failover").
    ///
    /// Failure: a superseded primary that is cut off goes on writing entries nobody
    /// acknowledged, its number passes that of a write its successor acknowledged, and a
    /// session that roams to its side reads without its own write. Guard: its entries stay in
    /// the earlier term, so no number of them covers the successor's position.
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
        let bad = || Error::Position(text.to_owned());
        let (term, lsn) = text.trim().split_once('/').ok_or_else(bad)?;
        Ok(Self {
            term: term.parse().map_err(|_| bad())?,
            lsn: lsn.parse().map_err(|_| bad())?,
        })
    }
}

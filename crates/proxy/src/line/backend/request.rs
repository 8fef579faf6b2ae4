//! Requests for a connection: for whom it is wanted, and in which order the waiting ones are served.

use std::sync::Arc;

use dandelionpitch_engine::{slots::Purpose, time::Moment};

/// The order in which waiting statements get a connection: by priority, then by due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// 0 is the highest priority.
    pub priority: u32,
    /// When the statement should be answered.
    pub due: Moment,
}

/// For whom a connection is wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Client {
    /// The proxy itself, which may use any connection.
    Proxy,
    /// A client account, or callers without one.
    Account(Option<Arc<str>>),
}

impl Client {
    /// The account that the server is told when a connection is opened.
    pub fn account(&self) -> Option<Arc<str>> {
        match self {
            Self::Proxy => None,
            Self::Account(account) => account.clone(),
        }
    }
}

/// A request for a connection.
#[derive(Clone, Debug)]
pub struct Request {
    pub client: Client,
    pub purpose: Purpose,
    pub rank: Rank,
    /// When the statement times out.
    pub deadline: Moment,
}

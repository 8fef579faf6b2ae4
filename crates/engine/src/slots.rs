//! The connections of one pool that are checked out: how many run a statement, how many belong to
//! transactions whose callers pause, and whether another statement may start.
//!
//! An idle open transaction holds a connection but does not occupy the server. If such connections
//! count like running statements, a few pausing callers block all others while the server is idle.

use std::{iter::Sum, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    admission::{self, Queue},
    ownership::Share,
};

/// How the connections of transactions count while their callers pause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Like those of running statements.
    #[default]
    Counted,
    /// Only towards [`Share::held`].
    Separate,
}

/// What a connection is wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// One statement, after which the connection is returned.
    Statement,
    /// All statements of a transaction.
    Transaction,
}

/// What a connection that is checked out is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is being opened, or a statement runs on it.
    Running,
    /// Its transaction is open, and the caller has not sent the next statement yet.
    Paused,
}

/// Whether a connection may be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    Allowed,
    /// After an idle connection has been closed.
    Replacing,
    Refused,
}

/// The mean times for which connections are used.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// For one statement; with [`Mode::Counted`], for one statement or transaction.
    pub statement: Duration,
    /// For a transaction, including its caller's pauses.
    pub transaction: Duration,
}

/// What the connections of one or several pools are used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Load {
    /// Connections that run a statement or are being opened.
    pub running: usize,
    /// Connections of open transactions whose callers pause.
    pub idle_in_transaction: usize,
    /// Statements that wait for a connection.
    pub waiting: usize,
}

impl Sum for Load {
    fn sum<I: Iterator<Item = Self>>(loads: I) -> Self {
        loads.fold(Self::default(), |total, load| Self {
            running: total.running + load.running,
            idle_in_transaction: total.idle_in_transaction + load.idle_in_transaction,
            waiting: total.waiting + load.waiting,
        })
    }
}

/// The counts of one pool's connections that are checked out. The pool itself keeps the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slots {
    mode: Mode,
    running: usize,
    paused: usize,
    /// Those that are checked out for transactions, running or paused.
    transactions: usize,
}

impl Slots {
    /// No connection is checked out.
    pub fn new(mode: Mode) -> Self {
        Self {
            mode,
            ..Self::default()
        }
    }

    /// How idle transactions count.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// The load of the pool, for which this many statements wait.
    pub fn load(&self, waiting: usize) -> Load {
        Load {
            running: self.running,
            idle_in_transaction: self.paused,
            waiting,
        }
    }

    /// All connections that are checked out.
    pub fn held(&self) -> usize {
        self.running + self.paused
    }

    /// The connections that count towards [`Share::in_use`].
    pub fn in_use(&self) -> usize {
        match self.mode {
            Mode::Counted => self.held(),
            Mode::Separate => self.running,
        }
    }

    /// Counts a connection that is checked out.
    pub fn start(&mut self, purpose: Purpose) {
        self.running += 1;
        self.transactions += usize::from(purpose == Purpose::Transaction);
    }

    /// A transaction's statement was answered.
    pub fn pause(&mut self) {
        self.running -= 1;
        self.paused += 1;
    }

    /// A transaction's next statement starts. It is never kept waiting, even above [`Share::in_use`],
    /// as its locks and its connection would delay others in the meantime.
    pub fn resume(&mut self) {
        self.paused -= 1;
        self.running += 1;
    }

    /// Counts a connection no longer that was returned or closed in `phase`.
    pub fn end(&mut self, purpose: Purpose, phase: Phase) {
        match phase {
            Phase::Running => self.running -= 1,
            Phase::Paused => self.paused -= 1,
        }
        self.transactions -= usize::from(purpose == Purpose::Transaction);
    }

    /// Whether another statement may start.
    pub fn may_start(&self, purpose: Purpose, share: Share) -> bool {
        let has_room = match self.mode {
            Mode::Counted => true,
            Mode::Separate => self.held() < share.held,
        };
        has_room && self.in_use() < share.in_use && !self.is_barred(purpose, share)
    }

    /// Whether transactions hold all connections that they may.
    ///
    /// With separate counts, one connection is left for single statements: transactions that pause on
    /// every connection would otherwise block them until a caller commits.
    pub fn is_barred(&self, purpose: Purpose, share: Share) -> bool {
        let limit = share.held.saturating_sub(1).max(1);
        self.mode == Mode::Separate && purpose == Purpose::Transaction && self.transactions >= limit
    }

    /// Whether only the end of a transaction frees a connection for a statement that cannot start.
    pub fn is_exhausted(&self, purpose: Purpose, share: Share) -> bool {
        let only_transactions = self.transactions == self.held();
        let exhausted = only_transactions && (self.running == 0 || self.held() >= share.held);
        self.mode == Mode::Separate && (exhausted || self.is_barred(purpose, share))
    }

    /// Whether a connection may be opened in addition to those checked out and `idle` others.
    pub fn opening(&self, idle: usize, share: Share) -> Opening {
        match (self.held() + idle < share.open, idle) {
            (true, _) => Opening::Allowed,
            (false, 0) => Opening::Refused,
            (false, _) => Opening::Replacing,
        }
    }

    /// The queue that a statement joins behind `ahead` others, for [`admission::decide`].
    ///
    /// The mean time of a statement does not say when a transaction ends, so that of transactions is
    /// used where only the end of one frees a connection.
    pub fn queue(&self, purpose: Purpose, share: Share, ahead: usize, times: Times) -> Queue {
        if self.mode == Mode::Counted {
            return Queue {
                waiting: ahead,
                connections: self.held(),
                hold: times.statement,
            };
        }
        if self.is_exhausted(purpose, share) {
            return Queue {
                waiting: ahead,
                connections: self.transactions,
                hold: times.transaction,
            };
        }
        // Statements of transactions may have started above the limit; they must be answered first.
        let excess = self.running.saturating_sub(share.in_use);
        Queue {
            waiting: ahead + excess,
            connections: self.running,
            hold: times.statement,
        }
    }

    /// When a caller may retry a statement that was refused after it waited.
    pub fn retry_after(&self, hold: Duration) -> Duration {
        match self.mode {
            Mode::Counted => hold,
            Mode::Separate => hold.max(admission::MIN_RETRY_AFTER),
        }
    }
}

//! Connections taken from a pool, and permits to open one. Both are returned to the pool when
//! dropped.

use std::{rc::Rc, sync::Arc};

use dandelionpitch_engine::{
    registry::Server,
    slots::{Mode, Phase, Purpose},
    time::Moment,
};

use super::{record, Pool};
use crate::line::{backend::connection::Connection, clock};

/// A connection taken from a pool. If it is dropped without [`Checkout::release`], the connection is
/// closed, which rolls back any open transaction.
pub struct Checkout {
    /// `None` once it has been returned and no longer counts.
    connection: Option<Box<Connection>>,
    pool: Rc<Pool>,
    purpose: Purpose,
    phase: Phase,
    checked_out_at: Moment,
    /// When it was checked out or resumed last.
    running_since: Moment,
}

/// A permit to open a connection. It counts towards the pool's limits until it is dropped.
pub struct Permit {
    pool: Rc<Pool>,
    purpose: Purpose,
    is_held: bool,
}

impl Permit {
    /// Creates a permit and counts the connection in the pool's state.
    pub(super) fn new(pool: Rc<Pool>, purpose: Purpose) -> Self {
        pool.state.borrow_mut().slots.start(purpose);
        Self {
            pool,
            purpose,
            is_held: true,
        }
    }

    /// Returns the permit without failing statements that wait.
    pub(super) fn forget(mut self) {
        self.end();
    }

    /// Replaces the permit by the opened connection, which counts instead.
    pub(super) fn into_checkout(mut self, connection: Connection) -> Checkout {
        self.end();
        Checkout::new(self.pool.clone(), Box::new(connection), self.purpose)
    }

    /// Counts the connection no longer; returns whether it still counted.
    fn end(&mut self) -> bool {
        let was_held = std::mem::take(&mut self.is_held);
        if was_held {
            let mut state = self.pool.state.borrow_mut();
            state.slots.end(self.purpose, Phase::Running);
        }
        was_held
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.end() {
            self.pool.replace_unused_permit();
        }
    }
}

impl Checkout {
    /// Checks out a connection and counts it in the pool's state.
    pub(super) fn new(pool: Rc<Pool>, connection: Box<Connection>, purpose: Purpose) -> Self {
        pool.state.borrow_mut().slots.start(purpose);
        let now = clock::now();
        Self {
            connection: Some(connection),
            pool,
            purpose,
            phase: Phase::Running,
            checked_out_at: now,
            running_since: now,
        }
    }

    pub fn connection(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("a checkout has its connection until it is released")
    }

    /// The server to which it is connected.
    pub fn server(&self) -> &Arc<Server> {
        &self.pool.server
    }

    /// Marks its transaction as idle until [`Checkout::resume`]; the next waiting statement may then
    /// start. Has no effect if it is paused already.
    pub fn pause(&mut self) {
        if self.phase == Phase::Paused {
            return;
        }
        self.phase = Phase::Paused;
        let mode = {
            let mut state = self.pool.state.borrow_mut();
            state.slots.pause();
            state.slots.mode()
        };
        if mode == Mode::Separate {
            record(&self.pool.hold, self.running_since);
            self.pool.serve_beside_paused();
        }
    }

    /// Marks its transaction as running again. Has no effect if it is not paused.
    pub fn resume(&mut self) {
        if self.phase == Phase::Running {
            return;
        }
        self.phase = Phase::Running;
        self.running_since = clock::now();
        self.pool.state.borrow_mut().slots.resume();
    }

    /// Returns the connection to the pool. No transaction may be open on it and no answer outstanding.
    pub fn release(mut self) {
        if let Some(connection) = self.end() {
            self.record_times();
            self.pool.return_connection(*connection);
        }
    }

    /// Returns the connection, on which nothing was run.
    pub(super) fn into_unused(mut self) -> Option<Connection> {
        self.end().map(|connection| *connection)
    }

    /// Takes the connection, which counts no longer; `None` if that was done before.
    fn end(&mut self) -> Option<Box<Connection>> {
        let connection = self.connection.take()?;
        let mut state = self.pool.state.borrow_mut();
        state.slots.end(self.purpose, self.phase);
        Some(connection)
    }

    /// Records how long the connection was used: with separate counts, only while it ran.
    fn record_times(&self) {
        let mode = self.pool.state.borrow().slots.mode();
        match (mode, self.phase) {
            (Mode::Counted, _) => record(&self.pool.hold, self.checked_out_at),
            (Mode::Separate, Phase::Running) => {
                record(&self.pool.hold, self.running_since);
            }
            (Mode::Separate, Phase::Paused) => {}
        }
        if self.purpose == Purpose::Transaction {
            record(&self.pool.transaction, self.checked_out_at);
        }
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        if self.end().is_some() {
            self.record_times();
            self.pool.replace_closed();
        }
    }
}

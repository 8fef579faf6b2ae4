//! Connections taken from a pool, and permits to open one. Both are returned to the pool when
//! dropped.

use std::{rc::Rc, sync::Arc};

use dandelionpitch_engine::{registry::Server, time::Moment};

use super::Pool;
use crate::line::backend::connection::Connection;

/// A connection taken from a pool. If it is dropped without [`Checkout::release`], the connection is
/// closed, which rolls back any open transaction.
pub struct Checkout {
    pub(super) connection: Option<Box<Connection>>,
    pub(super) pool: Rc<Pool>,
    pub(super) checked_out_at: Moment,
}

/// A permit to open a connection. It counts towards the pool's limit until it is dropped.
pub struct Permit {
    pool: Rc<Pool>,
    is_held: bool,
}

impl Permit {
    /// Creates a permit for a connection that is already counted in the pool's state.
    pub fn new(pool: Rc<Pool>) -> Self {
        let is_held = true;
        Self { pool, is_held }
    }

    /// Consumes the permit without returning it: the connection was opened and counts instead.
    pub fn forget(mut self) {
        self.is_held = false;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.is_held {
            return;
        }
        self.pool.state.borrow_mut().open -= 1;
        self.pool.fail_waiting_if_unused();
    }
}

impl Checkout {
    pub fn connection(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("a checkout has its connection until it is released")
    }

    /// The server to which it is connected.
    pub fn server(&self) -> &Arc<Server> {
        &self.pool.server
    }

    /// Returns the connection to the pool. No transaction may be open on it and no answer outstanding.
    pub fn release(mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.record_hold(self.checked_out_at);
            self.pool.return_connection(*connection);
        }
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.pool.record_hold(self.checked_out_at);
            self.pool.return_permit();
        }
    }
}

//! What a pool lends: a connection, or the place to open one. Dropped, each goes back by itself.

use std::{rc::Rc, sync::Arc};

use dandelionpitch_engine::{registry::Server, time::Moment};

use super::Pool;
use crate::line::backend::connection::Connection;

/// A connection on loan. Dropped without [`Checkout::release`], it is closed, which rolls back
/// whatever is open on it.
pub struct Checkout {
    pub(super) connection: Option<Box<Connection>>,
    pub(super) pool: Rc<Pool>,
    pub(super) since: Moment,
}

/// A counted place for a connection that is being opened; dropped, it is free again.
pub struct Place {
    pool: Rc<Pool>,
    counted: bool,
}

impl Place {
    pub fn new(pool: Rc<Pool>) -> Self {
        let counted = true;
        Self { pool, counted }
    }

    /// The place is taken by a connection now.
    pub fn keep(mut self) {
        self.counted = false;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.counted {
            return;
        }
        let mut state = self.pool.state.borrow_mut();
        state.open -= 1;
        // Those who wait for a connection that will not come are told at once.
        if state.open == 0 {
            state.waiting.clear();
        }
    }
}

impl Checkout {
    /// The connection.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("a checkout has its connection until it is released")
    }

    /// The server it leads to.
    pub fn server(&self) -> &Arc<Server> {
        &self.pool.server
    }

    /// Gives the connection back; no transaction may be open on it and no answer outstanding.
    pub fn release(mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.held(self.since);
            self.pool.give_back(connection);
        }
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.pool.held(self.since);
            self.pool.give_room();
        }
    }
}

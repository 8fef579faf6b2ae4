//! Whether a connection comes from a caller or another proxy, and what a graceful shutdown waits for.

use std::{cell::Cell, rc::Rc};

/// The kind of client that opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    Caller,
    /// Another proxy, which forwards statements of many sessions, one at a time.
    Peer,
}

/// Counts a forwarded statement as open while it is processed, so that a graceful shutdown waits for
/// it.
pub struct InFlight(Option<Rc<Cell<usize>>>);

impl InFlight {
    /// Increments `open` until the value is dropped, if the statement is from another proxy.
    pub fn new(open: &Rc<Cell<usize>>, origin: Origin) -> Self {
        let counter = (origin == Origin::Peer).then(|| open.clone());
        if let Some(open) = &counter {
            open.set(open.get() + 1);
        }
        Self(counter)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(open) = &self.0 {
            open.set(open.get() - 1);
        }
    }
}

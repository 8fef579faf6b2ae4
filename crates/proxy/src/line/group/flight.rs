//! Work that many statements wait for and that is done once.

use std::cell::Cell;

use tokio::sync::Notify;

/// Work that is done once for all who wait for it, in a task of its own: a statement that gives up
/// waiting must not take the work down with it.
#[derive(Default)]
pub struct Flight {
    running: Cell<bool>,
    pub ended: Notify,
}

impl Flight {
    /// Whether the caller is to start the work, as nobody has.
    pub fn starts(&self) -> bool {
        !self.running.replace(true)
    }

    pub fn end(&self) {
        self.running.set(false);
        self.ended.notify_waiters();
    }
}

/// Ends a flight, also when whoever waits for it gives up.
pub struct Landing<'a>(pub &'a Flight);

impl Drop for Landing<'_> {
    fn drop(&mut self) {
        self.0.end();
    }
}

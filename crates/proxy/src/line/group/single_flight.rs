//! Work that many statements wait for and that is done once.

use std::cell::Cell;

use tokio::sync::Notify;

/// Work that is done once for all who wait for it, in a task of its own: a statement that gives up
/// waiting must not take the work down with it.
#[derive(Default)]
pub struct SingleFlight {
    running: Cell<bool>,
    pub finished: Notify,
}

impl SingleFlight {
    /// Whether the caller is to start the work, as nobody has.
    pub fn try_start(&self) -> bool {
        !self.running.replace(true)
    }

    pub fn finish(&self) {
        self.running.set(false);
        self.finished.notify_waiters();
    }
}

/// Ends a flight, also when whoever waits for it gives up.
pub struct Guard<'a>(pub &'a SingleFlight);

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.0.finish();
    }
}

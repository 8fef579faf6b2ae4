//! Runs work once for all statements that wait for it.

use std::cell::Cell;

use tokio::sync::Notify;

/// Deduplicates work that several statements need at the same time: one starts it, all wait for it.
///
/// The work runs in a task of its own, so that it continues if the statement that started it is
/// cancelled, or under a [`Guard`], so that the cancellation does not leave it marked as running.
#[derive(Default)]
pub struct SingleFlight {
    running: Cell<bool>,
    /// Notifies all waiters when the work has finished.
    pub finished: Notify,
}

impl SingleFlight {
    /// Returns whether the caller has to start the work, and marks it as running.
    pub fn try_start(&self) -> bool {
        !self.running.replace(true)
    }

    /// Marks the work as finished and wakes all waiters.
    pub fn finish(&self) {
        self.running.set(false);
        self.finished.notify_waiters();
    }
}

/// Marks the work as finished when dropped, also if the future that runs it is cancelled.
pub struct Guard<'a>(pub &'a SingleFlight);

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.0.finish();
    }
}

//! Rejects statuses that come from another incarnation of a server than the registered one.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{
    registry::Incarnation, restart::Detector, takeover::Status, time::Moment,
};
use dandelionpitch_platform::Error;

use crate::line::clock;

/// What the statuses of one server prove about its incarnation.
///
/// The control thread and the traffic thread share it. So a failover leader that has just been elected
/// need not wait until its own requests prove which servers have not restarted.
#[derive(Clone, Debug, Default)]
pub struct Observer(Arc<Mutex<Detector>>);

impl Observer {
    /// Returns `status`, which was requested at `asked` and has just arrived, if it may come from
    /// `server`, the registered incarnation.
    ///
    /// # Errors
    /// The status shows that the server has restarted and lost its log.
    pub fn check(
        &self,
        server: &Incarnation,
        status: Status,
        asked: Moment,
    ) -> Result<Status, Error> {
        match lock(&self.0).accepts(&status, asked, clock::now()) {
            true => Ok(status),
            false => Err(Error::restarted(server)),
        }
    }

    /// Whether its first status was certainly from the registered incarnation
    /// ([`Detector::is_established`]).
    pub fn is_established(&self, synced_until: Moment) -> bool {
        lock(&self.0).is_established(synced_until)
    }

    /// How current a list of registrations must be for [`Self::is_established`]; `None` before the first
    /// status.
    pub fn established_by(&self) -> Option<Moment> {
        lock(&self.0).established_by()
    }
}

/// The observers of all servers in use.
#[derive(Clone, Debug, Default)]
pub struct Observers(Arc<Mutex<Index>>);

#[derive(Debug, Default)]
struct Index {
    detectors: Map<Incarnation, Weak<Mutex<Detector>>>,
    /// The size at which entries of servers that are no longer in use are removed.
    cleanup_size: usize,
}

impl Observers {
    /// The observer of one server.
    pub fn get(&self, server: &Incarnation) -> Observer {
        let mut index = lock(&self.0);
        if let Some(known) = index.detectors.get(server).and_then(Weak::upgrade) {
            return Observer(known);
        }
        if index.detectors.len() >= index.cleanup_size {
            index
                .detectors
                .retain(|_, detector| detector.strong_count() > 0);
            index.cleanup_size = 2 * index.detectors.len();
        }
        let detector = Arc::default();
        index
            .detectors
            .insert(server.clone(), Arc::downgrade(&detector));
        Observer(detector)
    }
}

/// Locks a mutex. A panic of the other thread leaves its content valid.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! The traffic thread's access to the groups' records in the store, in addition to the published
//! view: how current the view is, and a record read from the store on request.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use dandelionpitch_engine::{commit::Snapshot, roster::LIST_VALIDITY, time::Moment};
use tokio::sync::{mpsc, oneshot};

/// A request for a snapshot of a group's record.
pub struct Request {
    pub service: String,
    /// Receives `None` if the store did not answer, or has no valid record that was written since
    /// the store's last restore.
    pub answer: oneshot::Sender<Option<Snapshot>>,
}

/// The traffic thread's end of the channel.
#[derive(Clone, Debug)]
pub struct Reader {
    synced_until_ms: Arc<AtomicU64>,
    requests: mpsc::UnboundedSender<Request>,
}

/// The control thread's end of the channel.
pub struct Responder {
    pub synced_until_ms: Arc<AtomicU64>,
    pub requests: mpsc::UnboundedReceiver<Request>,
}

/// Creates both ends.
pub fn channel() -> (Reader, Responder) {
    let synced_until_ms = Arc::new(AtomicU64::new(0));
    let (tx, rx) = mpsc::unbounded_channel();
    let reader = Reader {
        synced_until_ms: synced_until_ms.clone(),
        requests: tx,
    };
    let responder = Responder {
        synced_until_ms,
        requests: rx,
    };
    (reader, responder)
}

/// Records that every change of the store up to `moment` has been applied.
pub fn note_synced(synced_until_ms: &AtomicU64, moment: Moment) {
    let millis = u64::try_from(moment.millis()).unwrap_or(u64::MAX);
    synced_until_ms.store(millis, Ordering::Relaxed);
}

impl Reader {
    /// Whether the view's lists of servers that count for promotions are still valid: the view is
    /// less than [`LIST_VALIDITY`] behind the store.
    pub fn are_current(&self, now: Moment) -> bool {
        self.age(now) < LIST_VALIDITY
    }

    /// How far the view may be behind the store.
    pub fn age(&self, now: Moment) -> Duration {
        now.since(self.synced_until())
    }

    /// The moment up to which every change of the store is in the view, or will be within moments.
    pub fn synced_until(&self) -> Moment {
        Moment::from_boot(Duration::from_millis(
            self.synced_until_ms.load(Ordering::Relaxed),
        ))
    }

    /// Requests a snapshot of a group's record from the store; `None` as in [`Request::answer`].
    pub async fn snapshot(&self, service: &str) -> Option<Snapshot> {
        let (answer, response) = oneshot::channel();
        let service = service.to_owned();
        // The other end is closed only when the process exits.
        self.requests.send(Request { service, answer }).ok()?;
        response.await.ok()?
    }
}

//! What traffic learns of the groups' records in the store beside the published view: how old the view
//! may be, and what the store says of a group's last promotion at this moment.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use dandelionpitch_engine::{commit::Snapshot, roster::LIST_VALIDITY, time::Moment};
use tokio::sync::{mpsc, oneshot};

/// A question about a group's record.
pub struct Request {
    pub service: String,
    /// `None` if the store did not answer or has no record.
    pub answer: oneshot::Sender<Option<Snapshot>>,
}

/// The end at which traffic asks.
#[derive(Clone, Debug)]
pub struct Reader {
    synced_until: Arc<AtomicU64>,
    requests: mpsc::UnboundedSender<Request>,
}

/// The end at which the control thread answers.
pub struct Responder {
    pub synced_until: Arc<AtomicU64>,
    pub requests: mpsc::UnboundedReceiver<Request>,
}

/// Both ends.
pub fn channel() -> (Reader, Responder) {
    let synced_until = Arc::new(AtomicU64::new(0));
    let (sender, receiver) = mpsc::unbounded_channel();
    let records = Reader {
        synced_until: synced_until.clone(),
        requests: sender,
    };
    let responder = Responder {
        synced_until,
        requests: receiver,
    };
    (records, responder)
}

/// Notes that up to `moment` no change of the store was missed.
pub fn note_synced(synced_until: &AtomicU64, moment: Moment) {
    let millis = u64::try_from(moment.millis()).unwrap_or(u64::MAX);
    synced_until.store(millis, Ordering::Relaxed);
}

impl Reader {
    /// Whether the view is young enough for its lists of servers to hold.
    pub fn are_current(&self, now: Moment) -> bool {
        let synced_until = Duration::from_millis(self.synced_until.load(Ordering::Relaxed));
        now.since(Moment::from_boot(synced_until)) < LIST_VALIDITY
    }

    /// Asks the store for a group's record.
    pub async fn snapshot(&self, service: &str) -> Option<Snapshot> {
        let (answer, answered) = oneshot::channel();
        let service = service.to_owned();
        // Either end is gone only when the process ends; then there is nothing to say.
        self.requests.send(Request { service, answer }).ok()?;
        answered.await.ok()?
    }
}

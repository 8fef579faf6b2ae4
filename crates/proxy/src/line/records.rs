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
pub struct Inquiry {
    pub service: String,
    /// `None` if the store did not answer or has no record.
    pub answer: oneshot::Sender<Option<Snapshot>>,
}

/// The end at which traffic asks.
#[derive(Clone, Debug)]
pub struct Records {
    followed: Arc<AtomicU64>,
    inquiries: mpsc::UnboundedSender<Inquiry>,
}

/// The end at which the control thread answers.
pub struct Desk {
    pub followed: Arc<AtomicU64>,
    pub inquiries: mpsc::UnboundedReceiver<Inquiry>,
}

/// Both ends.
pub fn channel() -> (Records, Desk) {
    let followed = Arc::new(AtomicU64::new(0));
    let (sender, receiver) = mpsc::unbounded_channel();
    let records = Records {
        followed: followed.clone(),
        inquiries: sender,
    };
    let desk = Desk {
        followed,
        inquiries: receiver,
    };
    (records, desk)
}

/// Notes that up to `moment` no change of the store was missed.
pub fn note_followed(followed: &AtomicU64, moment: Moment) {
    let millis = u64::try_from(moment.millis()).unwrap_or(u64::MAX);
    followed.store(millis, Ordering::Relaxed);
}

impl Records {
    /// Whether the view is young enough for its lists of servers to hold.
    pub fn are_current(&self, now: Moment) -> bool {
        let followed = Duration::from_millis(self.followed.load(Ordering::Relaxed));
        now.since(Moment::from_boot(followed)) < LIST_VALIDITY
    }

    /// Asks the store for a group's record.
    pub async fn testimony(&self, service: &str) -> Option<Snapshot> {
        let (answer, answered) = oneshot::channel();
        let service = service.to_owned();
        // Either end is gone only when the process ends; then there is nothing to say.
        self.inquiries.send(Inquiry { service, answer }).ok()?;
        answered.await.ok()?
    }
}

//! Reads without a primary: applies what the answers of a search prove about the group's commits. The
//! engine's [`quorum`] decides.
//!
//! [`quorum`]: dandelionpitch_engine::quorum

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    commit::Snapshot,
    freshness::Watermark,
    quorum::{Round, Voters},
    takeover::Status,
    time::Moment,
};
use tokio::{sync::Notify, time::timeout};

use super::Group;

use crate::line::{backend::Backend, clock};

/// What a group's searches have proved without its primary.
#[derive(Default)]
pub(super) struct Quorum {
    /// The answers to the last search.
    round: RefCell<Option<Round>>,
    /// The group's record, as last read for waiting reads.
    record: RefCell<Option<Snapshot>>,
    /// The newest watermark for linearizable reads.
    latest: Cell<Option<Watermark>>,
    /// Whether a read waits for a search that reads the record and has not sent its requests yet.
    is_wanted: Cell<bool>,
    /// Whether the record is being read.
    is_reading: Cell<bool>,
    /// Whether the last attempt to read the record failed.
    has_read_failed: Cell<bool>,
    /// Notifies waiting reads of further answers, and of the end of a search.
    pub changed: Notify,
}

impl Group {
    /// The position that a server's log must have reached for a linearizable read that arrived at
    /// `at`, from a quorum's answers to requests sent after that. Gives up after `limit`.
    ///
    /// All reads that wait share one search, which sends its requests when the last one has ended.
    pub async fn quorum_position(self: &Rc<Self>, at: Moment, limit: Duration) -> Option<Position> {
        if self.sync_replicas.get() == 0 {
            return None;
        }
        let proved = async {
            loop {
                let latest = self.quorum.latest.get();
                if let Some(mark) = latest.filter(|mark| mark.asked >= at) {
                    return mark.position;
                }
                self.quorum.is_wanted.set(true);
                self.spawn_search();
                self.quorum.changed.notified().await;
            }
        };
        timeout(limit, proved).await.ok()
    }

    /// Whether no answers of the servers can prove what a read must see that needs every commit acknowledged
    /// before `since`: no primary is known, the list in the view is older, and the store does not answer.
    pub(super) fn lacks_list(&self, since: Moment) -> bool {
        self.known_leader().is_none()
            && self.quorum.has_read_failed.get()
            && self.records.synced_until() < since
    }

    /// Lets the next search read the group's record if the list in the view is too old for a read that has
    /// to see every commit acknowledged before `since`.
    pub(super) fn require_list(&self, since: Moment) {
        if self.records.synced_until() < since {
            self.quorum.is_wanted.set(true);
        }
    }

    /// Starts a search whose requests are sent at `asked`, and reads the group's record from the store
    /// if a read waits for that. The list in the view may lack a server that was added after the
    /// view's last update and has confirmed a commit alone.
    pub(super) fn start_round(self: &Rc<Self>, asked: Moment) {
        let round = Round::new(asked, self.sync_replicas.get());
        *self.quorum.round.borrow_mut() = Some(round);
        if self.quorum.is_reading.get() || !self.quorum.is_wanted.take() {
            return;
        }
        self.quorum.is_reading.set(true);
        let group = self.clone();
        tokio::task::spawn_local(async move {
            let record = group.records.snapshot(&group.name).await;
            group.quorum.is_reading.set(false);
            group.quorum.has_read_failed.set(record.is_none());
            if record.is_some() {
                *group.quorum.record.borrow_mut() = record;
                group.apply_quorum();
            }
        });
    }

    /// Adds a server's answer to the search. [`Backend::status`] has checked its incarnation.
    pub(super) fn note_answer(&self, backend: &Backend, status: &Status) {
        if let Some(round) = self.quorum.round.borrow_mut().as_mut() {
            let is_established = backend.is_established(self.records.synced_until());
            round.note(&backend.server.incarnation, status, is_established);
        }
        self.apply_quorum();
    }

    /// Adds the watermarks that the answers so far prove without the primary.
    fn apply_quorum(&self) {
        let round = self.quorum.round.borrow();
        let Some(round) = round.as_ref() else { return };
        let voters = self.voters.borrow();
        let listed = voters.as_deref().map(|members| Voters {
            members,
            as_of: self.records.synced_until(),
        });
        let record = self.quorum.record.borrow();
        let read = record.as_ref().map(|record| Voters {
            members: &record.members,
            as_of: record.asked,
        });
        let mut has_bounded = false;
        for voters in listed.into_iter().chain(read) {
            let mut marks = self.watermarks.borrow_mut();
            has_bounded |= round.apply(voters, clock::now(), &mut marks);
        }
        let latest = read.and_then(|voters| round.watermark(voters));
        let known = self.quorum.latest.get();
        if latest.is_some_and(|mark| known.is_none_or(|known| known.asked < mark.asked)) {
            self.quorum.latest.set(latest);
        }
        if has_bounded || latest.is_some() {
            self.quorum.changed.notify_waiters();
        }
    }
}

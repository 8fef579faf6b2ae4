//! Asks a group's servers for what proves that a read misses nothing: who leads, and how far the
//! primary's log goes. What an answer proves is decided by [`freshness`].

use std::{rc::Rc, time::Duration};

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    freshness::{self, Poll, Relation, Watermark},
    registry::Role,
    takeover::Status,
    time::Moment,
};
use futures::{stream::FuturesUnordered, StreamExt};
use serde_json::json;
use tokio::time::timeout;

use super::{Group, Leader};

use crate::line::{backend::Backend, clock, journal};

/// The least time until replicas are asked again that spoke for another primary: a promotion takes
/// most of a second.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// How long the primary alone is asked for a position before all servers are: twice the usual time of a
/// statement, behind which its answer may wait.
const PRIMARY_FIRST: Duration = Duration::from_millis(80);

/// How long the first answer of a poll is waited for.
const STATUS_PATIENCE: Duration = Duration::from_millis(400);

/// How long the others are waited for once one has answered: some round trips between data centres.
const LATE_ANSWER: Duration = Duration::from_millis(25);

impl Group {
    /// Whether a read that came at `at` misses nothing on the known primary, asking the replicas if
    /// needed.
    ///
    /// Failure: the primary is cut off with this data centre, another one was promoted, and a read
    /// here misses what that one acknowledged. Guard: [`Lease`].
    pub async fn confirm_leader(self: &Rc<Self>, at: Moment) -> bool {
        // A poll that was already under way when the read came may not be enough.
        for _ in 0..3 {
            let lease = self.lease.get();
            if lease.covers(at) {
                if lease.needs_renewal(clock::now()) {
                    self.confirm_ahead();
                }
                return true;
            }
            self.confirm_ahead();
            self.confirmation.finished.notified().await;
        }
        self.lease.get().covers(at)
    }

    /// Renews the lease in the background, so that the next read need not wait for it.
    fn confirm_ahead(self: &Rc<Self>) {
        if !self.confirmation.try_start() {
            return;
        }
        let group = self.clone();
        tokio::task::spawn_local(async move {
            let wait = clock::now().until(group.denied.get() + ASK_AGAIN);
            tokio::time::sleep(wait).await;
            group.ask_replicas().await;
            group.confirmation.finish();
        });
    }

    /// Asks the replicas whether they obey the primary: all of them, or only as many as needed to
    /// renew the lease.
    async fn ask_replicas(&self) {
        let Some(leader) = self.known_leader() else {
            return;
        };
        let asked = clock::now();
        let mut replicas = self.servers();
        replicas.retain(|backend| !Rc::ptr_eq(backend, &leader.backend));
        let sync_replicas = self.sync_replicas.get();
        replicas.retain(|backend| !backend.avoided(asked));
        replicas.sort_by_key(|backend| backend.server.dc != self.dc);
        if self.lease.get().is_renewable(asked) {
            replicas.truncate(sync_replicas.max(1));
        }
        let mut followers = 0;
        let mut answers: FuturesUnordered<_> = replicas
            .iter()
            .map(|replica| async move { (replica, replica.status().await) })
            .collect();
        let mut patience = STATUS_PATIENCE;
        while let Ok(Some((replica, answer))) = timeout(patience, answers.next()).await {
            // Meanwhile another search may have found another primary.
            if !self.is_leader(&leader.backend) {
                return;
            }
            let Ok(status) = answer else { continue };
            match freshness::relation(&status, leader.term) {
                Relation::Follows => followers += 1,
                Relation::Supersedes => return self.superseded(&leader, replica, &status),
                Relation::Unrelated => {}
            }
            patience = LATE_ANSWER;
        }
        self.confirmed(self.poll(asked, followers));
    }

    pub(super) fn superseded(&self, leader: &Leader, by: &Rc<Backend>, status: &Status) {
        journal::write(
            "superseded",
            json!({ "service": self.name, "server": leader.backend.server.id(),
                "term": leader.term, "by": by.server.id(), "its_term": status.term,
                "held": status.held }),
        );
        self.denied.set(clock::now());
        self.revoke();
        if status.term > leader.term {
            self.clear_leader(&leader.backend);
        }
    }

    pub(super) fn confirmed(&self, poll: Poll) {
        let mut lease = self.lease.get();
        lease.confirm(poll);
        self.lease.set(lease);
        if let Some(mark) = self.unconfirmed.take() {
            self.note(mark);
        }
    }

    /// Notes the end of a server's log, from its answer to a question sent at `asked`. Returns
    /// whether the answer may be the primary's, if the server is known as that.
    ///
    /// Failure: the primary was superseded and already follows another, or has started again with an
    /// empty log, and its answer is taken for a primary's. Guard: its log then has entries of a later
    /// term, or ends before a position that it had before the question.
    pub fn note_position(
        &self,
        backend: &Rc<Backend>,
        asked: Moment,
        position: Option<Position>,
    ) -> bool {
        let Some(leader) = self.known_leader() else {
            return true;
        };
        let (true, Some(position)) = (Rc::ptr_eq(&leader.backend, backend), position) else {
            return true;
        };
        let lost_log = self
            .newest_mark_before(asked)
            .is_some_and(|mark| position < mark);
        if position.term > leader.term || lost_log {
            self.clear_leader(backend);
            return false;
        }
        self.note(Watermark { asked, position });
        true
    }

    fn newest_mark_before(&self, asked: Moment) -> Option<Position> {
        let newest = self.marks.borrow().newest();
        newest
            .filter(|mark| mark.asked <= asked)
            .map(|mark| mark.position)
    }

    /// What the primary's log must go up to for a read that must see every commit.
    pub fn newest_position(&self) -> Option<Position> {
        self.marks.borrow().newest_position()
    }

    fn note(&self, mark: Watermark) {
        match self.lease.get().covers(mark.asked) {
            true => self.marks.borrow_mut().note(mark),
            false => self.unconfirmed.set(Some(mark)),
        }
    }

    /// What a read must see that may miss what was acknowledged after `since`, and must see `own`.
    pub async fn required_position(
        self: &Rc<Self>,
        since: Moment,
        own: Option<Position>,
    ) -> Option<Position> {
        for _ in 0..2 {
            let floor = freshness::required(since, &self.marks.borrow(), own);
            if floor.is_some() {
                let halfway = clock::now().since(since) / 2;
                let newest = self.marks.borrow().newest();
                if newest.is_some_and(|mark| clock::now().since(mark.asked) > halfway) {
                    self.refresh_ahead();
                }
                return floor;
            }
            self.refresh_ahead();
            self.refresh.finished.notified().await;
        }
        freshness::required(since, &self.marks.borrow(), own)
    }

    fn refresh_ahead(self: &Rc<Self>) {
        if !self.refresh.try_start() {
            return;
        }
        let group = self.clone();
        tokio::task::spawn_local(async move {
            group.ask_position().await;
            group.refresh.finish();
        });
    }

    /// Asks the primary for the end of its log, and a replica whether it still leads; all servers if that
    /// takes too long.
    async fn ask_position(self: &Rc<Self>) {
        let Some(leader) = self.leader().await else {
            return;
        };
        let survey = async {
            tokio::time::sleep(PRIMARY_FIRST).await;
            self.find_leader().await;
        };
        tokio::select! {
            biased;
            true = self.ask_primary(&leader) => {}
            () = survey => {}
        }
    }

    /// Asks the primary for the end of its log; whether it said so.
    async fn ask_primary(self: &Rc<Self>, leader: &Leader) -> bool {
        let asked = clock::now();
        let (status, _) = tokio::join!(leader.backend.status(), self.confirm_leader(asked));
        match status {
            Ok(status) if status.role == Role::Primary && status.term == leader.term => {
                self.note_position(&leader.backend, asked, Some(status.received));
                return true;
            }
            Ok(_) => self.clear_leader(&leader.backend),
            Err(error) => {
                let server = &leader.backend.server.incarnation;
                journal::trouble("position", &format!("{server}: {error}"));
            }
        }
        false
    }

    /// Notes what the answers of a search prove.
    pub(super) fn note_survey(&self, asked: Moment, statuses: &[(Rc<Backend>, Status)]) {
        let counting = statuses.iter().filter(|(backend, _)| backend.counted.get());
        let received: Vec<Position> = counting.map(|(_, status)| status.received).collect();
        let Some(counted) = self.counted.borrow().as_ref().map(Vec::len) else {
            return;
        };
        let sync_replicas = self.sync_replicas.get();
        if let Some(mark) = freshness::quorum_watermark(asked, &received, counted, sync_replicas) {
            self.marks.borrow_mut().note(mark);
        }
    }
}

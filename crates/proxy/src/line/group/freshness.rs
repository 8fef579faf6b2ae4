//! Requests the statuses that prove that a read misses no commit: which server leads, and where the
//! primary's log ends. The engine's [`freshness`] decides what an answer proves.

use std::{rc::Rc, time::Duration};

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    commit::Standing,
    freshness::{self, Poll, Relation, Watermark},
    registry::Role,
    takeover::Status,
    time::Moment,
};
use futures::{stream::FuturesUnordered, StreamExt};
use serde_json::json;
use tokio::time::timeout;

use super::{durability::Followers, Group, Leader};

use crate::line::{backend::Backend, clock, journal};

/// The least time between a replica's report that the leader is superseded and the next poll of the
/// replicas. An earlier poll would be useless, as the promotion takes longer.
const SUPERSEDED_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long the primary may take to report the end of its log before all servers are asked. Covers a
/// status request queued behind a typical statement.
const PRIMARY_TIMEOUT: Duration = Duration::from_millis(80);

/// How often a read waits for a new watermark. The first request may have been sent too early for it.
const MAX_REFRESHES: usize = 2;

/// The timeout for the first answer of a poll.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// The timeout for each further answer: some round trips between data centres.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(25);

impl Group {
    /// Whether a read that arrived at `at` sees every acknowledged commit on the known leader.
    /// Polls the replicas if the lease does not prove it.
    ///
    /// If the leader is partitioned together with this data centre, another primary may have been
    /// promoted, whose commits the read would miss. The [`freshness::Lease`] excludes this.
    pub async fn confirm_leader(self: &Rc<Self>, at: Moment) -> bool {
        // A poll that was sent before the read arrived may not cover it.
        for _ in 0..3 {
            let lease = self.lease.get();
            if lease.covers(at) {
                if lease.needs_renewal(clock::now()) {
                    self.spawn_confirmation();
                }
                return true;
            }
            self.spawn_confirmation();
            self.confirmation.finished.notified().await;
        }
        self.lease.get().covers(at)
    }

    /// Renews the lease in the background, so that the next read need not wait for it.
    fn spawn_confirmation(self: &Rc<Self>) {
        if !self.confirmation.try_start() {
            return;
        }
        let group = self.clone();
        tokio::task::spawn_local(async move {
            let delay = clock::now().until(group.superseded_at.get() + SUPERSEDED_RETRY_DELAY);
            tokio::time::sleep(delay).await;
            group.poll_replicas().await;
            group.confirmation.finish();
        });
    }

    /// Polls the replicas for whether they follow the leader: all of them, or only as many as are
    /// needed to renew the lease.
    async fn poll_replicas(&self) {
        let Some(leader) = self.known_leader() else {
            return;
        };
        let asked = clock::now();
        let mut replicas = self.servers();
        replicas.retain(|backend| !Rc::ptr_eq(backend, &leader.backend));
        let sync_replicas = self.sync_replicas.get();
        let is_voter = |replica: &Rc<Backend>| replica.standing(asked) == Standing::Voter;
        replicas.retain(|backend| !backend.is_avoided(asked));
        replicas.sort_by_key(|backend| (backend.is_leaving(), backend.server.dc != self.dc));
        let required = sync_replicas.max(1);
        let voters = replicas.iter().filter(|replica| is_voter(replica)).count();
        if self.lease.get().is_renewable(asked) && voters >= required {
            replicas.retain(is_voter);
            replicas.truncate(required);
        }
        let mut followers = Followers::default();
        let mut answers: FuturesUnordered<_> = replicas
            .iter()
            .map(|replica| async move { (replica, replica.status().await) })
            .collect();
        let mut answer_timeout = FIRST_ANSWER_TIMEOUT;
        while let Ok(Some((replica, answer))) = timeout(answer_timeout, answers.next()).await {
            // A search may have found another leader in the meantime.
            if !self.is_leader(&leader.backend) {
                return;
            }
            let Ok(status) = answer else { continue };
            match freshness::relation(&status, leader.term) {
                Relation::Follows => followers.add(replica),
                Relation::Supersedes => return self.note_superseded(&leader, replica, &status),
                Relation::Unrelated => {}
            }
            answer_timeout = LATE_ANSWER_TIMEOUT;
        }
        self.apply_poll(self.new_poll(asked, followers));
    }

    /// Records that `by` reported a later term than that of `leader`, or is held for one: revokes the
    /// lease, and forgets the leader in the former case.
    pub(super) fn note_superseded(&self, leader: &Leader, by: &Rc<Backend>, status: &Status) {
        journal::write(
            "superseded",
            json!({ "service": self.name, "server": leader.backend.server.id(),
                "term": leader.term, "by": by.server.id(), "its_term": status.term,
                "held": status.held }),
        );
        self.superseded_at.set(clock::now());
        self.revoke_lease();
        if status.term > leader.term {
            self.clear_leader(&leader.backend);
        }
    }

    /// Applies a poll to the lease, and adds the pending watermark if the lease now covers it.
    pub(super) fn apply_poll(&self, poll: Poll) {
        let mut lease = self.lease.get();
        lease.confirm(poll);
        self.lease.set(lease);
        if let Some(watermark) = self.pending_watermark.take() {
            self.note_watermark(watermark);
        }
    }

    /// Records the end of a server's log, from its answer to a request sent at `asked`. Returns
    /// `false` if the server is the known leader but the answer is not a primary's: it already
    /// follows another primary, or has restarted with an empty log.
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
        let known = self.watermarks.borrow().position_before(asked);
        let lost_log = known.is_some_and(|known| position < known);
        if position.term > leader.term || lost_log {
            self.clear_leader(backend);
            return false;
        }
        self.note_watermark(Watermark { asked, position });
        true
    }

    /// The position that a primary's log must have reached to run a linearizable read.
    pub fn newest_position(&self) -> Option<Position> {
        self.watermarks.borrow().newest_position()
    }

    /// Adds a watermark if the lease covers it, or else keeps it until the lease is renewed.
    fn note_watermark(&self, watermark: Watermark) {
        match self.lease.get().covers(watermark.asked) {
            true => self.watermarks.borrow_mut().note(watermark),
            false => self.pending_watermark.set(Some(watermark)),
        }
    }

    /// The position that a server's log must have reached for a read that has to see every commit
    /// acknowledged before `since` and the session's own writes up to `own`. `None` if no recent
    /// enough watermark can be obtained.
    pub async fn required_position(
        self: &Rc<Self>,
        since: Moment,
        own: Option<Position>,
    ) -> Option<Position> {
        let mut refreshes = 0;
        loop {
            let floor = freshness::required(since, &self.watermarks.borrow(), own);
            if floor.is_some() {
                let half_bound = clock::now().since(since) / 2;
                let newest = self.watermarks.borrow().newest();
                if newest.is_some_and(|watermark| clock::now().since(watermark.asked) > half_bound)
                {
                    self.spawn_refresh();
                }
                return floor;
            }
            if refreshes == MAX_REFRESHES {
                return None;
            }
            self.require_list(since);
            self.spawn_refresh();
            if self.lacks_list(since) {
                return None;
            }
            // A quorum's answers count at once, not only when the search for the primary has ended.
            tokio::select! {
                () = self.refresh.finished.notified() => refreshes += 1,
                () = self.quorum.changed.notified() => {}
            }
        }
    }

    /// Requests a new watermark in the background.
    fn spawn_refresh(self: &Rc<Self>) {
        if !self.refresh.try_start() {
            return;
        }
        let group = self.clone();
        tokio::task::spawn_local(async move {
            group.request_watermark().await;
            group.refresh.finish();
        });
    }

    /// Requests a new watermark: from the leader, and from all servers if the leader takes too long.
    async fn request_watermark(self: &Rc<Self>) {
        let Some(leader) = self.leader().await else {
            return;
        };
        let primary_timeout = match leader.backend.is_avoided(clock::now()) {
            true => Duration::ZERO,
            false => PRIMARY_TIMEOUT,
        };
        let search_all = async {
            tokio::time::sleep(primary_timeout).await;
            self.find_leader().await;
        };
        tokio::select! {
            biased;
            true = self.request_from_leader(&leader) => {}
            () = search_all => {}
        }
    }

    /// Requests the end of the leader's log and polls the replicas if the lease has to be renewed.
    /// Returns whether the leader answered as a primary of the same term.
    async fn request_from_leader(self: &Rc<Self>, leader: &Leader) -> bool {
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
}

//! Whether a commit is certain to outlive a change of the primary, before its caller is told that it
//! is kept. What the answers prove is decided by [`commit`].
//!
//! [`commit`]: dandelionpitch_engine::commit

use std::{rc::Rc, time::Duration};

use dandelionpitch_core::{hash::Set, position::Position};
use dandelionpitch_engine::{
    commit::{Commit, List},
    freshness::{self, Poll, Word},
    registry::Incarnation,
    takeover::Status,
    time::Moment,
};
use dandelionpitch_platform::Error;
use futures::{stream::FuturesUnordered, StreamExt};
use serde_json::json;
use tokio::time::{sleep, timeout};

use super::{Flight, Group};

use crate::line::{backend::Backend, clock, journal};

/// How long the nearest replica is waited for before the next is asked as well: a status behind
/// one statement of usual length.
const HEDGE: Duration = Duration::from_millis(40);

/// How long the first answer of a round is waited for: as long as a status may take.
const FIRST_ANSWER: Duration = Duration::from_millis(400);

/// How long the others are waited for once a server has the commit: some round trips between data
/// centres.
const LATE_ANSWER: Duration = Duration::from_millis(25);

/// The pause before the replicas are asked again. A commit reaches them within some milliseconds.
const ASK_AGAIN: Duration = Duration::from_millis(10);

impl Group {
    /// Whether a commit at `position` of `backend` will be in the log of whoever is promoted; asks until
    /// `limit` has passed.
    ///
    /// Failure: a primary acknowledges a commit on the word of a replica that no promoter knows of, or
    /// that received it only when a promotion had taken effect; the server that is promoted lacks what
    /// callers were told is kept (8 to 28 commits in a day of 34 s, 40 in one of 60 s). Guard:
    /// [`Commit::is_kept`]. Cost: one question a commit, 0.005 of the worth of a day and about 2 ms.
    pub async fn is_kept(
        self: &Rc<Self>,
        backend: &Rc<Backend>,
        position: Option<Position>,
        limit: Duration,
    ) -> bool {
        let (Some(position), true) = (position, self.sync_replicas.get() > 0) else {
            return true;
        };
        let mut commit = Commit::new(position);
        let found = async {
            while !self.confirm_commit(backend, &mut commit).await {
                sleep(ASK_AGAIN).await;
            }
        };
        timeout(limit, found).await.is_ok()
    }

    /// One round: asks the replicas, and the store if they have the commit and that alone is no proof.
    async fn confirm_commit(self: &Rc<Self>, backend: &Rc<Backend>, commit: &mut Commit) -> bool {
        let asked = clock::now();
        commit.beside(self.others(backend));
        let obey = self.ask_for_commit(backend, commit, asked).await;
        if self.proves(commit) {
            return true;
        }
        let obeyed = (obey > 0).then_some(asked);
        commit.is_held() && self.ask_store(backend, commit, obeyed).await
    }

    /// Asks the replicas whether they have the commit: one after the other while one is enough, else
    /// all at once. Returns how many obey the primary.
    async fn ask_for_commit(
        &self,
        backend: &Rc<Backend>,
        commit: &mut Commit,
        asked: Moment,
    ) -> usize {
        let mut replicas = self.servers();
        replicas.retain(|replica| !Rc::ptr_eq(replica, backend));
        let hedge = match self.lease.get().leads(asked) && self.list() == List::Current {
            true => {
                replicas.retain(|replica| replica.vouches());
                replicas.sort_by_key(|replica| {
                    let remote = replica.server.dc != self.dc;
                    (replica.avoided(asked), replica.is_leaving(), remote)
                });
                HEDGE
            }
            false => Duration::ZERO,
        };
        let ask = |(place, replica)| ask_after(hedge * place, replica);
        let mut answers: FuturesUnordered<_> = (0..).zip(&replicas).map(ask).collect();
        let mut obey = 0;
        let mut patience = FIRST_ANSWER;
        while let Ok(Some((replica, answer))) = timeout(patience, answers.next()).await {
            // Its reason was noted where it was asked.
            let Ok(status) = answer else { continue };
            let (id, vouches) = (&replica.server.incarnation, replica.vouches());
            obey += usize::from(self.note_word(replica, asked, obey + 1, &status));
            commit.note(id, vouches, &status, clock::now());
            if self.proves(commit) {
                break;
            }
            if commit.is_held() {
                patience = LATE_ANSWER;
            }
        }
        obey
    }

    /// Takes the word of a replica for the primary's lease as well: the `obey`th that obeys it of those
    /// asked after `asked`. Returns whether it does.
    fn note_word(
        &self,
        replica: &Rc<Backend>,
        asked: Moment,
        obey: usize,
        status: &Status,
    ) -> bool {
        let Some(leader) = self.known_leader() else {
            return false;
        };
        match freshness::word(status, leader.term) {
            Word::Obeys => {
                self.confirmed(self.poll(asked, obey));
                true
            }
            Word::Supersedes => {
                self.superseded(&leader, replica, status);
                false
            }
            Word::Nothing => false,
        }
    }

    /// Asks the store whether anybody was promoted after the primary. One question serves all commits
    /// that wait for the lease, which begins anew if a replica `obeyed` the primary before.
    ///
    /// Load pattern: a replica is lost while its group has few statements, so that no lease can begin;
    /// every commit would have an unknown outcome until the replica is back or gone.
    async fn ask_store(
        self: &Rc<Self>,
        backend: &Rc<Backend>,
        commit: &Commit,
        obeyed: Option<Moment>,
    ) -> bool {
        if !self.testimony.starts() {
            self.testimony.ended.notified().await;
            return self.proves(commit);
        }
        let _flight = Landing(&self.testimony);
        let Some(testimony) = self.records.testimony(&self.name).await else {
            return false;
        };
        let leader = &backend.server.incarnation;
        let led = self.led_term();
        let witnessed = self.led_by(backend) && commit.is_witnessed(&testimony, leader, led);
        journal::write(
            "testimony",
            json!({ "service": self.name, "server": leader, "promoted": testimony.promoted,
                "kept": witnessed }),
        );
        if let (true, Some(obeyed)) = (witnessed, obeyed) {
            let mut lease = self.lease.get();
            lease.witnessed(obeyed);
            self.lease.set(lease);
        }
        witnessed
    }

    /// Whether what is known proves that the commit is kept.
    fn proves(&self, commit: &Commit) -> bool {
        commit.is_kept(&self.lease.get(), self.led_term(), self.list())
    }

    /// The term of the known primary.
    fn led_term(&self) -> Option<u64> {
        self.known_leader().map(|leader| leader.term)
    }

    /// What the list of servers that count is worth.
    fn list(&self) -> List {
        match (
            self.counted.borrow().is_some(),
            self.records.are_current(clock::now()),
        ) {
            (false, _) => List::Missing,
            (true, true) => List::Current,
            (true, false) => List::Old,
        }
    }

    /// The servers besides the primary `backend`, those included that count and have vanished.
    fn others(&self, backend: &Rc<Backend>) -> Vec<Incarnation> {
        let primary = &backend.server.incarnation;
        let servers = self.servers.borrow();
        let registered = servers.iter().map(|backend| &backend.server.incarnation);
        let counted = self.counted.borrow();
        let all: Set<&Incarnation> = registered.chain(counted.iter().flatten()).collect();
        let others = all.into_iter().filter(|id| *id != primary);
        others.cloned().collect()
    }

    /// A poll of which `obey` obey the primary so far.
    pub(super) fn poll(&self, asked: Moment, obey: usize) -> Poll {
        Poll {
            asked,
            obey,
            others: self.servers.borrow().len().saturating_sub(1),
            unseen: self.unseen(),
            sync_replicas: self.sync_replicas.get(),
        }
    }

    /// How many servers count that are not registered.
    fn unseen(&self) -> usize {
        let servers = self.servers.borrow();
        let counted = self.counted.borrow();
        let registered = |id: &Incarnation| {
            servers
                .iter()
                .any(|backend| backend.server.incarnation == *id)
        };
        let unseen = counted.iter().flatten().filter(|id| !registered(id));
        unseen.count()
    }
}

/// Ends a flight, also when whoever waits for it gives up.
struct Landing<'a>(&'a Flight);

impl Drop for Landing<'_> {
    fn drop(&mut self) {
        self.0.end();
    }
}

async fn ask_after(
    pause: Duration,
    replica: &Rc<Backend>,
) -> (&Rc<Backend>, Result<Status, Error>) {
    sleep(pause).await;
    (replica, replica.status().await)
}

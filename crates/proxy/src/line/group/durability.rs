//! Whether a commit is certain to outlive a change of the primary, before its caller is told that it
//! is kept. What the answers prove is decided by [`commit`].
//!
//! [`commit`]: dandelionpitch_engine::commit

use std::{rc::Rc, time::Duration};

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    commit::{Commit, Membership},
    freshness::{self, Poll, Relation},
    registry::Incarnation,
    takeover::Status,
    time::Moment,
};
use dandelionpitch_platform::Error;
use futures::{stream::FuturesUnordered, StreamExt};
use serde_json::json;
use tokio::time::{sleep, timeout};

use super::{single_flight::Guard, Group};

use crate::line::{backend::Backend, clock, journal};

/// How long the nearest replica is waited for before the next is asked as well: a status behind
/// one statement of usual length.
const HEDGE: Duration = Duration::from_millis(40);

/// How long the first answer of a round is waited for: as long as a status may take.
const FIRST_ANSWER: Duration = Duration::from_millis(400);

/// How long the others are waited for once a server has the commit: some round trips between data
/// centres.
const LATE_ANSWER: Duration = Duration::from_millis(25);

/// The pause before the replicas are asked again, and the longest one. A commit reaches them within some
/// milliseconds; one that does not may wait for the end of a promotion, and each question takes a slot.
const ASK_AGAIN: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(80));

impl Group {
    /// Whether a commit at `position` of `backend`, sent to it as the primary of `term`, will be in the log
    /// of whoever is promoted; asks until `limit` has passed or another primary is known.
    ///
    /// Failure: a primary acknowledges a commit on the word of a replica that no promoter knows of, or
    /// that received it only when a promotion had taken effect; the server that is promoted lacks what
    /// callers were told is kept. Guard: [`Commit::is_durable`], at the cost of one question a commit.
    pub async fn wait_until_durable(
        self: &Rc<Self>,
        backend: &Rc<Backend>,
        term: u64,
        position: Option<Position>,
        limit: Duration,
    ) -> bool {
        let sync_replicas = self.sync_replicas.get();
        if sync_replicas == 0 {
            return true;
        }
        // A server that has been replaced meanwhile may speak of another's log.
        let Some(position) = position.filter(|position| position.term == term) else {
            return false;
        };
        let mut commit = Commit::new(position, sync_replicas);
        let found = async {
            let mut pause = ASK_AGAIN.0;
            while !self.confirm_commit(backend, &mut commit).await {
                if self.known_leader().is_some_and(|leader| leader.term > term) {
                    return false;
                }
                sleep(pause).await;
                pause = ASK_AGAIN.1.min(pause * 2);
            }
            true
        };
        timeout(limit, found).await.unwrap_or(false)
    }

    /// Whether a commit could be confirmed, as far as is known before it is made.
    ///
    /// Load pattern: the store is away for longer than a list of servers holds, and one that counts is
    /// gone: no proof can come, and every commit would end with an unknown outcome at its deadline, which
    /// its caller may not repeat.
    pub fn can_confirm_commits(&self) -> bool {
        self.sync_replicas.get() == 0
            || self.list() == Membership::Current
            || self.unregistered() == 0
    }

    /// Whether a commit of `backend` is proved to be kept by what is known so far.
    fn is_proved(&self, backend: &Rc<Backend>, commit: &Commit) -> bool {
        let lease = self.leads(backend, commit).then(|| self.lease.get());
        commit.is_durable(lease.as_ref(), self.list(), &self.others(backend))
    }

    /// Whether `backend` is known as the primary of the commit's term.
    fn leads(&self, backend: &Rc<Backend>, commit: &Commit) -> bool {
        self.leader_term(backend) == Some(commit.term())
    }

    /// One round: asks the replicas, and the store if they have the commit and that alone is no proof.
    async fn confirm_commit(self: &Rc<Self>, backend: &Rc<Backend>, commit: &mut Commit) -> bool {
        let asked = clock::now();
        let followers = self.ask_for_commit(backend, commit, asked).await;
        if self.is_proved(backend, commit) {
            return true;
        }
        let obeyed = (followers >= self.sync_replicas.get()).then_some(asked);
        commit.is_replicated() && self.ask_store(backend, commit, obeyed).await
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
        let vouching = replicas.iter().filter(|replica| replica.vouches()).count();
        let proved =
            self.lease.get().excludes_promotion(asked) && self.list() == Membership::Current;
        let hedge = match proved && vouching >= self.sync_replicas.get() {
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
        let mut followers = 0;
        let mut patience = FIRST_ANSWER;
        while let Ok(Some((replica, answer))) = timeout(patience, answers.next()).await {
            // Its reason was noted where it was asked.
            let Ok(status) = answer else { continue };
            let (id, vouches) = (&replica.server.incarnation, replica.vouches());
            followers += usize::from(self.note_word(replica, asked, followers + 1, &status));
            commit.note(id, vouches, &status, clock::now());
            if self.is_proved(backend, commit) {
                break;
            }
            if commit.is_replicated() {
                patience = LATE_ANSWER;
            }
        }
        followers
    }

    /// Takes the word of a replica for the primary's lease as well: the `followers`th that obeys it of those
    /// asked after `asked`. Returns whether it does.
    fn note_word(
        &self,
        replica: &Rc<Backend>,
        asked: Moment,
        followers: usize,
        status: &Status,
    ) -> bool {
        let Some(leader) = self.known_leader() else {
            return false;
        };
        match freshness::relation(status, leader.term) {
            Relation::Follows => {
                self.confirmed(self.poll(asked, followers));
                true
            }
            Relation::Supersedes => {
                self.superseded(&leader, replica, status);
                false
            }
            Relation::Unrelated => false,
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
        if !self.testimony.try_start() {
            self.testimony.finished.notified().await;
            return self.is_proved(backend, commit);
        }
        let _landing = Guard(&self.testimony);
        let Some(testimony) = self.records.snapshot(&self.name).await else {
            return false;
        };
        let leader = &backend.server.incarnation;
        let witnessed =
            self.leads(backend, commit) && commit.is_durable_by_record(&testimony, leader);
        journal::write(
            "testimony",
            json!({ "service": self.name, "server": leader, "promoted": testimony.promoted,
                "kept": witnessed }),
        );
        if let (true, Some(obeyed)) = (witnessed, obeyed) {
            let mut lease = self.lease.get();
            lease.renew_from_record(obeyed);
            self.lease.set(lease);
        }
        witnessed
    }

    /// What the list of servers that count is worth.
    fn list(&self) -> Membership {
        match (
            self.counted.borrow().is_some(),
            self.records.are_current(clock::now()),
        ) {
            (false, _) => Membership::Missing,
            (true, true) => Membership::Current,
            (true, false) => Membership::Stale,
        }
    }

    /// All servers besides the primary `backend`, those included that count and have vanished.
    fn others(&self, backend: &Rc<Backend>) -> Vec<Incarnation> {
        let servers = self.servers.borrow();
        let registered = servers.iter().map(|server| &server.server.incarnation);
        let counted = self.counted.borrow();
        let mut others: Vec<Incarnation> = registered
            .chain(counted.iter().flatten())
            .filter(|id| **id != backend.server.incarnation)
            .cloned()
            .collect();
        others.sort_unstable();
        others.dedup();
        others
    }

    /// A poll of which `followers` obey the primary so far.
    pub(super) fn poll(&self, asked: Moment, followers: usize) -> Poll {
        Poll {
            asked,
            answered: clock::now(),
            followers,
            others: self.servers.borrow().len().saturating_sub(1),
            unregistered: self.unregistered(),
            sync_replicas: self.sync_replicas.get(),
        }
    }

    /// How many servers count that are not registered.
    fn unregistered(&self) -> usize {
        let servers = self.servers.borrow();
        let counted = self.counted.borrow();
        let registered = |id: &Incarnation| {
            servers
                .iter()
                .any(|backend| backend.server.incarnation == *id)
        };
        let unregistered = counted.iter().flatten().filter(|id| !registered(id));
        unregistered.count()
    }
}

async fn ask_after(
    pause: Duration,
    replica: &Rc<Backend>,
) -> (&Rc<Backend>, Result<Status, Error>) {
    sleep(pause).await;
    (replica, replica.status().await)
}

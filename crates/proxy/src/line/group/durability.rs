//! Confirms that a commit survives any failover, before its caller is told that it succeeded. The
//! engine's [`commit`] decides what the servers' answers prove.
//!
//! [`commit`]: dandelionpitch_engine::commit

use std::{rc::Rc, time::Duration};

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    commit::{Commit, Membership, Standing},
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

/// How long a replica may take before the next one is asked as well. Covers a status request queued
/// behind a typical statement.
const HEDGE_DELAY: Duration = Duration::from_millis(40);

/// The timeout for the first answer of a round, the same as that of a status request.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// The timeout for each further answer once a server is known to have the commit: some round trips
/// between data centres.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(25);

/// The first and the longest delay between rounds. A commit usually reaches the replicas within
/// milliseconds, but may have to wait for the end of a promotion, and each status request occupies a
/// slot of a server.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(80));

/// The replicas that follow the primary, by the answers to one poll.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Followers {
    count: usize,
    /// How many of them count for promotions and stay.
    staying: usize,
}

impl Followers {
    pub fn add(&mut self, replica: &Backend) {
        self.count += 1;
        let standing = replica.standing(clock::now());
        self.staying += usize::from(standing == Standing::Voter);
    }
}

impl Group {
    /// Waits until it is proved that a commit survives any failover, and returns whether it is.
    /// Gives up after `limit`, or when a primary of a later term is known. The commit is at
    /// `position` in the log of `backend`, to which it was sent as the primary of `term`.
    ///
    /// The primary's acknowledgement is no proof: it may rest on a replica that does not count for
    /// promotions, or that received the commit only after a promotion took effect, and the promoted
    /// server would lack the commit. See [`Commit::is_durable`].
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
        // A server that was superseded in the meantime may report a position of its successor's log.
        let Some(position) = position.filter(|position| position.term == term) else {
            return false;
        };
        let mut commit = Commit::new(position, sync_replicas);
        let confirmed = async {
            let mut delay = RETRY_DELAYS.0;
            while !self.confirm_commit(backend, &mut commit).await {
                if self.known_leader().is_some_and(|leader| leader.term > term) {
                    return false;
                }
                sleep(delay).await;
                delay = RETRY_DELAYS.1.min(delay * 2);
            }
            true
        };
        timeout(limit, confirmed).await.unwrap_or(false)
    }

    /// Whether it may be possible to confirm a commit that is made now. Writes are otherwise
    /// refused, as the outcome of each would be unknown at its deadline, and callers could not
    /// retry it.
    pub fn can_confirm_commits(&self) -> bool {
        self.sync_replicas.get() == 0
            || self.membership() == Membership::Current
            || self.unregistered() == 0
    }

    /// Whether the answers so far prove that a commit of `backend` is durable.
    fn is_commit_durable(&self, backend: &Rc<Backend>, commit: &Commit) -> bool {
        let lease = self.is_leader_of(backend, commit).then(|| self.lease.get());
        commit.is_durable(
            lease.as_ref(),
            self.membership(),
            &self.other_servers(backend),
        )
    }

    /// Whether `backend` is the known leader in the commit's term.
    fn is_leader_of(&self, backend: &Rc<Backend>, commit: &Commit) -> bool {
        self.leader_term(backend) == Some(commit.term())
    }

    /// Runs one round: asks the replicas, and then reads the group's record from the store if a replica
    /// has the commit but the answers are no proof. Returns whether the commit is durable.
    async fn confirm_commit(self: &Rc<Self>, backend: &Rc<Backend>, commit: &mut Commit) -> bool {
        let asked = clock::now();
        let followers = self.poll_for_commit(backend, commit, asked).await;
        if self.is_commit_durable(backend, commit) {
            return true;
        }
        let followed_at = (followers.staying >= self.sync_replicas.get()).then_some(asked);
        commit.is_replicated() && self.confirm_by_record(backend, commit, followed_at).await
    }

    /// Asks the replicas whether they have the commit: [`HEDGE_DELAY`] apart if the lease makes
    /// `sync_replicas` of them sufficient, else all at once. Returns those that follow the primary.
    async fn poll_for_commit(
        &self,
        backend: &Rc<Backend>,
        commit: &mut Commit,
        asked: Moment,
    ) -> Followers {
        let mut replicas = self.servers();
        replicas.retain(|replica| !Rc::ptr_eq(replica, backend));
        let is_voter = |replica: &Rc<Backend>| replica.standing(asked) == Standing::Voter;
        let voter_count = replicas.iter().filter(|replica| is_voter(replica)).count();
        let lease_suffices =
            self.lease.get().excludes_promotion(asked) && self.membership() == Membership::Current;
        let spacing = match lease_suffices && voter_count >= self.sync_replicas.get() {
            true => {
                replicas.retain(is_voter);
                replicas.sort_by_key(|replica| {
                    let remote = replica.server.dc != self.dc;
                    (replica.is_avoided(asked), replica.is_leaving(), remote)
                });
                HEDGE_DELAY
            }
            false => Duration::ZERO,
        };
        let ask = |(index, replica)| status_after(spacing * index, replica);
        let mut answers: FuturesUnordered<_> = (0..).zip(&replicas).map(ask).collect();
        let mut followers = Followers::default();
        let mut answer_timeout = FIRST_ANSWER_TIMEOUT;
        while let Ok(Some((replica, answer))) = timeout(answer_timeout, answers.next()).await {
            // `Backend::status` has already handled the error.
            let Ok(status) = answer else { continue };
            self.note_status(replica, asked, &mut followers, &status);
            let (id, now) = (&replica.server.incarnation, clock::now());
            commit.note(id, replica.standing(now), &status, now);
            if self.is_commit_durable(backend, commit) {
                break;
            }
            if commit.is_replicated() {
                answer_timeout = LATE_ANSWER_TIMEOUT;
            }
        }
        followers
    }

    /// Applies a replica's status, an answer in the poll sent at `asked`, to the leader's lease. Adds the
    /// replica to the poll's `followers` if it follows the leader.
    fn note_status(
        &self,
        replica: &Rc<Backend>,
        asked: Moment,
        followers: &mut Followers,
        status: &Status,
    ) {
        let Some(leader) = self.known_leader() else {
            return;
        };
        match freshness::relation(status, leader.term) {
            Relation::Follows => {
                followers.add(replica);
                self.apply_poll(self.new_poll(asked, *followers));
            }
            Relation::Supersedes => self.note_superseded(&leader, replica, status),
            Relation::Unrelated => {}
        }
    }

    /// Reads the group's record from the store and returns whether it proves that the commit is
    /// durable. If enough replicas followed the primary in a poll sent at `followed_at`, the record
    /// also starts or renews the lease, which proves concurrent commits that share the read.
    ///
    /// While a replica is unreachable, answers alone cannot restart an expired lease. Without the
    /// record, every commit would have an unknown outcome until the replica is back or removed.
    async fn confirm_by_record(
        self: &Rc<Self>,
        backend: &Rc<Backend>,
        commit: &Commit,
        followed_at: Option<Moment>,
    ) -> bool {
        if !self.record_read.try_start() {
            self.record_read.finished.notified().await;
            return self.is_commit_durable(backend, commit);
        }
        let _guard = Guard(&self.record_read);
        let Some(record) = self.records.snapshot(&self.name).await else {
            return false;
        };
        let leader = &backend.server.incarnation;
        let durable = self.is_leader_of(backend, commit) && {
            let is_current = self.records.are_current(clock::now());
            commit.is_durable_by_record(&record, leader, is_current)
        };
        journal::write(
            "testimony",
            json!({ "service": self.name, "server": leader, "promoted": record.promoted,
                "kept": durable }),
        );
        if let (true, Some(followed_at)) = (durable, followed_at) {
            let mut lease = self.lease.get();
            lease.renew_from_record(followed_at);
            self.lease.set(lease);
        }
        durable
    }

    /// How current the list of servers that count for promotions is.
    fn membership(&self) -> Membership {
        match (
            self.voters.borrow().is_some(),
            self.records.are_current(clock::now()),
        ) {
            (false, _) => Membership::Missing,
            (true, true) => Membership::Current,
            (true, false) => Membership::Stale,
        }
    }

    /// All servers except the primary `backend`, including those that count for promotions but are no
    /// longer registered.
    fn other_servers(&self, backend: &Rc<Backend>) -> Vec<Incarnation> {
        let servers = self.servers.borrow();
        let registered = servers.iter().map(|server| &server.server.incarnation);
        let voters = self.voters.borrow();
        let mut others: Vec<Incarnation> = registered
            .chain(voters.iter().flatten())
            .filter(|id| **id != backend.server.incarnation)
            .cloned()
            .collect();
        others.sort_unstable();
        others.dedup();
        others
    }

    /// A poll sent at `asked`, in which `followers` follow the primary so far.
    pub(super) fn new_poll(&self, asked: Moment, followers: Followers) -> Poll {
        let staying = match self.membership() {
            Membership::Current => followers.staying,
            Membership::Stale | Membership::Missing => 0,
        };
        Poll {
            asked,
            answered: clock::now(),
            followers: followers.count,
            staying,
            others: self.servers.borrow().len().saturating_sub(1),
            unregistered: self.unregistered(),
            sync_replicas: self.sync_replicas.get(),
        }
    }

    /// How many servers count for promotions but are not registered.
    fn unregistered(&self) -> usize {
        let servers = self.servers.borrow();
        let voters = self.voters.borrow();
        let registered = |id: &Incarnation| {
            servers
                .iter()
                .any(|backend| backend.server.incarnation == *id)
        };
        let unregistered = voters.iter().flatten().filter(|id| !registered(id));
        unregistered.count()
    }
}

async fn status_after(
    delay: Duration,
    replica: &Rc<Backend>,
) -> (&Rc<Backend>, Result<Status, Error>) {
    sleep(delay).await;
    (replica, replica.status().await)
}

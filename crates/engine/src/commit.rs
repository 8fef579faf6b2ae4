//! Decides whether a commit survives any failover, before its caller is told that it succeeded
//! (`docs/DESIGN.md`, "Commits are confirmed").
//!
//! A primary acknowledges a commit once any replica has received it, but that replica may not count
//! for promotions, or may have received it only after a promotion took effect.

use dandelionpitch_core::position::Position;

use crate::{
    freshness::{has_commit, Lease, PROMOTION_WAIT},
    registry::Incarnation,
    takeover::Status,
    time::Moment,
};

/// How current the proxy's list of the servers that count for promotions ([`crate::roster`]) is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Membership {
    /// Read from the store within [`crate::roster::LIST_VALIDITY`].
    Current,
    /// Older, because the store is unreachable.
    Stale,
    /// No list has been written yet.
    Missing,
}

/// What a server's copy of a commit is worth, as far as the proxy's list shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It counts for promotions and stays.
    Voter,
    /// It announced some time ago that it will stop ([`Entry::is_retired`](crate::registry::Entry::is_retired)).
    /// Its log will be gone, so its copy proves nothing, and failovers soon need not hold it.
    Retired,
    /// It is not on the list of servers that count for promotions.
    Unlisted,
}

/// A group's record in the store, as read by a request sent at `asked`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    pub asked: Moment,
    /// The server promoted last, or about to be promoted; `None` before the first promotion.
    pub promoted: Option<String>,
    /// The servers that count for promotions.
    pub members: Vec<Incarnation>,
}

/// A commit and the servers known to have it.
#[derive(Clone, Debug)]
pub struct Commit {
    position: Position,
    /// How many replicas have to receive a commit of the group.
    sync_replicas: usize,
    holders: Vec<Holder>,
}

/// A server that is known to have a commit.
#[derive(Clone, Debug)]
struct Holder {
    id: Incarnation,
    standing: Standing,
    /// When it was first known to have the commit.
    first_seen: Moment,
    /// When it last reported that it has the commit.
    last_seen: Moment,
}

impl Commit {
    /// A commit at `position`, in a group whose commits wait for `sync_replicas` replicas.
    pub fn new(position: Position, sync_replicas: usize) -> Self {
        Self {
            position,
            sync_replicas,
            holders: Vec::new(),
        }
    }

    /// The term of the primary that made it.
    pub fn term(&self) -> u64 {
        self.position.term
    }

    /// Records a server's status, received by `now`.
    pub fn note(&mut self, id: &Incarnation, standing: Standing, status: &Status, now: Moment) {
        if !has_commit(status.received, self.position) {
            return;
        }
        match self.holders.iter_mut().find(|holder| holder.id == *id) {
            Some(known) => (known.standing, known.last_seen) = (standing, now),
            None => self.holders.push(Holder {
                id: id.clone(),
                standing,
                first_seen: now,
                last_seen: now,
            }),
        }
    }

    /// Whether any other server is known to have the commit.
    pub fn is_replicated(&self) -> bool {
        !self.holders.is_empty()
    }

    /// Whether the caller may be told that the commit succeeded. `lease` is that of the primary
    /// that made the commit, if it is still known as the primary of the commit's term. `others` are
    /// all other servers, including those that count for promotions but are no longer registered.
    ///
    /// A promotion ends the holds on the replicas, and one that the new primary does not reach may
    /// then receive the commit from the old one, although it is rolled back later. So
    /// `sync_replicas` replicas suffice only while the lease excludes a promotion. Otherwise all
    /// other servers must have the commit, so that it survives the promotion of any of them.
    pub fn is_durable(
        &self,
        lease: Option<&Lease>,
        membership: Membership,
        others: &[Incarnation],
    ) -> bool {
        let has = |id: &Incarnation| self.holders.iter().any(|holder| holder.id == *id);
        if !others.is_empty() && others.iter().all(has) {
            return true;
        }
        let Some(lease) = lease.filter(|_| membership == Membership::Current) else {
            return false;
        };
        let is_voter = |holder: &Holder| holder.standing == Standing::Voter;
        self.is_replicated_by(|h| is_voter(h) && lease.excludes_promotion(h.first_seen))
    }

    /// As [`Self::is_durable`] for a commit of the primary `leader`, but proved by the group's
    /// record in the store, requested after enough voters had the commit.
    ///
    /// If the record shows no promotion after that of `leader`, a later failover finds the commit
    /// on those servers, as it requests their statuses again after writing the record.
    ///
    /// The record also names `leader` if another server was promoted and then `leader` once more.
    /// At least [`PROMOTION_WAIT`] passes between a report of the commit in between and the second
    /// promotion, so only reports younger than that when the record is requested count.
    ///
    /// Only a list of registrations within [`crate::roster::LIST_VALIDITY`] shows which servers leave
    /// (`is_list_current`).
    pub fn is_durable_by_record(
        &self,
        record: &Snapshot,
        leader: &Incarnation,
        is_list_current: bool,
    ) -> bool {
        let promoted = record.promoted.as_deref();
        let leads = promoted.is_none_or(|promoted| promoted == leader.id);
        let counts = |holder: &Holder| {
            holder.standing != Standing::Retired
                && holder.last_seen <= record.asked
                && record.asked < holder.last_seen + PROMOTION_WAIT
                && record.members.contains(&holder.id)
        };
        is_list_current && leads && self.is_replicated_by(counts)
    }

    /// Whether enough of the servers that satisfy `counts` have the commit.
    fn is_replicated_by(&self, counts: impl Fn(&Holder) -> bool) -> bool {
        let holders = self.holders.iter().filter(|holder| counts(holder));
        holders.count() >= self.sync_replicas.max(1)
    }
}

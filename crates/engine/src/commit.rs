//! Whether a commit is certain to be in the log of whichever server is promoted, before its caller
//! is told that it is kept (`docs/DESIGN.md`, "Commits are confirmed").
//!
//! A primary takes a commit for acknowledged as soon as any replica has received it. That is no proof:
//! the replica may be one that no promoter counts, or a promotion may already have taken effect when
//! it received the commit.

use dandelionpitch_core::position::Position;

use crate::{
    freshness::{has_commit, Lease, PROMOTION_WAIT},
    registry::Incarnation,
    takeover::Status,
    time::Moment,
};

/// The list of servers that count for a promotion, as the proxy has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Membership {
    /// Read from the store within [`crate::roster::LIST_VALIDITY`].
    Current,
    /// Older, as the store is out of reach.
    Stale,
    /// Nobody has written one yet.
    Missing,
}

/// What the store says of a group's last promotion, in answer to a question sent at `asked`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    pub asked: Moment,
    /// The server that was promoted last, or is about to be; `None` while none was.
    pub promoted: Option<String>,
    /// The servers that count.
    pub members: Vec<Incarnation>,
}

/// What is known of one commit.
#[derive(Clone, Debug)]
pub struct Commit {
    position: Position,
    /// How many replicas a commit of the group waits for.
    sync_replicas: usize,
    holders: Vec<Holder>,
}

/// A server that is known to have a commit.
#[derive(Clone, Debug)]
struct Holder {
    id: Incarnation,
    /// It stands on the proxy's list of those that count.
    counts: bool,
    /// By when it had said so first.
    at: Moment,
    /// By when it had said so last.
    again: Moment,
}

impl Commit {
    /// A commit at `position`, in a group whose commits wait for `sync_replicas`.
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

    /// Notes what a server said by `now`, one that `counts` or not.
    pub fn note(&mut self, id: &Incarnation, counts: bool, status: &Status, now: Moment) {
        if !has_commit(status.received, self.position) {
            return;
        }
        match self.holders.iter_mut().find(|holder| holder.id == *id) {
            Some(known) => known.again = now,
            None => self.holders.push(Holder {
                id: id.clone(),
                counts,
                at: now,
                again: now,
            }),
        }
    }

    /// Whether any server is known to have it.
    pub fn is_replicated(&self) -> bool {
        !self.holders.is_empty()
    }

    /// Whether the caller may be told that the commit is kept, by the lease of the primary that made
    /// it, if that one is still known as the primary of the commit's term. `others` are all servers
    /// besides it, those included that count and have vanished.
    ///
    /// Failure: the replicas are held for a promotion, and the primary, which has not heard of it,
    /// commits. When the promotion takes effect the holds end, and a replica that the new primary does
    /// not reach receives the commit from the old one; its caller hears that it is kept, and it is
    /// rolled back. Guard: the word of as many replicas as commits wait for counts only while the
    /// lease proves that no promotion can have taken effect by then. Without a lease all have to have
    /// the commit: whichever of them is promoted then has it too.
    pub fn is_durable(
        &self,
        lease: Option<&Lease>,
        list: Membership,
        others: &[Incarnation],
    ) -> bool {
        let has = |id: &Incarnation| self.holders.iter().any(|holder| holder.id == *id);
        if !others.is_empty() && others.iter().all(has) {
            return true;
        }
        let Some(lease) = lease.filter(|_| list == Membership::Current) else {
            return false;
        };
        self.is_enough(|holder| holder.counts && lease.excludes_promotion(holder.at))
    }

    /// As [`Self::is_durable`], by the store's word, for a commit of the primary `leader`.
    ///
    /// It was asked for after servers that count had the commit. No promotion was written down by then
    /// but the primary's own, and whoever promotes asks its members once more after writing: those
    /// servers are then found with the commit.
    ///
    /// Failure: a server says that it has the commit after `leader` was replaced, `leader` is promoted a
    /// second time, and only then the store is asked, which names it. Guard: the server's last word is
    /// younger than [`PROMOTION_WAIT`], which lies between that and the second promotion.
    pub fn is_durable_by_record(&self, testimony: &Snapshot, leader: &Incarnation) -> bool {
        let promoted = testimony.promoted.as_deref();
        let leads = promoted.is_none_or(|promoted| promoted == leader.id);
        let counts = |holder: &Holder| {
            holder.again <= testimony.asked
                && testimony.asked < holder.again + PROMOTION_WAIT
                && testimony.members.contains(&holder.id)
        };
        leads && self.is_enough(counts)
    }

    fn is_enough(&self, counts: impl Fn(&Holder) -> bool) -> bool {
        let holders = self.holders.iter().filter(|holder| counts(holder));
        holders.count() >= self.sync_replicas.max(1)
    }
}

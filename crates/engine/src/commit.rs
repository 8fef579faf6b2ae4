//! Whether a commit is certain to be in the log of whichever server is promoted, before its caller
//! is told that it is kept (`docs/DESIGN.md`, "Commits are confirmed").
//!
//! A primary takes a commit for acknowledged as soon as any replica has received it. That is no proof:
//! the replica may be one that no promoter counts, or a promotion may already have taken effect when
//! it received the commit.

use dandelionpitch_core::position::Position;

use crate::{
    freshness::{has_commit, Lease},
    registry::Incarnation,
    takeover::Status,
    time::Moment,
};

/// The list of servers that count for a promotion, as the proxy has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum List {
    /// Read from the store within [`crate::roster::LIST_HOLDS`].
    Current,
    /// Older, as the store is out of reach.
    Old,
    /// Nobody has written one yet.
    Missing,
}

/// What the store says of a group's last promotion, in answer to a question sent at `asked`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Testimony {
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
    /// The servers besides its primary, those included that have vanished.
    others: Vec<Incarnation>,
    holders: Vec<Holder>,
}

/// A server that is known to have a commit.
#[derive(Clone, Debug)]
struct Holder {
    id: Incarnation,
    /// It stands on the proxy's list of those that count.
    counts: bool,
    /// By when it had said so.
    at: Moment,
}

impl Commit {
    /// A commit at `position`.
    pub fn new(position: Position) -> Self {
        Self {
            position,
            others: Vec::new(),
            holders: Vec::new(),
        }
    }

    /// Notes which servers there are now besides its primary, those included that have vanished.
    ///
    /// Failure: a replica has the commit, starts again while its caller waits, and has it anew; or a new
    /// replica comes. Counted, two lives of one server stand for all, and the server promoted lacks the
    /// commit. Guard: those that are to have it go by name.
    pub fn beside(&mut self, others: Vec<Incarnation>) {
        self.others = others;
    }

    /// Notes what a server said by `now`, one that `counts` or not; returns whether it has the commit.
    pub fn note(&mut self, id: &Incarnation, counts: bool, status: &Status, now: Moment) -> bool {
        let has = has_commit(status.received, self.position);
        if has && !self.holders.iter().any(|known| known.id == *id) {
            self.holders.push(Holder {
                id: id.clone(),
                counts,
                at: now,
            });
        }
        has
    }

    /// Whether any server is known to have it.
    pub fn is_held(&self) -> bool {
        !self.holders.is_empty()
    }

    /// Whether the caller may be told that the commit is kept.
    ///
    /// Failure: the replicas are held for a promotion, and the primary, which has not heard of it,
    /// commits. When the promotion takes effect the holds end, and a replica that the new primary does
    /// not reach receives the commit from the old one; its caller hears that it is kept, and it is
    /// rolled back. Guard: one replica's word counts only while the lease proves that no promotion
    /// can have taken effect by then. Without a lease all have to have it: whichever of them is
    /// promoted then has it too.
    ///
    /// Failure: the commit's primary is replaced while its caller waits, and the lease of the new one,
    /// which covers all earlier moments, is taken for that of the old one. Guard: the lease is that of a
    /// primary of the term `led`, and counts only for commits of that term.
    pub fn is_kept(&self, lease: &Lease, led: Option<u64>, list: List) -> bool {
        let has = |id: &Incarnation| self.holders.iter().any(|holder| holder.id == *id);
        if !self.others.is_empty() && self.others.iter().all(has) {
            return true;
        }
        let proved = |holder: &Holder| holder.counts && lease.leads(holder.at);
        let same_primary = led == Some(self.position.term);
        same_primary && list == List::Current && self.holders.iter().any(proved)
    }

    /// As [`Self::is_kept`], by the store's word, for a commit of the primary `leader`.
    ///
    /// It was asked for after a server that counts had the commit. No promotion was written down by
    /// then but the primary's own, and whoever promotes asks its members once more after writing: that
    /// server is then found with the commit.
    ///
    /// Failure: the primary is replaced and then promoted again while the caller waits; the store names
    /// it, and the commit of its earlier term was rolled back. Guard: the term `led` that the primary is
    /// known to lead is the commit's.
    pub fn is_witnessed(
        &self,
        testimony: &Testimony,
        leader: &Incarnation,
        led: Option<u64>,
    ) -> bool {
        let promoted = testimony.promoted.as_deref();
        let same_term = led == Some(self.position.term);
        let leads = same_term && promoted.is_none_or(|promoted| promoted == leader.id);
        let counts = |holder: &Holder| {
            holder.at <= testimony.asked && testimony.members.contains(&holder.id)
        };
        leads && self.holders.iter().any(counts)
    }
}

//! What a read must see, known without trusting any replica's lag: positions of the primary's
//! log, each with the time at which it was asked for, and the lease that proves who leads.

use std::{collections::VecDeque, time::Duration};

use dandelionpitch_core::position::Position;

use crate::{registry::Role, takeover::Status, time::Moment};

/// How long a replica's word that it obeys a primary counts, from the moment it was asked.
///
/// A promoter first makes the replicas deaf to the old primary and then waits at least
/// [`PROMOTION_WAIT`], so no commit can be acknowledged elsewhere while such a word counts.
/// Each renewal costs a server as much as a short statement.
pub const LEADER_LEASE: Duration = Duration::from_millis(500);

/// How long a promoter waits after the replicas obey it: the lease, and 50 ms for the time between
/// asking a replica and its answer being made.
pub const PROMOTION_WAIT: Duration = Duration::from_millis(550);

/// Watermarks closer together than this replace each other: a replica's lag is not known more closely.
const SPACING: Duration = Duration::from_millis(50);

/// Watermarks kept: with [`SPACING`], those of six seconds, as no read may be older.
const KEPT: usize = 128;

/// A primary position and the time at which it was asked for: the log up to `position` holds every
/// commit acknowledged before `asked`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watermark {
    pub asked: Moment,
    pub position: Position,
}

/// The marks of one group, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Watermarks {
    marks: VecDeque<Watermark>,
    /// The end of the primary's log when it said that it leads.
    led: Option<Position>,
}

impl Watermarks {
    /// Notes a position of the primary's log, asked for while its lease was valid.
    ///
    /// A position of a later term drops the earlier marks: the primary's log may have ended in
    /// entries that were rolled back, and no server will ever hold those.
    ///
    /// Failure: the primary starts again with an empty log, and the answer that says so carries its
    /// position, asked for while the lease still held; taken for a mark, it lets reads miss
    /// everything. Guard: a log does not get shorter within a term, so a lower position than the last
    /// one is not the primary's.
    pub fn note(&mut self, mark: Watermark) {
        if let Some(last) = self.marks.back().copied() {
            let lower = mark.position < last.position && mark.asked >= last.asked;
            if lower || mark.position.term < last.position.term {
                return;
            }
            if mark.position.term > last.position.term {
                self.marks.clear();
            }
        }
        self.marks
            .retain(|old| old.asked < mark.asked || old.position <= mark.position);
        let last_two = self.marks.len().checked_sub(2).map(|i| self.marks[i]);
        if last_two.is_some_and(|before| mark.asked.since(before.asked) < SPACING) {
            self.marks.pop_back();
        }
        match self.marks.back() {
            Some(last) if last.asked >= mark.asked => {}
            _ => self.marks.push_back(mark),
        }
        if self.marks.len() > KEPT {
            self.marks.pop_front();
        }
    }

    /// The lowest position that holds every commit acknowledged before `since`.
    pub fn floor(&self, since: Moment) -> Option<Watermark> {
        self.marks.iter().find(|mark| mark.asked >= since).copied()
    }

    /// Notes the end of a server's log as it said that it leads.
    pub fn note_leader_position(&mut self, position: Position) {
        self.led = Some(position);
    }

    /// The newest position that the primary's log is known to have had.
    ///
    /// Failure: the primary starts again under its id with an empty log. Nobody else leads, so its lease
    /// still holds, and a read on a new connection to it finds nothing. Guard: reads that must see
    /// every commit run only on a log that goes up to this position, which an empty one does not.
    pub fn newest_position(&self) -> Option<Position> {
        self.newest().map(|mark| mark.position).max(self.led)
    }

    /// The newest mark.
    pub fn newest(&self) -> Option<Watermark> {
        self.marks.back().copied()
    }
}

/// What the other members said when they were asked, all after `asked`, about the primary.
///
/// A lease that is renewed counts from `asked`, but only if the answers came within
/// [`PROMOTION_WAIT`] of the last time: one that took longer may be from after a promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    pub asked: Moment,
    /// When the last of the answers came.
    pub answered: Moment,
    /// How many obey it.
    pub followers: usize,
    /// How many members there are besides it.
    pub others: usize,
    /// How many more count for a promotion that are not registered: one of them may have been promoted.
    pub unregistered: usize,
    /// How many replicas a commit of the group waits for.
    pub sync_replicas: usize,
}

impl Poll {
    /// Whether all others obey: none was promoted before, and none is held for a promotion.
    fn is_complete(&self) -> bool {
        self.followers == self.others && self.unregistered == 0
    }

    /// Whether one of those that obey would be held if a promotion were under way: a promoter holds
    /// all but `sync_replicas` members, and the primary is one of the rest.
    fn meets_promoter(&self) -> bool {
        self.followers >= self.sync_replicas.max(1)
    }

    /// Whether one of those that obey would have received whatever a newer primary acknowledged
    /// before: it needs `sync_replicas` members besides itself.
    fn meets_commits(&self) -> bool {
        let others = self.others + self.unregistered;
        self.followers >= others.saturating_sub(self.sync_replicas).max(1)
    }
}

/// The proof that nothing newer than the known primary's log was acknowledged.
///
/// Failure: at the moment of a promotion the replicas are held no more, and one that has not heard
/// of the new primary yet looks as if it obeyed the old one; a lease granted on its word let a read
/// miss commits of the new primary for 300 ms. Guard: a lease starts only when all other members
/// obey, and is renewed by fewer only within [`PROMOTION_WAIT`] of the last time, in which no
/// promotion can have gone from its first hold to its end. On any other word a read is allowed only
/// if it came before the question: what a newer primary had acknowledged by then, a replica that
/// answers would have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    /// Reads that came no later than this miss nothing.
    until: Option<Moment>,
    /// When the last poll was asked that granted or renewed a lease.
    renewed: Option<Moment>,
}

impl Lease {
    /// Takes a poll in which no member spoke for another primary.
    pub fn confirm(&mut self, poll: Poll) {
        let renews = self.is_renewable(poll.answered) && poll.meets_promoter();
        if poll.is_complete() || renews {
            self.renewed = self.renewed.max(Some(poll.asked));
            self.until = self.until.max(Some(poll.asked + LEADER_LEASE));
        } else if poll.meets_commits() {
            self.until = self.until.max(Some(poll.asked));
        }
    }

    /// Takes the store's word that at `asked` no promotion had been called for since the primary's own,
    /// together with a replica that obeyed the primary before.
    ///
    /// A promoter writes a promotion down before it asks its members once more and calls for it, so
    /// one that comes now has yet to hold that replica, for [`PROMOTION_WAIT`].
    pub fn renew_from_record(&mut self, obeyed: Moment) {
        self.renewed = self.renewed.max(Some(obeyed));
        self.until = self.until.max(Some(obeyed + LEADER_LEASE));
    }

    /// Whether a poll answered at `answered` needs only some of the members.
    pub fn is_renewable(&self, answered: Moment) -> bool {
        self.renewed
            .is_some_and(|renewed| answered < renewed + PROMOTION_WAIT)
    }

    /// Whether a read that came at `at` misses nothing on the primary.
    pub fn covers(&self, at: Moment) -> bool {
        self.until.is_some_and(|until| at <= until)
    }

    /// Whether no promotion can have taken effect by `at`. Unlike [`Self::covers`] this needs the lease
    /// itself: a single replica's word says only what a newer primary has acknowledged by then.
    pub fn excludes_promotion(&self, at: Moment) -> bool {
        self.renewed
            .is_some_and(|renewed| at <= renewed + LEADER_LEASE)
    }

    /// Whether the lease is to be renewed before a read has to wait for it.
    pub fn needs_renewal(&self, now: Moment) -> bool {
        self.renewed
            .is_some_and(|renewed| now.since(renewed) > LEADER_LEASE / 2)
    }
}

/// A mark without the primary: from what the servers that count for a promotion said they had received,
/// all asked after `asked`, and how many of those there are.
///
/// Load pattern: a primary is cut off or lost while the store is away, so that nobody can be promoted;
/// for seconds no position of its log can be had, and all reads with an allowance are refused, though
/// two replicas answer.
/// A commit that a caller was told of is on its primary and on `sync_replicas` more of those that
/// count. So if no more than `sync_replicas` of them stay silent, one that answered has it, whoever
/// leads; the highest position among the answers covers every such commit.
pub fn quorum_watermark(
    asked: Moment,
    received: &[Position],
    counted: usize,
    sync_replicas: usize,
) -> Option<Watermark> {
    let enough = sync_replicas > 0 && received.len() + sync_replicas >= counted;
    let position = received.iter().copied().max().filter(|_| enough)?;
    Some(Watermark { asked, position })
}

/// What a server's word says about a primary of `term`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// It is a replica that follows this primary.
    Follows,
    /// It follows, or is held for, a later term: the primary is or will be superseded.
    Supersedes,
    /// It has not heard of this primary, so it says nothing about it.
    Unrelated,
}

/// Reads the status of a server other than the primary.
///
/// Failure: a server that was cut off comes back in its old term; taken for a follower it would
/// confirm a primary that it does not know, taken for a rival it would cost the true primary its
/// lease. Guard: only a replica of the very same term speaks for it.
pub fn relation(status: &Status, term: u64) -> Relation {
    if status.term > term || status.held > term {
        return Relation::Supersedes;
    }
    match status.role == Role::Replica && status.term == term {
        true => Relation::Follows,
        false => Relation::Unrelated,
    }
}

/// What a read must see to be served.
pub fn required(since: Moment, marks: &Watermarks, own: Option<Position>) -> Option<Position> {
    let mark = marks.floor(since)?;
    Some(own.map_or(mark.position, |own| own.max(mark.position)))
}

/// Whether a server whose log ends at `received` has the commit at `commit`. A log that goes on in a
/// later term may have lost it at the change of the primary.
pub fn has_commit(received: Position, commit: Position) -> bool {
    received.term == commit.term && received >= commit
}

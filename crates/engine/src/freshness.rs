//! Decides what a read must see to satisfy its consistency level, without trusting the lag that
//! replicas report: from watermarks, which are positions of the primary's log with the times at
//! which they were requested, and from a leader lease, which proves that the known primary still
//! leads.

use std::{collections::VecDeque, time::Duration};

use dandelionpitch_core::position::Position;

use crate::{commit::Membership, registry::Role, takeover::Status, time::Moment};

/// How long a replica's confirmation that it follows the primary is valid, from the time of the
/// request.
///
/// A failover holds the replicas and then waits for at least [`PROMOTION_WAIT`], so no other server
/// can acknowledge a commit while the confirmation is valid. Each renewal costs a server as much as a short
/// statement.
pub const LEADER_LEASE: Duration = Duration::from_millis(500);

/// How long a failover waits between holding the replicas and the promotion: the lease, plus a
/// margin for the time that a status request takes to reach a replica.
pub const PROMOTION_WAIT: Duration = Duration::from_millis(550);

/// The minimum time between two stored watermarks; closer ones replace each other, as a replica's lag is
/// not known more closely.
const MIN_SPACING: Duration = Duration::from_millis(50);

/// The maximum number of stored watermarks: with [`MIN_SPACING`], those of six seconds, more than the
/// largest staleness bound needs.
const CAPACITY: usize = 128;

/// A position of the primary's log and the time at which it was requested: the log up to `position`
/// holds every commit acknowledged before `asked`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watermark {
    pub asked: Moment,
    pub position: Position,
}

/// The watermarks of one group, oldest first: a later one has a higher position.
#[derive(Clone, Debug, Default)]
pub struct Watermarks {
    marks: VecDeque<Watermark>,
    /// The newest watermark that a primary reported. Kept when a quorum's lower watermark replaces
    /// it, as only a primary that lost its log reports a lower position within the term.
    reported: Option<Watermark>,
    /// The end of the primary's log when it last reported that it leads.
    leader_position: Option<Position>,
}

impl Watermarks {
    /// Adds a position of the primary's log that was requested while its lease was valid.
    ///
    /// A lower position within a term comes from a primary that restarted with an empty log, and
    /// reads would miss commits.
    pub fn note(&mut self, mark: Watermark) {
        let known = self.position_before(mark.asked);
        if known.is_some_and(|known| mark.position < known) {
            return;
        }
        if self.reported.is_none_or(|last| last.asked <= mark.asked) {
            self.reported = Some(mark);
        }
        self.insert(mark);
    }

    /// Adds a watermark that a quorum of the voters proves ([`quorum_watermark`]).
    ///
    /// It may be lower than the position that the primary reported before: the end of a primary's
    /// log includes commits that no replica has received, and nobody was told of those. Reads that
    /// required them would be refused by all replicas while the primary is down.
    ///
    /// Only a current list of voters may lower the position: a voter that is not on an older list
    /// may have confirmed a commit that the others lack.
    pub fn note_quorum(&mut self, mark: Watermark, membership: Membership) {
        let known = self.position_before(mark.asked);
        let is_lower = known.is_some_and(|known| mark.position < known);
        if membership == Membership::Current || !is_lower {
            self.insert(mark);
        }
    }

    /// Inserts a watermark and drops those that it replaces: requested no later, and not lower.
    ///
    /// A later term drops all earlier watermarks: the old primary's log may have ended in entries
    /// that were rolled back, which no server will ever have again.
    fn insert(&mut self, mark: Watermark) {
        let last_term = self.marks.back().map(|last| last.position.term);
        if last_term.is_some_and(|term| mark.position.term < term) {
            return;
        }
        if last_term.is_some_and(|term| mark.position.term > term) {
            self.marks.clear();
        }
        self.marks
            .retain(|old| old.asked > mark.asked || old.position < mark.position);
        let second_last = self.marks.len().checked_sub(2).map(|i| self.marks[i]);
        if second_last.is_some_and(|before| mark.asked.since(before.asked) < MIN_SPACING) {
            self.marks.pop_back();
        }
        match self.marks.back() {
            Some(last) if last.asked >= mark.asked => {}
            _ => self.marks.push_back(mark),
        }
        if self.marks.len() > CAPACITY {
            self.marks.pop_front();
        }
    }

    /// The lowest known position that covers every commit acknowledged before `since`.
    pub fn floor(&self, since: Moment) -> Option<Watermark> {
        self.marks.iter().find(|mark| mark.asked >= since).copied()
    }

    /// Records the end of a server's log from the status in which it reported that it leads.
    pub fn note_leader_position(&mut self, position: Position) {
        self.leader_position = Some(position);
    }

    /// The newest position that the primary's log is known to have had.
    ///
    /// A primary that restarts under its id with an empty log keeps its lease, as no other server
    /// leads. Its linearizable reads would miss every commit if they did not require this position.
    pub fn newest_position(&self) -> Option<Position> {
        let known = [self.newest(), self.reported].into_iter().flatten();
        known
            .map(|mark| mark.position)
            .max()
            .max(self.leader_position)
    }

    /// How far a server whose log ended at `position` at `now` is behind the primary, as far as the
    /// watermarks show: since when the primary's log is known to go on after that position.
    pub fn delay(&self, position: Position, now: Moment) -> Duration {
        let passed = self.marks.partition_point(|mark| mark.position <= position);
        let next = self.marks.get(passed);
        next.map_or(Duration::ZERO, |mark| now.since(mark.asked))
    }

    /// The newest position that the primary's log is known to have had when asked at `asked`. The
    /// logs of its replicas are prefixes of its own, so a quorum's position counts as well.
    pub fn position_before(&self, asked: Moment) -> Option<Position> {
        let known = [self.newest(), self.reported].into_iter().flatten();
        known
            .filter(|mark| mark.asked <= asked)
            .map(|mark| mark.position)
            .max()
    }

    /// The newest watermark.
    pub fn newest(&self) -> Option<Watermark> {
        self.marks.back().copied()
    }
}

/// What the other members reported about the primary in answer to requests sent after `asked`, from
/// which time the poll extends the [`Lease`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    pub asked: Moment,
    /// When the last of the answers arrived.
    pub answered: Moment,
    /// How many members follow the primary.
    pub followers: usize,
    /// How many of these count for promotions and are not retired
    /// ([`Standing`](crate::commit::Standing)), by a list within
    /// [`LIST_VALIDITY`](crate::roster::LIST_VALIDITY). Failovers need not hold the others.
    pub staying: usize,
    /// How many registered members there are besides the primary.
    pub others: usize,
    /// How many servers count for promotions but are not registered: one of them may have been
    /// promoted.
    pub unregistered: usize,
    /// How many replicas have to receive a commit of the group.
    pub sync_replicas: usize,
}

impl Poll {
    /// Whether all others follow the primary: none has been promoted or is held for a promotion.
    fn is_complete(&self) -> bool {
        self.followers == self.others && self.unregistered == 0
    }

    /// Whether at least one of the followers would be held if a failover were in progress: it holds
    /// all but `sync_replicas` members, and the primary is one of those not held.
    fn intersects_hold_quorum(&self) -> bool {
        self.staying >= self.sync_replicas.max(1)
    }

    /// Whether at least one of the followers would have received any commit that a newer primary
    /// had acknowledged: each needs `sync_replicas` members besides that primary.
    fn intersects_commit_quorum(&self) -> bool {
        let others = self.others + self.unregistered;
        self.followers >= others.saturating_sub(self.sync_replicas).max(1)
    }
}

/// The leader lease: the proof that no server but the known primary has acknowledged a commit.
///
/// A promotion releases the held replicas, and until they learn of the new primary they report that
/// they follow the old one. So a lease starts only when all other members follow the primary. Fewer
/// can renew it if they answer within [`PROMOTION_WAIT`] of the requests behind the last start or
/// renewal, too soon for a failover to have held the replicas and promoted a server. Any other poll
/// that intersects every commit quorum covers only reads that arrived before its requests were
/// sent: if a newer primary had acknowledged a commit by then, a polled replica would have it and
/// would not follow the old primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    /// Reads that arrived no later than this see every commit on the primary.
    until: Option<Moment>,
    /// When the requests behind the last grant or renewal were sent.
    renewed: Option<Moment>,
}

impl Lease {
    /// Applies a poll in which no member reported a newer primary.
    pub fn confirm(&mut self, poll: Poll) {
        let renews = self.is_renewable(poll.answered) && poll.intersects_hold_quorum();
        if poll.is_complete() || renews {
            self.renewed = self.renewed.max(Some(poll.asked));
            self.until = self.until.max(Some(poll.asked + LEADER_LEASE));
        } else if poll.intersects_commit_quorum() {
            self.until = self.until.max(Some(poll.asked));
        }
    }

    /// Starts or renews the lease because the group's record in the store shows no promotion after
    /// the primary's own, and enough replicas followed the primary when polled at `followed`,
    /// before the record was requested.
    ///
    /// A failover records its promotion before it rechecks its members and requests the promotion.
    /// A failover that has not recorded its promotion yet had held none of those replicas at
    /// `followed`, and has to hold at least one of them for [`PROMOTION_WAIT`] before it promotes.
    pub fn renew_from_record(&mut self, followed: Moment) {
        self.renewed = self.renewed.max(Some(followed));
        self.until = self.until.max(Some(followed + LEADER_LEASE));
    }

    /// Whether the lease can be renewed by a poll of only some members, answered at `answered`.
    pub fn is_renewable(&self, answered: Moment) -> bool {
        self.renewed
            .is_some_and(|renewed| answered < renewed + PROMOTION_WAIT)
    }

    /// Whether a read that arrived at `at` sees every acknowledged commit on the primary.
    pub fn covers(&self, at: Moment) -> bool {
        self.until.is_some_and(|until| at <= until)
    }

    /// Whether no promotion can have taken effect by `at`. Unlike [`Self::covers`] this needs a
    /// grant or renewal of the lease: a poll of fewer members proves only that no newer primary had
    /// acknowledged a commit.
    pub fn excludes_promotion(&self, at: Moment) -> bool {
        self.renewed
            .is_some_and(|renewed| at <= renewed + LEADER_LEASE)
    }

    /// Whether the lease should be renewed in the background, before a read has to wait for it.
    pub fn needs_renewal(&self, now: Moment) -> bool {
        self.renewed
            .is_some_and(|renewed| now.since(renewed) > LEADER_LEASE / 2)
    }
}

/// A watermark obtained without the primary, so that bounded-staleness reads are served while the
/// primary is unreachable and no other can be promoted.
///
/// `received` are the log positions that voters reported in answer to requests sent after `asked`.
/// A commit confirmed to a caller is on `sync_replicas` + 1 voters, including its primary, so at
/// least one answered if at most `sync_replicas` did not, and the highest position covers the
/// commit.
pub fn quorum_watermark(
    asked: Moment,
    received: &[Position],
    voters: usize,
    sync_replicas: usize,
) -> Option<Watermark> {
    let is_quorum = sync_replicas > 0 && received.len() + sync_replicas >= voters;
    let position = received.iter().copied().max().filter(|_| is_quorum)?;
    Some(Watermark { asked, position })
}

/// How a server relates to a primary, judged by its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// It is a replica of this primary.
    Follows,
    /// It is in a later term or held for one: the primary has been or will be superseded.
    Supersedes,
    /// It has not joined the primary's term, so its status proves nothing about the primary.
    Unrelated,
}

/// Relates the status of another server to the primary of `term`.
///
/// A server that rejoins after a partition may still be in an earlier term. It must neither confirm
/// nor revoke the lease of a primary that it does not know.
pub fn relation(status: &Status, term: u64) -> Relation {
    if status.term > term || status.held > term {
        return Relation::Supersedes;
    }
    match status.role == Role::Replica && status.term == term {
        true => Relation::Follows,
        false => Relation::Unrelated,
    }
}

/// The log position that a read must see: every commit acknowledged before `since`, and the
/// session's own writes up to `own`. `None` if no watermark is recent enough.
pub fn required(since: Moment, marks: &Watermarks, own: Option<Position>) -> Option<Position> {
    let mark = marks.floor(since)?;
    Some(own.map_or(mark.position, |own| own.max(mark.position)))
}

/// Whether a server whose log ends at `received` certainly has the commit at `commit`. A log that
/// ends in a later term may have lost the commit when the primary changed.
pub fn has_commit(received: Position, commit: Position) -> bool {
    received.term == commit.term && received >= commit
}

//! Whether a group's primary has to be replaced, and by which server.
//!
//! The proof that nothing acknowledged is lost is in `docs/DESIGN.md`, "Failover": a new primary is
//! chosen only when no commit can be acknowledged by the old one any more, and among logs of which
//! one certainly holds every acknowledged commit.

use std::time::Duration;

use dandelionpitch_core::position::Position;

use crate::{
    registry::{Incarnation, Role},
    time::Moment,
};

/// How long a primary may be out of sight before it is replaced. Out of sight is one whose VM does
/// not even accept a connection in time, so slow servers are not meant.
pub const UNREACHABLE_AFTER: Duration = Duration::from_millis(300);

/// The longest time from a question to the moment at which it counts as unanswered. If more has
/// passed, this process was suspended or starved in between, and knows nothing of that time.
const UNANSWERED_WITHIN: Duration = Duration::from_millis(500);

/// Since when a server counts as out of sight that was asked at `asked` and found lost at `now`.
///
/// Failure: the holder is suspended for a second between a question and its answer; it wakes, finds
/// its time limits over and replaces a sound primary. Guard: after such a gap the time out of sight
/// begins anew.
pub fn lost_since(asked: Moment, now: Moment) -> Moment {
    match now.since(asked) > UNANSWERED_WITHIN {
        true => now,
        false => asked,
    }
}

/// How often the holder of the failover duty asks each server for its status.
pub const STATUS_INTERVAL: Duration = Duration::from_millis(250);

/// How long no replica may have received what the primary has written before the primary counts
/// as cut off from them: its commits then wait for ever. Above the usual lag of 20 to 120 ms and
/// the time that a stretch of slow application takes.
pub const STALLED_AFTER: Duration = Duration::from_millis(900);

/// How long replicas may be held under a primary that leads. An attempt of another process that
/// ended halfway leaves them so; by then its promotion call has been given up.
const HELD_TOO_LONG: Duration = Duration::from_millis(2_500);

/// How long the same may last before the replicas are asked more often: longer than the pause
/// between two questions to one of them in a calm group.
const SUSPECT_AFTER: Duration = Duration::from_millis(550);

/// Two holders may not replace the same primary shortly after each other; a holder that sees a
/// replacement by another one waits this long, more than any lease of the duty.
pub const PROMOTION_COOLDOWN: Duration = Duration::from_secs(5);

/// How long after its call a promotion may still take effect: a second on the slowest platform, and
/// what a call that was held up on its way takes.
///
/// Failure: the answer to a promotion call is lost, the group is judged again, and another server is
/// chosen; then the first promotion takes effect, ends the holds, and what its server acknowledges is
/// lost with the second one. Guard: until the promoted server is seen leading, or this has passed,
/// nobody else is promoted.
const EFFECT_LIMIT: Duration = Duration::from_millis(2_500);

/// What a server says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    pub role: Role,
    /// The term of the primary it follows or is.
    pub term: u64,
    /// The end of its log.
    pub received: Position,
    /// The term it is held for by a promoter; zero if it is not held.
    pub held: u64,
}

/// How a server looked when it was last asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sight {
    /// Not asked yet.
    Unknown,
    Answered(Status),
    /// It has not answered since.
    Lost {
        since: Moment,
    },
}

/// One member of a group, as the holder of the duty sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub id: Incarnation,
    pub leaving: bool,
    pub sight: Sight,
    /// When the question was sent that `sight` answers.
    pub asked: Moment,
}

impl Member {
    pub(crate) fn status(&self) -> Option<Status> {
        match self.sight {
            Sight::Answered(status) => Some(status),
            Sight::Unknown | Sight::Lost { .. } => None,
        }
    }
}

/// What a judgement comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// There is a primary and nothing speaks against it.
    Healthy,
    /// Too little is known, or it is too early.
    Undecided,
    /// Replicas are held though nobody replaces their primary: they are to receive again.
    Resume,
    /// The primary `old`, if there is one, is to be replaced.
    Replace {
        old: Option<Incarnation>,
        cause: Cause,
    },
}

/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It does not answer.
    Missing,
    /// No replica receives its log.
    Stalled,
    /// It will stop soon.
    Leaving,
    /// No server leads.
    Leaderless,
}

/// What is remembered of one group between judgements.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    /// The server that was last seen leading.
    leader: Option<Incarnation>,
    /// The highest term that any member was seen in, and when that was first heard of.
    newest: Option<(u64, Moment)>,
    /// A promotion that was called for and has not been seen to take effect.
    promoting: Option<Promotion>,
    /// A position of the primary's log that no replica has been seen to have received, and since
    /// when the primary has it.
    ahead: Option<(Moment, Position)>,
    leaderless_since: Option<Moment>,
    held_since: Option<Moment>,
}

/// A promotion that was called for.
#[derive(Clone, Copy, Debug)]
struct Promotion {
    /// The term that the promoted server will lead, at least.
    term: u64,
    /// Until when it may take effect.
    until: Moment,
}

impl Monitor {
    /// Judges a group whose members are all of `members`.
    pub fn evaluate(&mut self, members: &[Member], now: Moment) -> Decision {
        let heard = self.hear(members, now);
        let leader = leader(members).filter(|(_, status)| status.term >= heard.0);
        if self.is_promoting(leader.map(|(_, status)| status), now) {
            return Decision::Undecided;
        }
        if let Some((member, status)) = leader {
            self.leader = Some(member.id.clone());
            self.leaderless_since = None;
            return self.judge_led(member, status, members, now);
        }
        self.ahead = None;
        if members.iter().any(|member| may_lead(member, heard)) {
            return Decision::Undecided;
        }
        self.judge_leaderless(members, now)
    }

    /// The newest term that is known.
    pub fn newest_term(&self) -> u64 {
        self.newest.map_or(0, |(term, _)| term)
    }

    /// Notes the highest term that the members speak of; returns it and when it was first heard of.
    fn hear(&mut self, members: &[Member], now: Moment) -> (u64, Moment) {
        let term = newest_term(members);
        match self.newest {
            Some(newest) if newest.0 >= term => newest,
            _ => *self.newest.insert((term, now)),
        }
    }

    /// Whether a promotion that was called for may still take effect.
    fn is_promoting(&mut self, leader: Option<Status>, now: Moment) -> bool {
        self.promoting = self.promoting.filter(|promotion| {
            let effective = leader.is_some_and(|status| status.term >= promotion.term);
            !effective && now < promotion.until
        });
        self.promoting.is_some()
    }

    /// Judges a group of which no member that answers leads.
    fn judge_leaderless(&mut self, members: &[Member], now: Moment) -> Decision {
        let old = self.leader.as_ref().and_then(|id| {
            let lost = |member: &&Member| matches!(member.sight, Sight::Lost { .. });
            members.iter().filter(lost).find(|member| member.id == *id)
        });
        let leaderless = *self.leaderless_since.get_or_insert(now);
        let since = match old.map(|member| member.sight) {
            Some(Sight::Lost { since }) => since,
            // This process has never seen the primary: it is the one out of sight.
            _ if self.leader.is_none() => first_lost(members).unwrap_or(leaderless),
            // It answers and does not lead, or its entry is gone.
            _ => leaderless,
        };
        let answered = members.iter().any(|member| member.status().is_some());
        if now.since(since) < UNREACHABLE_AFTER || !answered {
            return Decision::Undecided;
        }
        let cause = match old {
            Some(_) => Cause::Missing,
            None => Cause::Leaderless,
        };
        // Out of sight is not the same as gone: it may lead on behind a cut.
        let old = old.map(|member| member.id.clone());
        Decision::Replace { old, cause }
    }

    fn judge_led(
        &mut self,
        leader: &Member,
        led: Status,
        members: &[Member],
        now: Moment,
    ) -> Decision {
        let replicas = || {
            members
                .iter()
                .filter(|member| member.id != leader.id)
                .filter_map(|member| Some((member, member.status()?)))
        };
        let replace = |cause| Decision::Replace {
            old: Some(leader.id.clone()),
            cause,
        };
        let held = replicas().any(|(_, status)| status.held != 0);
        let held_for = lasting(&mut self.held_since, held, now);
        let stay = replicas().any(|(member, _)| !member.leaving);
        if leader.leaving && stay {
            return replace(Cause::Leaving);
        }
        if held {
            // Why they receive nothing is known, and another primary would find them held as well.
            self.ahead = None;
            return match held_for >= HELD_TOO_LONG {
                true => Decision::Resume,
                false => Decision::Healthy,
            };
        }
        let received = replicas().map(|(_, status)| status.received).max();
        if self.ahead_for(led.received, received, now) >= STALLED_AFTER && stay {
            return replace(Cause::Stalled);
        }
        Decision::Healthy
    }

    /// For how long no replica is known to have received what the primary had. Replicas are asked
    /// less often than the primary, so their answers are held against what it had at the start, not
    /// against what it has now.
    fn ahead_for(&mut self, led: Position, received: Option<Position>, now: Moment) -> Duration {
        let caught_up = |position: Position| received.is_none_or(|received| received >= position);
        if self.ahead.is_some_and(|(_, position)| caught_up(position)) {
            self.ahead = None;
        }
        if self.ahead.is_none() && !caught_up(led) {
            self.ahead = Some((now, led));
        }
        self.ahead
            .map_or(Duration::ZERO, |(since, _)| now.since(since))
    }

    /// Whether the group is to be looked at more closely.
    pub fn is_suspect(&self, now: Moment) -> bool {
        let ahead = self
            .ahead
            .is_some_and(|(since, _)| now.since(since) > SUSPECT_AFTER);
        ahead || self.leaderless_since.is_some() || self.held_since.is_some()
    }

    /// Notes that an attempt has just ended: what was seen before it says nothing any more.
    pub fn note_attempt(&mut self) {
        *self = Self {
            leader: self.leader.take(),
            newest: self.newest,
            promoting: self.promoting,
            ..Self::default()
        };
    }

    /// Notes that the promotion of `server` to `term` was called for, whatever the answer was.
    pub fn note_promotion(&mut self, server: &Incarnation, term: u64, now: Moment) {
        self.note_attempt();
        self.leader = Some(server.clone());
        let until = now + EFFECT_LIMIT;
        self.promoting = Some(Promotion { term, until });
    }
}

/// Whether a member may lead the newest term though it does not say so.
///
/// Failure: a server was promoted and is busy, so its last answer is from before it led, while the
/// others already follow it. Side by side the answers show a group without a primary, and the sound
/// one is replaced, with acknowledged commits lost. Guard: only an answer to a question asked after the newest term was heard of denies that its server leads that term; one
/// that is in that term itself follows another.
fn may_lead(member: &Member, (term, heard): (u64, Moment)) -> bool {
    match member.sight {
        Sight::Unknown => true,
        Sight::Answered(status) => status.term < term && member.asked < heard,
        Sight::Lost { .. } => false,
    }
}

/// Keeps the start of a condition while it lasts; returns for how long it has.
fn lasting(since: &mut Option<Moment>, holds: bool, now: Moment) -> Duration {
    match holds {
        true => now.since(*since.get_or_insert(now)),
        false => {
            *since = None;
            Duration::ZERO
        }
    }
}

/// Since when the member is out of sight that was lost first.
fn first_lost(members: &[Member]) -> Option<Moment> {
    let lost = members.iter().filter_map(|member| match member.sight {
        Sight::Lost { since } => Some(since),
        Sight::Unknown | Sight::Answered(_) => None,
    });
    lost.min()
}

/// The member that leads the newest term. A primary of an earlier term has been replaced, though it
/// may not know it.
pub fn leader(members: &[Member]) -> Option<(&Member, Status)> {
    let term = newest_term(members);
    members
        .iter()
        .filter_map(|member| Some((member, member.status()?)))
        .find(|(_, status)| status.role == Role::Primary && status.term == term)
}

/// The highest term that any member has followed or led.
///
/// Failure: attempts that end halfway leave replicas held; if each held them for a higher term than
/// the last, they would stay held above the term of the primary that is promoted in the end, and its
/// commits would wait for ever. Guard: the terms for which members are held do not count, so every
/// attempt against the same primary holds them for the same term.
pub fn newest_term(members: &[Member]) -> u64 {
    let statuses = members.iter().filter_map(Member::status);
    statuses.map(|status| status.term).max().unwrap_or_default()
}

/// Whether a server that said `before` and later says `after` has started again in between.
///
/// Failure: a replica confirms a commit, crashes and comes back under its id with an empty log, all
/// before its new registration is seen. Held for a promotion it looks like one of the quorum, and the
/// member promoted lacks the commit. Guard: a log is only ever cut at a change of term, so one that
/// has become shorter within a term is another one, and its server counts for nothing.
pub fn has_restarted(before: &Status, after: &Status) -> bool {
    after.term <= before.term && after.received < before.received
}

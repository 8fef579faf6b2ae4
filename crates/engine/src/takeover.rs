//! Whether a group's primary has to be replaced, and by which server.
//!
//! `docs/DESIGN.md`, "Failover" proves that no acknowledged commit is lost.

use std::{net::SocketAddr, time::Duration};

use dandelionpitch_core::position::Position;

use crate::{
    registry::{Incarnation, Role},
    time::Moment,
};

/// How long a primary may be unreachable before it is replaced. A server is unreachable if its VM
/// does not accept a connection in time; a server that only answers slowly is not.
pub const UNREACHABLE_AFTER: Duration = Duration::from_millis(300);

/// The longest time that a status request takes to fail. If more has passed, this process was
/// suspended or starved of CPU meanwhile and knows nothing about that period.
const MAX_REQUEST_DURATION: Duration = Duration::from_millis(500);

/// The start of a server's unreachable period, given a status request sent at `asked` that failed
/// by `now`.
///
/// Starts the period at `now` if this process was suspended during the request. Otherwise it would
/// find its timeouts expired when it resumes and replace a healthy primary.
pub fn lost_since(asked: Moment, now: Moment) -> Moment {
    match now.since(asked) > MAX_REQUEST_DURATION {
        true => now,
        false => asked,
    }
}

/// How often the failover leader requests each server's status.
pub const STATUS_INTERVAL: Duration = Duration::from_millis(250);

/// How long replication may make no progress before the primary counts as partitioned from all its
/// replicas: its commits would then wait forever. Longer than ordinary replication lag, and than a
/// stretch in which replicas apply slowly.
pub const STALLED_AFTER: Duration = Duration::from_millis(900);

/// How long replicas may stay held while a primary leads. A failover that another process abandoned
/// leaves them held; after this time that process no longer retries its promotion call.
const MAX_HOLD: Duration = Duration::from_millis(2_500);

/// How long replication may make no progress before replicas are polled more often: longer than the
/// interval at which replicas of a healthy group are polled.
const SUSPECT_AFTER: Duration = Duration::from_millis(550);

/// How long a failover leader waits after another process's promotion in the same group. Longer
/// than the failover leader's lease, so that two leaders do not replace the same primary in turn.
pub const PROMOTION_COOLDOWN: Duration = Duration::from_secs(5);

/// How long after its call a promotion may still take effect: a second on the slowest platform, and the
/// delay of a call that was held up on its way.
///
/// No other server is promoted until the promoted one is seen leading or this time has passed. If
/// the answer to the call is lost and a second server were promoted, the first promotion could take
/// effect late and release the holds; commits that its server acknowledges would then be lost.
const PROMOTION_EFFECT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A server's own report of its replication state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    pub role: Role,
    /// The term in which the server leads, or that of the primary it follows.
    pub term: u64,
    /// The end of its log.
    pub received: Position,
    /// The term of the promotion for which the server is held, or zero. A held replica accepts no
    /// log entries from the current primary.
    pub held: u64,
}

/// The result of the latest status requests to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sight {
    /// No request has completed yet.
    Unknown,
    Answered(Status),
    /// Unreachable since the given time.
    Lost {
        since: Moment,
    },
}

/// One member of a group, as the failover leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub id: Incarnation,
    /// Where it runs, if no two servers run at one address.
    pub address: Option<SocketAddr>,
    /// Whether it has announced that it will stop.
    pub leaving: bool,
    /// Since when this process knows of the announcement, if proxies that know of it don't rely on the
    /// server to confirm commits ([`commit::Standing`](crate::commit::Standing)).
    pub retiring_since: Option<Moment>,
    pub sight: Sight,
    /// When the last answered request was sent.
    pub asked: Moment,
    /// Whether its answers are proved to be of the incarnation `id`
    /// ([`Detector::is_established`](crate::restart::Detector::is_established)).
    pub is_established: bool,
}

impl Member {
    pub(crate) fn status(&self) -> Option<Status> {
        match self.sight {
            Sight::Answered(status) => Some(status),
            Sight::Unknown | Sight::Lost { .. } => None,
        }
    }
}

/// What to do about a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The primary leads and need not be replaced.
    Healthy,
    /// Too little is known, or a timeout has not expired yet.
    Undecided,
    /// Release replicas that an abandoned failover left held.
    Resume,
    /// Promote another server in place of the primary `old`, if one is known.
    Replace {
        old: Option<Incarnation>,
        cause: Cause,
    },
}

/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It is unreachable.
    Missing,
    /// No replica receives its log.
    Stalled,
    /// It has announced that it will stop.
    Leaving,
    /// No reachable server leads, and the last primary is not known to be unreachable.
    Leaderless,
}

/// The failure detector of one group: the state kept between evaluations.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    /// The server that led last or was promoted last.
    leader: Option<Incarnation>,
    /// The highest term that any member reported, and when it was first reported.
    newest: Option<(u64, Moment)>,
    /// A requested promotion that may still take effect.
    promoting: Option<Promotion>,
    /// A position of the primary's log that no replica is known to have received, and when the
    /// primary was first seen to have it.
    unreplicated: Option<(Moment, Position)>,
    leaderless_since: Option<Moment>,
    held_since: Option<Moment>,
}

/// A requested promotion whose effect has not been observed.
#[derive(Clone, Copy, Debug)]
struct Promotion {
    /// The lowest term that the promoted server can lead.
    term: u64,
    /// When it can no longer take effect.
    until: Moment,
}

impl Monitor {
    /// Decides what to do about a group, given all its `members`.
    pub fn evaluate(&mut self, members: &[Member], now: Moment) -> Decision {
        let newest = self.note_term(members, now);
        let leader = leader(members).filter(|(_, status)| status.term >= newest.0);
        if self.is_promoting(leader.map(|(_, status)| status), now) {
            return Decision::Undecided;
        }
        if let Some((member, status)) = leader {
            self.leader = Some(member.id.clone());
            self.leaderless_since = None;
            return self.evaluate_led(member, status, members, now);
        }
        self.unreplicated = None;
        if members.iter().any(|member| may_lead(member, newest)) {
            return Decision::Undecided;
        }
        self.evaluate_leaderless(members, now)
    }

    /// The highest term that any member has reported.
    pub fn newest_term(&self) -> u64 {
        self.newest.map_or(0, |(term, _)| term)
    }

    /// Records the highest reported term; returns it and when it was first reported.
    fn note_term(&mut self, members: &[Member], now: Moment) -> (u64, Moment) {
        let term = newest_term(members);
        match self.newest {
            Some(newest) if newest.0 >= term => newest,
            _ => *self.newest.insert((term, now)),
        }
    }

    /// Whether a requested promotion may still take effect.
    fn is_promoting(&mut self, leader: Option<Status>, now: Moment) -> bool {
        self.promoting = self.promoting.filter(|promotion| {
            let effective = leader.is_some_and(|status| status.term >= promotion.term);
            !effective && now < promotion.until
        });
        self.promoting.is_some()
    }

    /// Evaluates a group in which no reachable member leads.
    fn evaluate_leaderless(&mut self, members: &[Member], now: Moment) -> Decision {
        let old = self.leader.as_ref().and_then(|id| {
            let lost = |member: &&Member| matches!(member.sight, Sight::Lost { .. });
            members.iter().filter(lost).find(|member| member.id == *id)
        });
        let leaderless = *self.leaderless_since.get_or_insert(now);
        let since = match old.map(|member| member.sight) {
            Some(Sight::Lost { since }) => since,
            // This process has never reached the primary, so it must be an unreachable member.
            _ if self.leader.is_none() => earliest_loss(members).unwrap_or(leaderless),
            // The last primary answers as a replica, or is no longer registered.
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
        // An unreachable primary may still lead on the other side of a partition.
        let old = old.map(|member| member.id.clone());
        Decision::Replace { old, cause }
    }

    /// Evaluates a group in which `leader` leads the newest term.
    fn evaluate_led(
        &mut self,
        leader: &Member,
        leader_status: Status,
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
        let held_for = elapsed_while(&mut self.held_since, held, now);
        let has_successor = replicas().any(|(member, _)| !member.leaving);
        if leader.leaving && has_successor {
            return replace(Cause::Leaving);
        }
        if held {
            // Held replicas receive nothing under any primary, so the primary is not stalled.
            self.unreplicated = None;
            return match held_for >= MAX_HOLD {
                true => Decision::Resume,
                false => Decision::Healthy,
            };
        }
        let received = replicas().map(|(_, status)| status.received).max();
        if self.unreplicated_for(leader_status.received, received, now) >= STALLED_AFTER
            && has_successor
        {
            return replace(Cause::Stalled);
        }
        Decision::Healthy
    }

    /// How long no replica has made progress. Replicas are polled less often than the primary, so
    /// their positions are compared with the primary's position at the start of that period, not
    /// with its current one.
    fn unreplicated_for(
        &mut self,
        written: Position,
        received: Option<Position>,
        now: Moment,
    ) -> Duration {
        let caught_up = |position: Position| received.is_none_or(|received| received >= position);
        if self
            .unreplicated
            .is_some_and(|(_, position)| caught_up(position))
        {
            self.unreplicated = None;
        }
        if self.unreplicated.is_none() && !caught_up(written) {
            self.unreplicated = Some((now, written));
        }
        self.unreplicated
            .map_or(Duration::ZERO, |(since, _)| now.since(since))
    }

    /// Whether the group shows signs of a failure and should be polled more often.
    pub fn is_suspect(&self, now: Moment) -> bool {
        let stalling = self
            .unreplicated
            .is_some_and(|(since, _)| now.since(since) > SUSPECT_AFTER);
        stalling || self.leaderless_since.is_some() || self.held_since.is_some()
    }

    /// Notes that a failover attempt has just ended, which makes earlier observations obsolete.
    pub fn note_attempt(&mut self) {
        *self = Self {
            leader: self.leader.take(),
            newest: self.newest,
            promoting: self.promoting,
            ..Self::default()
        };
    }

    /// Notes that the promotion of `server` to `term` was requested, whatever the answer was.
    pub fn note_promotion(&mut self, server: &Incarnation, term: u64, now: Moment) {
        self.note_attempt();
        self.leader = Some(server.clone());
        let until = now + PROMOTION_EFFECT_TIMEOUT;
        self.promoting = Some(Promotion { term, until });
    }
}

/// Whether a member may lead the newest term although its last status does not show it.
///
/// A busy server's last status may be older than its promotion; the group then looks leaderless,
/// and replacing the healthy primary would lose acknowledged commits. Only a status requested after
/// the newest term was first reported, or one in that term (of a server that follows another),
/// rules its server out.
fn may_lead(member: &Member, (term, first_reported): (u64, Moment)) -> bool {
    match member.sight {
        Sight::Unknown => true,
        Sight::Answered(status) => status.term < term && member.asked < first_reported,
        Sight::Lost { .. } => false,
    }
}

/// Tracks in `since` when a condition began; returns how long it has held without a break.
fn elapsed_while(since: &mut Option<Moment>, holds: bool, now: Moment) -> Duration {
    match holds {
        true => now.since(*since.get_or_insert(now)),
        false => {
            *since = None;
            Duration::ZERO
        }
    }
}

/// When the first of the members that are now unreachable became so.
fn earliest_loss(members: &[Member]) -> Option<Moment> {
    let lost = members.iter().filter_map(|member| match member.sight {
        Sight::Lost { since } => Some(since),
        Sight::Unknown | Sight::Answered(_) => None,
    });
    lost.min()
}

/// The member that leads the newest term. A primary of an earlier term has been replaced, even if
/// it has not noticed yet.
pub fn leader(members: &[Member]) -> Option<(&Member, Status)> {
    let term = newest_term(members);
    members
        .iter()
        .filter_map(|member| Some((member, member.status()?)))
        .find(|(_, status)| status.role == Role::Primary && status.term == term)
}

/// The highest term that any member has followed or led.
///
/// Terms for which members are held do not count, so all attempts against one primary hold replicas
/// for the same term. If each abandoned attempt raised it, replicas would stay held above the term
/// of the server that is finally promoted, and its commits would wait forever.
pub fn newest_term(members: &[Member]) -> u64 {
    let statuses = members.iter().filter_map(Member::status);
    statuses.map(|status| status.term).max().unwrap_or_default()
}

/// Whether a server that reported `before` and later `after` has restarted in between.
///
/// A log is truncated only when the term changes, so one that became shorter within a term is of a
/// new incarnation. If that counted in a promotion quorum, a server without a confirmed commit
/// could be promoted. A log that became empty is of a new incarnation in any term, as every primary
/// has the confirmed commits of the terms before.
pub fn has_restarted(before: &Status, after: &Status) -> bool {
    let is_same_term = after.term <= before.term;
    let is_empty = after.received.lsn == 0;
    after.received < before.received && (is_same_term || is_empty)
}

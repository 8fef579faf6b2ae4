//! One failover attempt: which members are fenced, and which server may be promoted.
//!
//! The primary is ordered to step down and the replicas to pause replication. A paused replica is
//! held: it receives nothing until the promotion takes effect or the attempt is abandoned. A new
//! primary is chosen only once the old one can no longer acknowledge commits, and only from a set
//! of logs at least one of which holds every acknowledged commit (`docs/DESIGN.md`, "Failover").

use dandelionpitch_core::position::Position;

use crate::{
    registry::{Incarnation, Role},
    takeover::{self, Member, Sight, Status},
};

/// A member that is held, or a primary that has stepped down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fenced {
    pub id: Incarnation,
    /// Whether it has announced that it will stop.
    pub leaving: bool,
    /// Whether it counts in a quorum: it is on the roster, and proved to be the incarnation `id`. A later
    /// one may have lost commits that this one confirmed.
    pub counts: bool,
    /// The term of the primary that it followed or was.
    pub term: u64,
    /// The end of its log, which no longer grows.
    pub received: Position,
}

/// What a member's answer to its order means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    Held,
    /// It led the newest term and no longer does.
    SteppedDown,
    /// It did not carry out the order, or its answer proves nothing.
    Nothing,
    /// It has restarted since its last status.
    Restarted,
    /// The term of this attempt already has, or had, a primary.
    Superseded,
}

/// A member's answer to the status request just before the promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recheck {
    Answered(Status),
    /// It is busy or unreachable. It may have restarted or been released.
    Unavailable,
}

/// Why a promotion must not be requested after all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Objection {
    /// The member is no longer fenced, or its log has changed.
    Changed(Incarnation),
    /// Too few members have confirmed that they are still fenced.
    NoQuorum { confirmed: usize, quorum: usize },
}

/// The state of one failover attempt.
#[derive(Clone, Debug)]
pub struct Fence {
    /// The term for which members are held.
    term: u64,
    quorum: usize,
    /// The server that reported itself as the primary of the newest term.
    leader: Option<Incarnation>,
    held: Vec<Fenced>,
    stepped_down: Option<Fenced>,
    superseded: bool,
    /// The members that do not count in a quorum.
    uncounted: Vec<Incarnation>,
}

impl Fence {
    /// Starts an attempt in a group of `members`, `quorum` of which have to be held. `newest` is
    /// the newest known term, and `last` the server promoted last, if any.
    pub fn new(members: &[Member], newest: u64, last: Option<&str>, quorum: usize) -> Self {
        let leader = takeover::leader(members)
            .filter(|(member, status)| member.is_established && status.term >= newest)
            .filter(|(member, _)| last.is_none_or(|last| last == member.id.id))
            .map(|(member, _)| member.id.clone());
        Self {
            term: newest.max(takeover::newest_term(members)) + 1,
            quorum,
            leader,
            held: Vec::new(),
            stepped_down: None,
            superseded: false,
            uncounted: Vec::new(),
        }
    }

    /// Limits the quorum to the `voters` among the members: one that leaves may have stopped counting.
    pub fn with_voters(mut self, members: &[Member], voters: &[Incarnation]) -> Self {
        let ids = members.iter().map(|member| &member.id);
        self.uncounted = ids.filter(|id| !voters.contains(id)).cloned().collect();
        self
    }

    /// The term for which members are held: the one after the newest.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// How many members have to be held as replicas.
    pub fn quorum(&self) -> usize {
        self.quorum
    }

    /// The members held so far.
    pub fn held(&self) -> &[Fenced] {
        &self.held
    }

    /// How many of the members held so far count in the quorum.
    pub fn counted(&self) -> usize {
        self.held.iter().filter(|held| held.counts).count()
    }

    /// Whether a quorum is held.
    pub fn is_complete(&self) -> bool {
        self.counted() >= self.quorum
    }

    /// Records a member's answer to its order.
    ///
    /// A server told to step down may already be a replica of a newer primary, which keeps
    /// acknowledging commits. So its answer counts as stepping down only if the server had reported
    /// itself as the primary of the newest term, with no later promotion. A member already in the
    /// attempt's term ends the attempt.
    pub fn note(&mut self, member: &Member, after: &Status) -> Response {
        if has_restarted(member, after) {
            return Response::Restarted;
        }
        if after.term >= self.term {
            self.superseded = true;
            return Response::Superseded;
        }
        if after.role != Role::Replica {
            return Response::Nothing;
        }
        let fenced = Fenced {
            id: member.id.clone(),
            leaving: member.leaving,
            counts: member.is_established && !self.uncounted.contains(&member.id),
            term: after.term,
            received: after.received,
        };
        if self.leader.as_ref() == Some(&member.id) {
            self.stepped_down = Some(fenced);
            return Response::SteppedDown;
        }
        if after.held >= self.term {
            self.held.push(fenced);
            return Response::Held;
        }
        Response::Nothing
    }

    /// The server to promote, or `None` if no safe choice exists.
    pub fn choice(&self) -> Option<&Fenced> {
        match self.superseded {
            true => None,
            false => choose(self.quorum, &self.held, self.stepped_down.as_ref()),
        }
    }

    /// Checks that the choice is still safe, from statuses requested after the promotion was
    /// recorded in the store.
    ///
    /// A held server that restarts may confirm commits of the old primary that the chosen server
    /// lacks, and the chosen server may lose its log. A held log does not change, so the members
    /// that the choice depends on, including the chosen one, must report that they are still fenced
    /// with the same log. A commit confirmed because the store showed no promotion was on its
    /// replicas before the record was written, so it is in the logs compared here.
    ///
    /// # Errors
    ///
    /// The objection, if a member has changed or too few have confirmed.
    pub fn recheck(&self, answers: &[(Incarnation, Recheck)]) -> Result<(), Objection> {
        let choice = self.choice().map(|choice| &choice.id);
        let is_complete = self.is_complete();
        let counts = |fenced: &Fenced| fenced.counts || !is_complete;
        let mut confirmed = 0;
        let mut choice_confirmed = false;
        for (id, answer) in answers {
            let Recheck::Answered(status) = answer else {
                continue;
            };
            if status.term >= self.term {
                return Err(Objection::Changed(id.clone()));
            }
            match self.recheck_member(id, status) {
                Some((fenced, true)) => {
                    confirmed += usize::from(counts(fenced));
                    choice_confirmed |= Some(id) == choice;
                }
                Some((_, false)) => return Err(Objection::Changed(id.clone())),
                None => {}
            }
        }
        let required = self.required();
        match choice_confirmed && confirmed >= required {
            true => Ok(()),
            false => Err(Objection::NoQuorum {
                confirmed,
                quorum: required,
            }),
        }
    }

    /// A member as it was fenced, and whether it still is with the same log; `None` if the choice does
    /// not depend on it.
    fn recheck_member(&self, id: &Incarnation, status: &Status) -> Option<(&Fenced, bool)> {
        let held = self.held.iter().find(|fenced| fenced.id == *id);
        let stepped_down = self.stepped_down.as_ref().filter(|fenced| fenced.id == *id);
        let before = held.or(stepped_down)?;
        let is_fenced = held.is_none() || status.held >= self.term;
        let same_log = status.role == Role::Replica && status.received == before.received;
        Some((before, is_fenced && same_log))
    }

    /// How many members have to confirm: a quorum if one is held, otherwise every fenced member.
    fn required(&self) -> usize {
        match self.is_complete() {
            true => self.quorum,
            false => self.held.len() + usize::from(self.stepped_down.is_some()),
        }
    }
}

/// Whether an attempt against `old` would fail only because too few of the members that answer are
/// established yet. It would hold replicas for nothing, and there is soon a list of registrations that
/// shows whether one of them has restarted.
pub fn awaits_registrations(members: &[Member], old: Option<&Incarnation>, quorum: usize) -> bool {
    let answering = || members.iter().filter(|member| member.status().is_some());
    let is_old = |member: &Member| Some(&member.id) == old;
    if answering().any(|member| is_old(member) && member.is_established) {
        return false;
    }
    let replicas = || answering().filter(|member| !is_old(member));
    let established = replicas().filter(|member| member.is_established);
    established.count() < quorum && replicas().count() >= quorum
}

/// Whether a member's answer shows that it has restarted since its last status.
fn has_restarted(member: &Member, after: &Status) -> bool {
    match member.sight {
        Sight::Answered(before) => takeover::has_restarted(&before, after),
        Sight::Unknown | Sight::Lost { .. } => false,
    }
}

/// How many members must be held as replicas before one of them may be promoted.
///
/// An acknowledged commit is on its primary and on `sync_replicas` other members. If all but
/// `sync_replicas` members are held, at least one held member has the commit, and the rest are too
/// few to acknowledge another: a primary among them has fewer than `sync_replicas` replicas.
/// Without synchronous replicas every member must be held.
pub fn quorum(members: usize, sync_replicas: u32) -> usize {
    members.saturating_sub(sync_replicas as usize).max(1)
}

/// The server to promote, or `None` if no safe choice exists.
///
/// The longest log of a held [`quorum`] has every acknowledged commit. So has the log of an old
/// primary that stepped down, and thus any held log that is at least as long. Of equal logs, one
/// that followed the last primary is preferred: another server may have been partitioned since
/// before that primary was promoted.
pub fn choose<'a>(
    quorum: usize,
    held: &'a [Fenced],
    stepped_down: Option<&'a Fenced>,
) -> Option<&'a Fenced> {
    let best = held
        .iter()
        .max_by_key(|fenced| (fenced.received, !fenced.leaving, fenced.term, &fenced.id));
    let counted = held.iter().filter(|fenced| fenced.counts).count();
    if counted >= quorum && best.is_some() {
        return best;
    }
    let old = stepped_down?;
    match best {
        Some(best) if best.received >= old.received => Some(best),
        _ => Some(old),
    }
}

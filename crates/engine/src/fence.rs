//! One attempt to replace a primary: what its orders have brought about, and which server they
//! allow to be promoted.
//!
//! The proof that nothing acknowledged is lost is in `docs/DESIGN.md`, "Failover": a new primary is
//! chosen only when no commit can be acknowledged by the old one any more, and among logs of which
//! one certainly holds every acknowledged commit.

use dandelionpitch_core::position::Position;

use crate::{
    registry::{Incarnation, Role},
    takeover::{self, Member, Sight, Status},
};

/// What a member said when it was told to follow nobody but the promoter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fenced {
    pub id: Incarnation,
    pub leaving: bool,
    /// The end of its log, which cannot grow any more.
    pub received: Position,
}

/// What a member's answer to its order comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// It is held.
    Held,
    /// It led and has stepped down.
    SteppedDown,
    /// It does not do what it was told, or that says nothing.
    Nothing,
    /// It has started again since it was last seen.
    Restarted,
    /// Somebody leads, or has led, the very term for which it was to be held.
    Superseded,
}

/// How a member stands when it is asked once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recheck {
    Answered(Status),
    /// It has no time to say, or cannot be reached. It may have started again or been let go.
    Unavailable,
}

/// What speaks against a promotion just before it is called for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Objection {
    /// The member is not as it was when it obeyed.
    Changed(Incarnation),
    /// Too few have said that they still are.
    NoQuorum { confirmed: usize, quorum: usize },
}

/// The orders of one attempt and what came of them.
#[derive(Clone, Debug)]
pub struct Fence {
    /// The term for which members are held: the one after the newest.
    term: u64,
    quorum: usize,
    /// The server that leads the newest term and is to step down, if it has said itself that it leads.
    leader: Option<Incarnation>,
    held: Vec<Fenced>,
    stepped_down: Option<Fenced>,
    superseded: bool,
}

impl Fence {
    /// An attempt against the group `members`, of which `quorum` have to be held. `newest` is the
    /// newest term known, `last` the server that was promoted last, if any was.
    pub fn new(members: &[Member], newest: u64, last: Option<&str>, quorum: usize) -> Self {
        let leader = takeover::leader(members)
            .filter(|(_, status)| status.term >= newest)
            .filter(|(member, _)| last.is_none_or(|last| last == member.id.id))
            .map(|(member, _)| member.id.clone());
        Self {
            term: newest.max(takeover::newest_term(members)) + 1,
            quorum,
            leader,
            held: Vec::new(),
            stepped_down: None,
            superseded: false,
        }
    }

    /// The term for which members are held.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// How many have to be held.
    pub fn quorum(&self) -> usize {
        self.quorum
    }

    /// The members that are held.
    pub fn held(&self) -> &[Fenced] {
        &self.held
    }

    /// Whether enough members are held.
    pub fn is_complete(&self) -> bool {
        self.held.len() >= self.quorum
    }

    /// Takes a member's answer to its order.
    ///
    /// Failure: the server that is told to step down has long been a replica of the true primary. It
    /// answers as a replica, which looks as if the primary had stepped down and its log were
    /// complete; the true primary goes on acknowledging, and all of that is lost. Guard: only a server
    /// that has said itself that it leads the newest term, and after which none was promoted, proves
    /// anything by stepping down; a member that is already in the term of the attempt ends it.
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
        let one = Fenced {
            id: member.id.clone(),
            leaving: member.leaving,
            received: after.received,
        };
        if self.leader.as_ref() == Some(&member.id) {
            self.stepped_down = Some(one);
            return Response::SteppedDown;
        }
        if after.held >= self.term {
            self.held.push(one);
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

    /// Whether the choice still stands, by what its members say after the promotion was written down.
    ///
    /// Failure: a held server starts again, has forgotten the order, and confirms commits of the old
    /// primary that the promoted server lacks; or the server to be promoted has lost its log. Guard: a
    /// held log does not change, so those on whom the choice rests, the chosen one among them, say once
    /// more that they are held with the same log. They are asked after the promotion was written down,
    /// so a commit that was confirmed on the word that none was is in that log.
    pub fn recheck(&self, answers: &[(Incarnation, Recheck)]) -> Result<(), Objection> {
        let choice = self.choice().map(|choice| &choice.id);
        let mut confirmed = 0;
        let mut chosen = false;
        for (id, answer) in answers {
            let Recheck::Answered(status) = answer else {
                continue;
            };
            match self.is_as_before(id, status) {
                Some(true) => {
                    confirmed += 1;
                    chosen |= Some(id) == choice;
                }
                Some(false) => return Err(Objection::Changed(id.clone())),
                None => {}
            }
        }
        let needed = self.needed();
        match chosen && confirmed >= needed {
            true => Ok(()),
            false => Err(Objection::NoQuorum {
                confirmed,
                quorum: needed,
            }),
        }
    }

    /// Whether a member is as it was when it obeyed; `None` if the choice does not rest on it.
    fn is_as_before(&self, id: &Incarnation, status: &Status) -> Option<bool> {
        if status.term >= self.term {
            return Some(false);
        }
        let held = self.held.iter().find(|one| one.id == *id);
        let stepped_down = self.stepped_down.as_ref().filter(|one| one.id == *id);
        let before = held.or(stepped_down)?;
        let obeys = held.is_none() || status.held >= self.term;
        let same = status.role == Role::Replica && status.received == before.received;
        Some(obeys && same)
    }

    /// On how many members the choice rests.
    fn needed(&self) -> usize {
        match self.is_complete() {
            true => self.quorum,
            false => self.held.len() + usize::from(self.stepped_down.is_some()),
        }
    }
}

/// Whether a member's answer shows that it has started again since it was last seen.
fn has_restarted(member: &Member, after: &Status) -> bool {
    match member.sight {
        Sight::Answered(before) => takeover::has_restarted(&before, after),
        Sight::Unknown | Sight::Lost { .. } => false,
    }
}

/// How many members must be held as replicas before one of them may be promoted.
///
/// An acknowledged commit is on its primary and on `sync_replicas` members more. With all but
/// `sync_replicas` members held, whichever those others are, one of the held has the commit, and
/// the others are too few to acknowledge another: a primary among them lacks a replica. Without
/// synchronous replicas every member must be held.
pub fn quorum(members: usize, sync_replicas: u32) -> usize {
    members.saturating_sub(sync_replicas as usize).max(1)
}

/// The server to promote, or `None` if no safe choice exists.
///
/// `fenced` are the members that are held as replicas, and `stepped_down` the old primary if it
/// obeyed. Safe are two cases: a [`quorum`] is held, and the longest of their logs has every
/// acknowledged commit; or the old primary stepped down, and its own log has them all, so a server
/// that has as much, or the old primary itself, will do.
pub fn choose<'a>(
    quorum: usize,
    fenced: &'a [Fenced],
    stepped_down: Option<&'a Fenced>,
) -> Option<&'a Fenced> {
    let best = fenced
        .iter()
        .max_by_key(|fenced| (fenced.received, !fenced.leaving, &fenced.id));
    if fenced.len() >= quorum && best.is_some() {
        return best;
    }
    let old = stepped_down?;
    match best {
        Some(best) if best.received >= old.received => Some(best),
        _ => Some(old),
    }
}

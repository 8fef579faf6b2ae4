//! Decides what the answers of the servers that count for promotions prove about the commits of a
//! group without its primary (`docs/DESIGN.md`, "Reads on the line protocol").

use dandelionpitch_core::position::Position;

use crate::{
    commit::Membership,
    freshness::{quorum_watermark, Watermark, Watermarks},
    registry::Incarnation,
    roster::LIST_VALIDITY,
    takeover::Status,
    time::Moment,
};

/// The servers that count for promotions, from a list that includes every change up to `as_of`.
#[derive(Clone, Copy, Debug)]
pub struct Voters<'a> {
    pub members: &'a [Incarnation],
    pub as_of: Moment,
}

impl Voters<'_> {
    fn membership(&self, now: Moment) -> Membership {
        match now.since(self.as_of) < LIST_VALIDITY {
            true => Membership::Current,
            false => Membership::Stale,
        }
    }
}

/// A server's answer in a [`Round`].
#[derive(Clone, Debug)]
struct Answer {
    server: Incarnation,
    received: Position,
    is_established: bool,
}

/// The answers to one round of status requests to all servers of a group.
#[derive(Clone, Debug)]
pub struct Round {
    /// No request was sent earlier.
    asked: Moment,
    /// How many replicas have to receive a commit of the group.
    sync_replicas: usize,
    answers: Vec<Answer>,
}

impl Round {
    /// A round whose requests are sent at `asked` or later.
    pub fn new(asked: Moment, sync_replicas: usize) -> Self {
        Self {
            asked,
            sync_replicas,
            answers: Vec::new(),
        }
    }

    /// Adds the answer of `server`. The caller has checked that it may be from that incarnation
    /// ([`Detector::accepts`]): another one may have lost commits that this one confirmed.
    /// `is_established` is the result of [`Detector::is_established`].
    ///
    /// [`Detector::accepts`]: crate::restart::Detector::accepts
    /// [`Detector::is_established`]: crate::restart::Detector::is_established
    pub fn note(&mut self, server: &Incarnation, status: &Status, is_established: bool) {
        self.answers.push(Answer {
            server: server.clone(),
            received: status.received,
            is_established,
        });
    }

    /// Adds the watermark for reads with a staleness bound to `marks`; returns whether there is one.
    pub fn apply(&self, voters: Voters<'_>, now: Moment, marks: &mut Watermarks) -> bool {
        let mark = self.watermark(voters);
        if let Some(mark) = mark {
            marks.note_quorum(mark, voters.membership(now));
        }
        mark.is_some()
    }

    /// The watermark that the answers of a quorum of `voters` prove. It covers only commits acknowledged
    /// before the last change that the list may lack, as each was confirmed by servers that were on the
    /// list then: a server that was added later may have confirmed a commit that no other voter has.
    ///
    /// An answer counts only if its server is established: a later incarnation may have lost commits.
    pub fn watermark(&self, voters: Voters<'_>) -> Option<Watermark> {
        let counts =
            |answer: &&Answer| answer.is_established && voters.members.contains(&answer.server);
        let counted = self.answers.iter().filter(counts);
        let received: Vec<Position> = counted.map(|answer| answer.received).collect();
        let count = voters.members.len();
        let asked = self.asked.min(voters.as_of);
        quorum_watermark(asked, &received, count, self.sync_replicas)
    }
}

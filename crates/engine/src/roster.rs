//! Which servers may hold a commit of a group that no other server holds.
//!
//! Failure: a primary and the replica that acknowledged its last commits are cut off together, or
//! the replica leaves for good; their entries lapse, the two servers that remain look like the
//! whole group, and the one that is promoted lacks those commits. Guard: a server whose entry has
//! vanished is still counted until the servers that remain are seen to have everything that the
//! primary had after it vanished. The list lies in the store, so a new holder of the failover duty
//! goes on from it. A server that starts again under its id is another one here: its log is gone, so
//! its earlier life has vanished.

use std::time::Duration;

use dandelionpitch_core::{hash::Map, position::Position};

use crate::{
    registry::{Incarnation, Role},
    takeover::{Member, Sight},
    time::Moment,
};

/// How long a proxy goes by the list of servers that it last read from the store: longer than the
/// longest wait of its watch (4.7 s).
///
/// Failure: a replica is cut off from the store with a proxy; its entry lapses, the promoter forgets
/// it, and the proxy goes on taking its word for commits that no quorum of the new list has. Guard: a
/// proxy with an older list takes no single server's word for it, and a vanished server is forgotten
/// only on what the others had after the last proxy can have counted it.
pub const LIST_VALIDITY: Duration = Duration::from_millis(6_000);

/// The servers of one group that count, present or vanished.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    /// Vanished servers, each with the moment at which it was first missed.
    vanished: Map<Incarnation, Moment>,
    present: Vec<Incarnation>,
}

impl Roster {
    /// The roster of a group whose recorded members were `recorded`.
    pub fn new(recorded: &[Incarnation], now: Moment) -> Self {
        let vanished = recorded.iter().map(|id| (id.clone(), now)).collect();
        Self {
            vanished,
            present: Vec::new(),
        }
    }

    /// Takes the members as they are seen now, and forgets vanished ones that do not matter any
    /// more.
    pub fn update(&mut self, members: &[Member], now: Moment) {
        let is_member = |id: &Incarnation| members.iter().any(|member| member.id == *id);
        for id in std::mem::take(&mut self.present) {
            if !is_member(&id) {
                self.vanished.insert(id, now);
            }
        }
        self.vanished.retain(|id, _| !is_member(id));
        self.present = members.iter().map(|member| member.id.clone()).collect();
        self.present.sort_unstable();
        if let Some((asked, position)) = primary(members) {
            let held = members
                .iter()
                .filter(|member| has(member, position))
                .count();
            // The primary itself and all others but one: then any quorum of the rest has it.
            if held + 1 >= members.len() && held >= 2 {
                self.vanished
                    .retain(|_, since| asked <= *since + LIST_VALIDITY);
            }
        }
    }

    /// Takes a list that another process has recorded: what is on it counts, whether it is seen or not.
    pub fn merge(&mut self, recorded: &[Incarnation], now: Moment) {
        for id in recorded {
            if !self.present.contains(id) {
                self.vanished.entry(id.clone()).or_insert(now);
            }
        }
    }

    /// Goes on counting a vanished server that is still sent commits, so may be alone in confirming one.
    pub fn note_in_use(&mut self, id: &Incarnation, now: Moment) {
        if let Some(since) = self.vanished.get_mut(id) {
            *since = now;
        }
    }

    /// Stops counting vanished servers that another process has seen to be covered by the others.
    pub fn remove_covered(&mut self, covered: &[Incarnation]) {
        self.vanished.retain(|id, _| !covered.contains(id));
    }

    /// How many servers count.
    pub fn len(&self) -> usize {
        self.present.len() + self.vanished.len()
    }

    /// Whether no server counts.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All that count, in a fixed order.
    pub fn ids(&self) -> Vec<Incarnation> {
        let mut ids: Vec<Incarnation> = self.present.clone();
        ids.extend(self.vanished.keys().cloned());
        ids.sort_unstable();
        ids
    }
}

/// When the primary with the highest term was asked, and what it had.
fn primary(members: &[Member]) -> Option<(Moment, Position)> {
    let led = members.iter().filter_map(|member| match member.sight {
        Sight::Answered(status) if status.role == Role::Primary => Some((member.asked, status)),
        _ => None,
    });
    led.max_by_key(|(_, status)| status.term)
        .map(|(asked, status)| (asked, status.received))
}

/// Whether a member's log goes up to `position` at least.
fn has(member: &Member, position: Position) -> bool {
    matches!(member.sight, Sight::Answered(status) if status.received >= position)
}

//! Tracks which servers of a group count for promotions: those that may have an acknowledged commit
//! that no other server has.
//!
//! A primary and the replica that acknowledged its last commits may be partitioned together, or the
//! replica may leave for good; a server promoted from the rest would lack those commits. So an
//! unregistered server counts until enough of the others have everything that the primary had after
//! it vanished. The list is kept in the store, where a new failover leader finds it. A server that
//! restarts under its id has lost its log, so its earlier incarnation has vanished.

use std::time::Duration;

use dandelionpitch_core::{hash::Map, position::Position};

use crate::{
    fence,
    registry::Incarnation,
    takeover::{self, Member, Sight},
    time::Moment,
};

/// How long a proxy may use the list of servers that it last read from the store: longer than the
/// longest request of its watch.
///
/// A replica and a proxy may be partitioned from the store together. The replica is then dropped
/// from the list, and the proxy would confirm commits that no quorum of the new list has. So a
/// proxy with an older list does not rely on single replicas, and a vanished server is dropped only
/// if the others have what the primary had after every proxy's list with that server had expired.
pub const LIST_VALIDITY: Duration = Duration::from_millis(6_000);

/// What decides, besides the members' statuses, whether a vanished server still counts.
#[derive(Clone, Copy, Debug)]
pub struct Basis<'a> {
    /// How many replicas must receive a commit before it is acknowledged.
    pub sync_replicas: u32,
    /// The server that the group's record names as promoted last, if any.
    pub promoted: Option<&'a str>,
}

/// The servers of one group that count for promotions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    /// Servers that are no longer registered, and when each was found missing or was last in use.
    vanished: Map<Incarnation, Moment>,
    /// Registered servers.
    present: Vec<Incarnation>,
}

impl Roster {
    /// Starts with the members of the group's record, all taken as vanished until they are seen.
    pub fn new(recorded: &[Incarnation], now: Moment) -> Self {
        let vanished = recorded.iter().map(|id| (id.clone(), now)).collect();
        Self {
            vanished,
            present: Vec::new(),
        }
    }

    /// Applies the current members, and drops vanished servers whose commits enough others have.
    ///
    /// The others have them once `sync_replicas` replicas besides the primary do, like any commit
    /// that is acknowledged now. A server may confirm further commits for [`LIST_VALIDITY`] after
    /// it was found missing, but not after it restarted under its id. If the record names another
    /// primary, one out of reach may have superseded the one in sight, so nothing is dropped early.
    pub fn update(&mut self, members: &[Member], basis: Basis<'_>, now: Moment) {
        let is_member = |id: &Incarnation| members.iter().any(|member| member.id == *id);
        for id in std::mem::take(&mut self.present) {
            if !is_member(&id) {
                self.vanished.insert(id, now);
            }
        }
        self.vanished.retain(|id, _| !is_member(id));
        self.present = members.iter().map(|member| member.id.clone()).collect();
        self.present.sort_unstable();
        let Some((leader, status)) = takeover::leader(members) else {
            return;
        };
        let holders = members
            .iter()
            .filter(|member| has(member, status.received))
            .count();
        let required = 2.max(basis.sync_replicas as usize + 1);
        // All members but at most one have it, so every quorum of them includes one that does.
        if holders + 1 < members.len() || holders < required {
            return;
        }
        // A restored record may name an earlier primary for good, so this only delays the drop.
        let is_recorded = basis.promoted.is_none_or(|id| id == leader.id.id);
        let present = &self.present;
        self.vanished.retain(|id, since| {
            let confirms_for = match is_recorded && has_restarted(id, present) {
                true => Duration::ZERO,
                false => LIST_VALIDITY,
            };
            leader.asked <= *since + confirms_for
        });
    }

    /// Adds the servers of a list that another process has recorded, registered or not.
    pub fn merge(&mut self, recorded: &[Incarnation], now: Moment) {
        for id in recorded {
            if !self.present.contains(id) {
                self.vanished.entry(id.clone()).or_insert(now);
            }
        }
    }

    /// Notes that a vanished server is still in use at `now`: it may still be the only server to
    /// confirm a commit, so it is kept on the list as if it had vanished at `now`.
    pub fn note_in_use(&mut self, id: &Incarnation, now: Moment) {
        if let Some(since) = self.vanished.get_mut(id) {
            *since = now;
        }
    }

    /// Drops vanished servers whose commits enough others have, as another process has found.
    pub fn remove_covered(&mut self, covered: &[Incarnation]) {
        self.vanished.retain(|id, _| !covered.contains(id));
    }

    /// The number of servers that count.
    pub fn len(&self) -> usize {
        self.present.len() + self.vanished.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many members must be held before one of them may be promoted: [`fence::quorum`] of all
    /// that count, but no more than there are logs.
    ///
    /// A vanished server that has restarted has no log that could hold a commit. If every other
    /// server that counts is held, no server has a commit that none of the held has, and none can
    /// acknowledge another (`docs/DESIGN.md`, "Failover on the line protocol").
    pub fn quorum(&self, sync_replicas: u32) -> usize {
        let restarted = |id: &&Incarnation| has_restarted(id, &self.present);
        let logs = self.len() - self.vanished.keys().filter(restarted).count();
        fence::quorum(self.len(), sync_replicas).min(logs)
    }

    /// All servers that count, sorted.
    pub fn ids(&self) -> Vec<Incarnation> {
        let mut ids: Vec<Incarnation> = self.present.clone();
        ids.extend(self.vanished.keys().cloned());
        ids.sort_unstable();
        ids
    }
}

/// The servers that count by either of two records of a group, either of which may be the earlier one,
/// as after a restore of the store from a backup.
///
/// A record that names a restarted server without its earlier incarnation was written after enough
/// others had the commits of the earlier one, which therefore does not count again.
pub fn union(one: &[Incarnation], other: &[Incarnation]) -> Vec<Incarnation> {
    let counts = |id: &&Incarnation, by: &[Incarnation]| by.contains(id) || !has_restarted(id, by);
    let mut members: Vec<Incarnation> = Vec::with_capacity(one.len());
    members.extend(one.iter().filter(|id| counts(id, other)).cloned());
    members.extend(other.iter().filter(|id| counts(id, one)).cloned());
    members.sort_unstable();
    members.dedup();
    members
}

/// Whether a server has restarted under its id since the incarnation `id`.
fn has_restarted(id: &Incarnation, present: &[Incarnation]) -> bool {
    present
        .iter()
        .any(|other| other.id == id.id && other.born > id.born)
}

/// Whether a member's log reaches `position`.
fn has(member: &Member, position: Position) -> bool {
    matches!(member.sight, Sight::Answered(status) if status.received >= position)
}

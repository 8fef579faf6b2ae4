//! Which servers of a group count for a promotion, whatever the bundle in force lists.
//!
//! Failure: a server is taken out of a group's list after it alone acknowledged a commit, and the
//! primary dies; the servers still listed look like the whole group, and the one promoted lacks the
//! commit. Guard: [`Roster`] counts the server until the others have all that the primary had after
//! it was taken out, and the group's record keeps the list for other proxies (`docs/DESIGN.md`, "Failover").

use std::{net::SocketAddr, time::Instant};

use dandelionpitch_engine::{
    registry::{Incarnation, Role},
    roster::Roster,
    takeover::{Member, Sight, Status},
    time::Moment,
};

use crate::view;

/// The servers of one group that count.
#[derive(Debug)]
pub struct Counted {
    /// The origin of the moments that the roster goes by.
    started: Instant,
    roster: Roster,
    /// The revision of the record that was taken in last, and the servers that it names.
    revision: u64,
    recorded: Vec<Incarnation>,
}

impl Counted {
    /// Counts no server yet.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            roster: Roster::default(),
            revision: 0,
            recorded: Vec::new(),
        }
    }

    /// Takes in the listed servers as they are seen, and what the record says.
    pub fn update(&mut self, group: &view::Group, now: Instant) {
        let at = self.moment(now);
        let (listed, taken_out): (Vec<_>, Vec<_>) =
            group.servers.iter().partition(|server| server.listed);
        // First, since after a pause of this process the others may look as if they covered it.
        for server in taken_out {
            if receives(server, group, now) {
                self.roster.keep(&id(server.address), at);
            }
        }
        let member = |server: &view::Server| self.member(server, group, now);
        let members: Vec<Member> = listed.into_iter().map(member).collect();
        self.roster.update(&members, at);
        if let Some(held) = &group.held {
            self.take(held, at);
        }
    }

    /// Takes in a newer record. A server that the one before names and this one does not is covered:
    /// whoever writes a record has taken in the one that it replaces.
    fn take(&mut self, held: &view::Held, at: Moment) {
        if held.revision <= self.revision {
            return;
        }
        let recorded: Vec<_> = held.record.members.iter().copied().map(id).collect();
        let mut covered = std::mem::replace(&mut self.recorded, recorded);
        covered.retain(|id| !self.recorded.contains(id));
        self.revision = held.revision;
        self.roster.forget(&covered);
        self.roster.merge(&self.recorded, at);
    }

    /// How many servers must hold a new term before a primary of that term may be promoted.
    ///
    /// An acknowledged commit is on the primary and on `sync_replicas` others. Any set of
    /// this many servers shares a member with that set, so the most advanced of them has the
    /// commit; and those left over are too few for the old primary to have another one
    /// acknowledged. `None` when nothing can be promised (`docs/DESIGN.md`, "Failover").
    pub fn quorum(&self, sync_replicas: usize) -> Option<usize> {
        match sync_replicas {
            0 => None,
            sync => self.roster.len().checked_sub(sync).filter(|q| *q > 0),
        }
    }

    /// The term and server of the record, if it is to be written again with the servers that count:
    /// it lacks one, or keeps one that counts no longer.
    pub fn outdates(&self, group: &view::Group) -> Option<(u64, SocketAddr)> {
        let record = &group.held.as_ref()?.record;
        let counted = self.addresses();
        let keeps = !record.members.iter().all(|one| counted.contains(one));
        Some((record.term, record.server?)).filter(|_| keeps || self.is_missing_in(group))
    }

    /// Whether the record lacks a server that counts. Until it is written, a proxy that starts after
    /// this server was taken out does not know of it.
    pub fn is_missing_in(&self, group: &view::Group) -> bool {
        let Some(held) = &group.held else { return true };
        let recorded = |address: &SocketAddr| held.record.members.contains(address);
        !self.addresses().iter().all(recorded)
    }

    /// All servers that count.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let ids = self.roster.ids();
        ids.iter().filter_map(|id| id.id.parse().ok()).collect()
    }

    fn member(&self, server: &view::Server, group: &view::Group, now: Instant) -> Member {
        let status = server.fresh(now, group.fresh_for);
        let sight = |status: view::Status| {
            Sight::Answered(Status {
                role: role(status.role),
                term: status.term,
                received: status.position,
                held: 0,
            })
        };
        Member {
            id: id(server.address),
            leaving: server.leaving,
            sight: status.map_or(Sight::Unknown, sight),
            asked: status.map_or(Moment::default(), |status| self.moment(status.read_at)),
        }
    }

    fn moment(&self, at: Instant) -> Moment {
        Moment::from_boot(at.saturating_duration_since(self.started))
    }
}

/// Whether a server is sent the group's commits, or leads it.
fn receives(server: &view::Server, group: &view::Group, now: Instant) -> bool {
    let status = server.fresh(now, group.fresh_for);
    status.is_some_and(|status| status.silent < group.fresh_for)
}

/// A server of the bundle as the roster names it; the bundle says nothing of its earlier lives.
fn id(address: SocketAddr) -> Incarnation {
    Incarnation {
        id: address.to_string(),
        born: 0,
    }
}

fn role(role: view::Role) -> Role {
    match role {
        view::Role::Primary => Role::Primary,
        view::Role::Replica => Role::Replica,
    }
}

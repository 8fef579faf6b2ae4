//! Which servers of a group count for a promotion, whatever the bundle in force lists.
//!
//! Failure: a server is taken out of a group's list after it alone acknowledged a commit, and the
//! primary dies; the servers still listed look like the whole group, and the one promoted lacks the
//! commit. Guard: [`Roster`] counts the server until the others have all that the primary had after
//! it was taken out, and the group's record keeps the list for other proxies (`docs/DESIGN.md`, "Failover").

use std::{net::SocketAddr, time::Instant};

use dandelionpitch_core::{era, hash::Map, position::Position};
use dandelionpitch_engine::{
    registry::{Incarnation, Role},
    roster::Roster,
    takeover::{self, Member, Sight, Status},
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
    lives: Map<SocketAddr, Life>,
}

/// What is known of the server behind an address.
///
/// Failure: a replica that alone has a commit loses its log and comes back empty; held for a promotion it
/// looks like one of the quorum. Guard: another log, or one that has become shorter within a term, belongs
/// to another life, and the earlier one still counts.
#[derive(Clone, Copy, Debug)]
pub struct Life {
    /// How many lives are known to have ended before this one.
    number: u64,
    log: u64,
    last: Status,
}

impl Life {
    /// Whether a server that has this log up to `received` is still in this life.
    pub fn goes_on(&self, log: u64, received: Position) -> bool {
        log == self.log && received >= self.last.received
    }
}

impl Counted {
    /// Counts no server yet.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            roster: Roster::default(),
            revision: 0,
            recorded: Vec::new(),
            lives: Map::default(),
        }
    }

    /// Takes in the listed servers as they are seen, and what the record says.
    pub fn update(&mut self, group: &view::Group, now: Instant) {
        let at = self.moment(now);
        for server in &group.servers {
            if let Some(status) = server.status.get() {
                self.note_life(server.address, status);
            }
        }
        let (listed, taken_out): (Vec<_>, Vec<_>) =
            group.servers.iter().partition(|server| server.listed);
        // First, since after a pause of this process the others may look as if they covered it.
        for server in taken_out {
            if receives(server, group, now) {
                self.roster.note_in_use(&self.id(server.address), at);
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
    /// whoever writes a record has taken in the one that it replaces. A KV that came back from a copy may
    /// show an older one.
    fn take(&mut self, held: &view::Held, at: Moment) {
        if held.revision <= self.revision {
            return;
        }
        let members = held.record.members.iter();
        let recorded: Vec<_> = members.map(|&address| self.id(address)).collect();
        let mut covered = std::mem::replace(&mut self.recorded, recorded);
        covered.retain(|id| !self.recorded.contains(id));
        let replaces = era::of(held.revision) == era::of(self.revision);
        self.revision = held.revision;
        if replaces {
            self.roster.remove_covered(&covered);
        }
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
        let Some(held) = group.held.as_ref().filter(|held| !held.forgotten) else {
            return true;
        };
        let recorded = |address: &SocketAddr| held.record.members.contains(address);
        !self.addresses().iter().all(recorded)
    }

    /// All servers that count.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let ids = self.roster.ids();
        let addresses = ids.iter().filter_map(|id| id.id.parse().ok());
        let mut addresses: Vec<SocketAddr> = addresses.collect();
        // Two lives of one server stand side by side.
        addresses.dedup();
        addresses
    }

    /// The life that each server was last seen in.
    pub fn lives(&self) -> &Map<SocketAddr, Life> {
        &self.lives
    }

    fn note_life(&mut self, address: SocketAddr, status: view::Status) {
        let (log, last) = (status.log, read(status));
        let first = Life {
            number: 0,
            log,
            last,
        };
        let life = self.lives.entry(address).or_insert(first);
        if log != life.log || takeover::has_restarted(&life.last, &last) {
            life.number += 1;
            log::warn!(target: "control", "Server {address} has lost its log: it ends at {}, after {}.",
                last.received, life.last.received);
        }
        (life.log, life.last) = (log, last);
    }

    /// A server as the roster names it, by its address and life.
    fn id(&self, address: SocketAddr) -> Incarnation {
        Incarnation {
            id: address.to_string(),
            born: self.lives.get(&address).map_or(0, |life| life.number),
        }
    }

    fn member(&self, server: &view::Server, group: &view::Group, now: Instant) -> Member {
        let status = server.fresh(now, group.fresh_for);
        Member {
            id: self.id(server.address),
            leaving: server.leaving,
            sight: status.map_or(Sight::Unknown, |status| Sight::Answered(read(status))),
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

fn read(status: view::Status) -> Status {
    Status {
        role: role(status.role),
        term: status.term,
        received: status.position,
        held: 0,
    }
}

fn role(role: view::Role) -> Role {
    match role {
        view::Role::Primary => Role::Primary,
        view::Role::Replica => Role::Replica,
    }
}

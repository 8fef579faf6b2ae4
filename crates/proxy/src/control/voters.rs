//! The servers of a group that count for the promotion quorum, whether listed in the bundle or not.
//!
//! A server removed from the bundle may be the only replica with an acknowledged commit, and a
//! quorum of the listed servers could promote one without it. [`Roster`] therefore counts the
//! server until the others have everything that the primary had after the removal, and the group's
//! record names it for other proxies (`docs/DESIGN.md`, "Failover").

use std::{net::SocketAddr, time::Instant};

use dandelionpitch_core::{era, hash::Map, position::Position};
use dandelionpitch_engine::{
    registry::{Incarnation, Role},
    roster::{self, Roster},
    takeover::{self, Member, Sight, Status},
    time::Moment,
};

use crate::view;

/// The servers of one group that count for the quorum.
#[derive(Debug)]
pub struct Voters {
    /// The origin of the [`Moment`]s passed to the roster.
    origin: Instant,
    roster: Roster,
    /// The revision of the last applied record, as a stamp (see [`era`]).
    revision: u64,
    /// The servers that the last applied record names.
    recorded: Vec<Incarnation>,
    histories: Map<SocketAddr, History>,
}

/// The last seen log of the server at an address.
///
/// The only replica with a commit may lose its log and restart empty. Counted as the same server,
/// it could complete a quorum without the commit. A different log, or one that became shorter
/// within a term, therefore starts a new incarnation, and the earlier one still counts.
#[derive(Clone, Copy, Debug)]
pub struct History {
    /// The number of times that the server is known to have lost its log.
    incarnation: u64,
    log_id: u64,
    last: Status,
    /// Whether the server has restarted with an empty log and has not led since.
    restarted_empty: bool,
}

impl History {
    /// Whether a server with log `log_id` up to `received` still has everything seen of this log.
    pub fn is_continued_by(&self, log_id: u64, received: Position) -> bool {
        log_id == self.log_id && received >= self.last.received
    }
}

impl Voters {
    /// Creates an empty set.
    pub fn new(now: Instant) -> Self {
        Self {
            origin: now,
            roster: Roster::default(),
            revision: 0,
            recorded: Vec::new(),
            histories: Map::default(),
        }
    }

    /// Updates the set from the listed servers' statuses and the group's record.
    pub fn update(&mut self, group: &view::Group, sync_replicas: usize, now: Instant) {
        let at = self.moment(now);
        for server in &group.servers {
            if let Some(status) = server.status.get() {
                self.update_history(server.address, status);
            }
        }
        let (listed, removed): (Vec<_>, Vec<_>) =
            group.servers.iter().partition(|server| server.listed);
        // Must precede the roster update. After a pause of this process, the update could otherwise
        // conclude that the other servers have everything that a removed server has, although that
        // server is still in use.
        for server in removed {
            if hears_from_primary(server, group, now) {
                self.roster
                    .note_in_use(&self.incarnation_of(server.address), at);
            }
        }
        let member = |server: &view::Server| self.member(server, group, now);
        let members: Vec<Member> = listed.into_iter().map(member).collect();
        let promoted = group
            .stored
            .as_ref()
            .and_then(|stored| stored.record.server);
        let promoted = promoted.map(|server| server.to_string());
        let basis = roster::Basis {
            sync_replicas: u32::try_from(sync_replicas).unwrap_or(u32::MAX),
            promoted: promoted.as_deref(),
        };
        self.roster.update(&members, basis, at);
        if let Some(stored) = &group.stored {
            self.apply_record(stored, at);
        }
    }

    /// Applies a newer record. A server that only the previous record names no longer needs to be
    /// counted: each record is written by a proxy that has applied the one it replaces. This is not
    /// true across a restore of the KV from a backup, which can revert to an older record, nor of
    /// an earlier incarnation of a server that both name, as records name addresses.
    fn apply_record(&mut self, stored: &view::StoredRecord, at: Moment) {
        if stored.revision <= self.revision {
            return;
        }
        let members = stored.record.members.iter();
        let recorded: Vec<_> = members
            .map(|&address| self.incarnation_of(address))
            .collect();
        let mut covered = std::mem::replace(&mut self.recorded, recorded);
        covered.retain(|id| self.recorded.iter().all(|recorded| recorded.id != id.id));
        let replaces = era::of(stored.revision) == era::of(self.revision);
        self.revision = stored.revision;
        if replaces {
            self.roster.remove_covered(&covered);
        }
        self.roster.merge(&self.recorded, at);
    }

    /// How many servers must accept a new term before one of them may be promoted at it. `None` if
    /// no safe quorum exists (`docs/DESIGN.md`, "Failover").
    ///
    /// An acknowledged commit is on the primary and on `sync_replicas` others. Any quorum
    /// intersects that set, so its most advanced member has the commit; and the remaining servers
    /// are too few for the old primary to have another commit acknowledged.
    pub fn quorum(&self, sync_replicas: usize) -> Option<usize> {
        match sync_replicas {
            0 => None,
            sync if self.roster.len() <= sync => None,
            sync => Some(self.roster.quorum(u32::try_from(sync).ok()?)),
        }
    }

    /// The term and server of the group's record, if the record must be rewritten because it lacks
    /// a voter or names a server that no longer counts.
    pub fn outdated_record(&self, group: &view::Group) -> Option<(u64, SocketAddr)> {
        let record = &group.stored.as_ref()?.record;
        let voters = self.addresses();
        let names_non_voter = !record.members.iter().all(|member| voters.contains(member));
        Some((record.term, record.server?))
            .filter(|_| names_non_voter || self.record_lacks_voter(group))
    }

    /// Whether the record lacks a voter. Until it is rewritten, a proxy that starts after that
    /// voter was removed from the bundle does not know of it.
    pub fn record_lacks_voter(&self, group: &view::Group) -> bool {
        let Some(stored) = group
            .stored
            .as_ref()
            .filter(|stored| !stored.lost_in_restore)
        else {
            return true;
        };
        let recorded = |address: &SocketAddr| stored.record.members.contains(address);
        !self.addresses().iter().all(recorded)
    }

    /// The addresses of all servers that count.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let ids = self.roster.ids();
        let addresses = ids.iter().filter_map(|id| id.id.parse().ok());
        let mut addresses: Vec<SocketAddr> = addresses.collect();
        // The incarnations of a server are adjacent.
        addresses.dedup();
        addresses
    }

    /// Whether a server has restarted with an empty log and has not led since.
    pub fn has_restarted_empty(&self, server: SocketAddr) -> bool {
        let history = self.histories.get(&server);
        history.is_some_and(|history| history.restarted_empty)
    }

    /// The last seen log of each server.
    pub fn histories(&self) -> &Map<SocketAddr, History> {
        &self.histories
    }

    fn update_history(&mut self, address: SocketAddr, status: view::Status) {
        let (log_id, last) = (status.log_id, to_engine(status));
        let first = History {
            incarnation: 0,
            log_id,
            last,
            restarted_empty: false,
        };
        let history = self.histories.entry(address).or_insert(first);
        if log_id != history.log_id || takeover::has_restarted(&history.last, &last) {
            history.incarnation += 1;
            history.restarted_empty = true;
            log::warn!(target: "control", "Server {address} has lost its log: it ends at {}, previously at {}.",
                last.received, history.last.received);
        }
        history.restarted_empty &= last.role == Role::Replica;
        (history.log_id, history.last) = (log_id, last);
    }

    /// The server's current incarnation, by which the roster identifies it.
    fn incarnation_of(&self, address: SocketAddr) -> Incarnation {
        Incarnation {
            id: address.to_string(),
            born: self
                .histories
                .get(&address)
                .map_or(0, |history| history.incarnation),
        }
    }

    fn member(&self, server: &view::Server, group: &view::Group, now: Instant) -> Member {
        let status = server.fresh_status(now, group.status_ttl);
        Member {
            id: self.incarnation_of(server.address),
            address: None,
            leaving: server.leaving,
            retiring_since: None,
            sight: status.map_or(Sight::Unknown, |status| Sight::Answered(to_engine(status))),
            asked: status.map_or(Moment::default(), |status| self.moment(status.read_at)),
            // Each status names its log.
            is_established: true,
        }
    }

    fn moment(&self, at: Instant) -> Moment {
        Moment::from_boot(at.saturating_duration_since(self.origin))
    }
}

/// Whether a server is the primary or has recently heard from it.
fn hears_from_primary(server: &view::Server, group: &view::Group, now: Instant) -> bool {
    let status = server.fresh_status(now, group.status_ttl);
    status.is_some_and(|status| status.silence < group.status_ttl)
}

fn to_engine(status: view::Status) -> Status {
    Status {
        role: engine_role(status.role),
        term: status.term,
        received: status.position,
        held: 0,
    }
}

fn engine_role(role: view::Role) -> Role {
    match role {
        view::Role::Primary => Role::Primary,
        view::Role::Replica => Role::Replica,
    }
}

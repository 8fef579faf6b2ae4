//! The replicated state of a group: each server's role, term, log and table.
//!
//! The primary sends each new entry to its reachable replicas, which receive it immediately and
//! apply it after their lag. A commit is acknowledged once `sync_replicas` replicas have received
//! it, as with PostgreSQL's `synchronous_standby_names = 'ANY 1 (...)'`. A server rejects entries
//! from primaries of a lower term than its own.

mod server;

use std::time::{Duration, Instant};

use dandelionpitch_core::position::Position;

use self::server::Server;

/// Time a primary keeps its role after it first reaches a primary of a higher term.
const STEP_DOWN_DELAY: Duration = Duration::from_secs(1);

/// A write to the ledger table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    Insert { id: String, body: String },
    Update { id: String, body: String },
    Delete { id: String },
}

impl Op {
    /// The id of the affected row.
    pub fn id(&self) -> &str {
        match self {
            Self::Insert { id, .. } | Self::Update { id, .. } | Self::Delete { id } => id,
        }
    }
}

/// One committed transaction in a server's log.
#[derive(Clone, Debug)]
pub struct Entry {
    pub position: Position,
    pub ops: Vec<Op>,
    created_at: Instant,
}

/// The role in which a server acts. A primary that has not learned of its successor still acts as
/// primary, so there can be several.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

impl Role {
    /// The role's name in status rows.
    pub fn name(self) -> &'static str {
        match self {
            Self::Primary => "primary",
            Self::Replica => "replica",
        }
    }
}

/// Reason a write failed; each maps to a PostgreSQL SQLSTATE.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// The server is a replica (SQLSTATE 25006).
    ReadOnly,
    /// The inserted id already exists (SQLSTATE 23505).
    Duplicate(String),
}

/// Replication progress of a commit or of a leadership confirmation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Acknowledged by at least `sync_replicas` replicas.
    Complete,
    /// Not yet acknowledged by `sync_replicas` replicas.
    Pending,
    /// The server is no longer primary in that term, so the operation cannot complete.
    LeadershipLost,
}

/// The status a server reports on `SHOW dandelionpitch.status`.
#[derive(Clone, Debug)]
pub struct Status {
    pub server: usize,
    pub role: Role,
    /// The highest term the server has accepted.
    pub term: u64,
    /// Identifies the server's log; changes when the log is lost.
    pub log_id: u64,
    /// Position of the last applied entry.
    pub position: Position,
    /// Upper bound on the staleness of the server's table.
    pub lag: Duration,
    /// Time since the last contact from a primary; zero on a primary.
    pub since_primary_contact: Duration,
}

/// All servers of one group.
#[derive(Debug)]
pub struct Group {
    servers: Vec<Server>,
    sync_replicas: usize,
}

impl Group {
    /// Creates `count` servers, the first of them primary in term 1. Replicas apply entries after
    /// `lag`; a commit needs `sync_replicas` replicas.
    pub fn new(count: usize, lag: Duration, sync_replicas: usize) -> Self {
        let now = Instant::now();
        let servers = (0..count)
            .map(|index| match index {
                0 => Server::new(Role::Primary, lag, now),
                _ => Server::new(Role::Replica, lag, now),
            })
            .collect();
        Self {
            servers,
            sync_replicas,
        }
    }

    /// Appends `ops` to the log of `server` as one entry. The commit may be acknowledged once
    /// [`Group::commit_progress`] returns [`Progress::Complete`].
    pub fn commit(&mut self, server: usize, ops: Vec<Op>) -> Result<Position, WriteError> {
        let target = &mut self.servers[server];
        if target.role != Role::Primary {
            return Err(WriteError::ReadOnly);
        }
        for op in &ops {
            if let Op::Insert { id, .. } = op {
                if target.table.contains_key(id) {
                    return Err(WriteError::Duplicate(id.clone()));
                }
            }
        }
        let position = target.append(ops);
        target.apply_all();
        self.replicate_from(server, Instant::now());
        Ok(position)
    }

    /// Replication progress of the entry at `position`, committed on `server`.
    pub fn commit_progress(&mut self, server: usize, position: Position) -> Progress {
        let leader = &self.servers[server];
        if leader.role != Role::Primary || leader.term != position.term {
            return Progress::LeadershipLost;
        }
        let receivers = (0..self.servers.len())
            .filter(|&index| index != server && self.servers[index].has_entry(position))
            .count();
        match receivers >= self.sync_replicas {
            true => Progress::Complete,
            false => Progress::Pending,
        }
    }

    /// Whether `server` is currently primary, confirmed by `sync_replicas` replicas that accept its
    /// term.
    pub fn confirm_leadership(&mut self, server: usize) -> Progress {
        if self.servers[server].role != Role::Primary {
            return Progress::LeadershipLost;
        }
        match self.replicate_from(server, Instant::now()) >= self.sync_replicas {
            true => Progress::Complete,
            false => Progress::Pending,
        }
    }

    /// The row of `server`'s table with `id`, or all rows.
    pub fn select(&self, server: usize, id: Option<&str>) -> Vec<(String, String)> {
        let table = &self.servers[server].table;
        match id {
            Some(id) => table
                .get_key_value(id)
                .map(|(k, v)| (k.clone(), v.clone()))
                .into_iter()
                .collect(),
            None => table.iter().map(|(k, v)| (k.clone(), v.clone())).collect(),
        }
    }

    pub fn log(&self, server: usize) -> &[Entry] {
        &self.servers[server].log
    }

    pub fn status(&self, server: usize, now: Instant) -> Status {
        let this = &self.servers[server];
        let since_primary_contact = match this.role {
            Role::Primary => Duration::ZERO,
            Role::Replica => now.duration_since(this.primary_contact_at),
        };
        let oldest_pending_age = this
            .log
            .get(this.applied)
            .map_or(Duration::ZERO, |entry| now.duration_since(entry.created_at));
        Status {
            server,
            role: this.role,
            term: this.term,
            log_id: this.log_id,
            position: this.applied_position(),
            lag: since_primary_contact.max(oldest_pending_age),
            since_primary_contact,
        }
    }

    /// Raises the term of `server` to `term`: it rejects entries from primaries of lower terms, and
    /// steps down if it is primary. Returns the last received position.
    pub fn fence(&mut self, server: usize, term: u64) -> Result<Position, String> {
        let target = &mut self.servers[server];
        if term < target.term || (term == target.term && target.role == Role::Primary) {
            return Err(format!("term {term} is not above {}", target.term));
        }
        target.term = term;
        target.step_down();
        Ok(target.received_position())
    }

    /// Makes `server` primary in `term` with the entries it has received. Returns its position, or
    /// an error if its term is higher or it is already primary in another term.
    pub fn promote(&mut self, server: usize, term: u64) -> Result<Position, String> {
        let target = &mut self.servers[server];
        if target.role == Role::Primary && target.term == term {
            return Ok(target.applied_position());
        }
        if term < target.term || target.role == Role::Primary {
            return Err(format!("term {term} is not above {}", target.term));
        }
        target.term = term;
        target.role = Role::Primary;
        let position = target.append(Vec::new());
        target.apply_all();
        Ok(position)
    }

    pub fn set_lag(&mut self, server: usize, lag: Duration) {
        self.servers[server].lag = lag;
    }

    /// Stops or starts `server`. It restarts with its log, and as a replica if another server has a
    /// higher term.
    pub fn set_running(&mut self, server: usize, running: bool) {
        let highest_term = self.servers.iter().map(|other| other.term).max();
        let target = &mut self.servers[server];
        target.running = running;
        if running && highest_term.is_some_and(|highest_term| highest_term > target.term) {
            target.step_down();
        }
    }

    /// Resets `server` to a replica in term 1 whose log has only the initial entry.
    pub fn wipe(&mut self, server: usize) {
        let target = &mut self.servers[server];
        *target = Server {
            running: target.running,
            isolated: target.isolated,
            log_id: target.log_id + 1,
            ..Server::new(Role::Replica, target.lag, Instant::now())
        };
    }

    /// Freezes or thaws `server`. A frozen server neither answers nor replicates.
    pub fn set_frozen(&mut self, server: usize, frozen: bool) {
        self.servers[server].frozen = frozen;
    }

    pub fn is_frozen(&self, server: usize) -> bool {
        self.servers[server].frozen
    }

    /// Partitions `server` from the other servers, or ends that partition.
    pub fn set_isolated(&mut self, server: usize, isolated: bool) {
        self.servers[server].isolated = isolated;
    }

    /// Replicates from every primary, and applies on every server the entries older than its lag.
    pub fn replicate(&mut self, now: Instant) {
        for leader in 0..self.servers.len() {
            if self.servers[leader].role == Role::Primary && self.servers[leader].running {
                self.replicate_from(leader, now);
            }
        }
        for server in self.servers.iter_mut().filter(|s| s.running && !s.frozen) {
            while server
                .log
                .get(server.applied)
                .is_some_and(|entry| entry.created_at + server.lag <= now)
            {
                server.apply_next();
            }
        }
    }

    /// Copies `leader`'s log to every reachable server that accepts its term, and returns the
    /// number of these servers. Steps `leader` down if it has been superseded for
    /// [`STEP_DOWN_DELAY`].
    fn replicate_from(&mut self, leader: usize, now: Instant) -> usize {
        if !self.servers[leader].is_reachable() {
            return 0;
        }
        let log = std::mem::take(&mut self.servers[leader].log);
        let term = self.servers[leader].term;
        let mut accepted = 0;
        let mut superseded = false;
        for (index, server) in self.servers.iter_mut().enumerate() {
            if index == leader || !server.is_reachable() {
                continue;
            }
            if server.term > term {
                superseded |= server.role == Role::Primary;
                continue;
            }
            if server.role == Role::Primary {
                continue;
            }
            let common_len = server.common_prefix_len(&log);
            server.truncate_log(common_len);
            server.log.extend_from_slice(&log[common_len..]);
            server.term = term;
            server.primary_contact_at = now;
            accepted += 1;
        }
        let this = &mut self.servers[leader];
        this.log = log;
        match (superseded, this.superseded_at) {
            (true, None) => this.superseded_at = Some(now),
            (true, Some(since)) if now.duration_since(since) >= STEP_DOWN_DELAY => this.step_down(),
            _ => {}
        }
        accepted
    }
}

//! The replicated state of a stand-in group: each server's role, term, log and table.
//!
//! The primary hands each new entry to the replicas it reaches, which receive it at once and
//! apply it after their lag. A commit is acknowledged once `sync` replicas have received it,
//! as with PostgreSQL's `synchronous_standby_names = 'ANY 1 (...)'`. A server that holds a
//! term refuses entries of any lower one.

mod server;

use std::time::{Duration, Instant};

use dandelionpitch_core::position::Position;

use self::server::Server;

/// A superseded primary goes on leading until this long after it can reach its successor.
const STEP_DOWN_AFTER: Duration = Duration::from_secs(1);

/// A change of the ledger table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    Insert { id: String, body: String },
    Update { id: String, body: String },
    Delete { id: String },
}

impl Op {
    /// The id of the row this changes.
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
    at: Instant,
}

/// Whether a server believes it leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

impl Role {
    /// The name used in status answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Primary => "primary",
            Self::Replica => "replica",
        }
    }
}

/// Why a write was refused; each maps to a PostgreSQL error code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The server is a replica (SQLSTATE 25006).
    ReadOnly,
    /// An insert of an id that exists (SQLSTATE 23505).
    Duplicate(String),
}

/// How far a commit or a confirmation of leadership has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Enough replicas have it.
    Done,
    /// Not enough replicas have it yet.
    Waiting,
    /// The server no longer leads in that term; it will never be acknowledged.
    Lost,
}

/// The status a server reports on `SHOW dandelionpitch.status`.
#[derive(Clone, Debug)]
pub struct Status {
    pub server: usize,
    pub role: Role,
    /// The highest term the server has accepted.
    pub term: u64,
    /// Which log it has.
    pub log: u64,
    /// The last entry in its table.
    pub position: Position,
    /// At most how old its table is.
    pub lag: Duration,
    /// How long since it last heard from a primary.
    pub silent: Duration,
}

/// All servers of one group, behind one lock.
#[derive(Debug)]
pub struct Group {
    servers: Vec<Server>,
    sync: usize,
}

impl Group {
    /// `count` servers, the first primary at term 1; each replica applies after `lag`, and a
    /// commit needs `sync` replicas.
    pub fn new(count: usize, lag: Duration, sync: usize) -> Self {
        let now = Instant::now();
        let servers = (0..count)
            .map(|index| match index {
                0 => Server::new(Role::Primary, lag, now),
                _ => Server::new(Role::Replica, lag, now),
            })
            .collect();
        Self { servers, sync }
    }

    /// Commits `ops` on `server` as one log entry; [`Group::progress`] tells when it may be
    /// acknowledged.
    pub fn commit(&mut self, server: usize, ops: Vec<Op>) -> Result<Position, Refusal> {
        let target = &mut self.servers[server];
        if target.role != Role::Primary {
            return Err(Refusal::ReadOnly);
        }
        for op in &ops {
            if let Op::Insert { id, .. } = op {
                if target.table.contains_key(id) {
                    return Err(Refusal::Duplicate(id.clone()));
                }
            }
        }
        let position = target.append(ops);
        target.apply_all();
        self.deliver(server, Instant::now());
        Ok(position)
    }

    /// Whether enough replicas hold the entry at `position`, committed on `server`.
    pub fn progress(&mut self, server: usize, position: Position) -> Progress {
        let leader = &self.servers[server];
        if leader.role != Role::Primary || leader.term != position.term {
            return Progress::Lost;
        }
        let holders = (0..self.servers.len())
            .filter(|&index| index != server && self.servers[index].holds(position))
            .count();
        match holders >= self.sync {
            true => Progress::Done,
            false => Progress::Waiting,
        }
    }

    /// Whether `server` leads right now: enough replicas accept it as their primary.
    pub fn confirm(&mut self, server: usize) -> Progress {
        if self.servers[server].role != Role::Primary {
            return Progress::Lost;
        }
        match self.deliver(server, Instant::now()) >= self.sync {
            true => Progress::Done,
            false => Progress::Waiting,
        }
    }

    /// The rows of `server`'s table, all or the one with `id`.
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

    /// The entries in `server`'s log.
    pub fn log(&self, server: usize) -> &[Entry] {
        &self.servers[server].log
    }

    /// The status of `server`.
    pub fn status(&self, server: usize, now: Instant) -> Status {
        let this = &self.servers[server];
        let silent = match this.role {
            Role::Primary => Duration::ZERO,
            Role::Replica => now.duration_since(this.heard_at),
        };
        let waiting = this
            .log
            .get(this.applied)
            .map_or(Duration::ZERO, |entry| now.duration_since(entry.at));
        Status {
            server,
            role: this.role,
            term: this.term,
            log: this.log_number,
            position: this.position(),
            lag: silent.max(waiting),
            silent,
        }
    }

    /// Makes `server` hold `term`: it takes nothing from a primary of a lower term any more,
    /// and steps down if it is one. Returns the last position it has received.
    pub fn fence(&mut self, server: usize, term: u64) -> Result<Position, String> {
        let target = &mut self.servers[server];
        if term < target.term || (term == target.term && target.role == Role::Primary) {
            return Err(format!("term {term} is not above {}", target.term));
        }
        target.term = term;
        target.step_down();
        Ok(target.received())
    }

    /// Makes `server` primary at `term` with what it has received; refused below its term.
    pub fn promote(&mut self, server: usize, term: u64) -> Result<Position, String> {
        let target = &mut self.servers[server];
        if target.role == Role::Primary && target.term == term {
            return Ok(target.position());
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

    /// Sets how late `server` applies what it receives.
    pub fn set_lag(&mut self, server: usize, lag: Duration) {
        self.servers[server].lag = lag;
    }

    /// Stops or starts `server`. It comes back with its log, as a replica if another server
    /// was promoted meanwhile.
    pub fn set_up(&mut self, server: usize, up: bool) {
        let top = self.servers.iter().map(|other| other.term).max();
        let target = &mut self.servers[server];
        target.up = up;
        if up && top.is_some_and(|top| top > target.term) {
            target.step_down();
        }
    }

    /// Leaves `server` with the first entry and nothing else, as a replica of the first term.
    pub fn wipe(&mut self, server: usize) {
        let target = &mut self.servers[server];
        *target = Server {
            up: target.up,
            isolated: target.isolated,
            log_number: target.log_number + 1,
            ..Server::new(Role::Replica, target.lag, Instant::now())
        };
    }

    /// Freezes or thaws `server`: it neither answers nor replicates while frozen.
    pub fn set_frozen(&mut self, server: usize, frozen: bool) {
        self.servers[server].frozen = frozen;
    }

    /// Whether `server` is frozen.
    pub fn frozen(&self, server: usize) -> bool {
        self.servers[server].frozen
    }

    /// Cuts `server` off from the other servers, or joins it again.
    pub fn set_isolated(&mut self, server: usize, isolated: bool) {
        self.servers[server].isolated = isolated;
    }

    /// Lets every primary reach its replicas, and every replica apply what is due.
    pub fn replicate(&mut self, now: Instant) {
        for leader in 0..self.servers.len() {
            if self.servers[leader].role == Role::Primary && self.servers[leader].up {
                self.deliver(leader, now);
            }
        }
        for server in self.servers.iter_mut().filter(|s| s.up && !s.frozen) {
            while server
                .log
                .get(server.applied)
                .is_some_and(|entry| entry.at + server.lag <= now)
            {
                server.apply_next();
            }
        }
    }

    /// Hands `leader`'s log to every server that it reaches and that accepts its term;
    /// returns how many did.
    fn deliver(&mut self, leader: usize, now: Instant) -> usize {
        if !self.servers[leader].reachable() {
            return 0;
        }
        let log = std::mem::take(&mut self.servers[leader].log);
        let term = self.servers[leader].term;
        let mut accepted = 0;
        let mut outranked = false;
        for (index, server) in self.servers.iter_mut().enumerate() {
            if index == leader || !server.reachable() {
                continue;
            }
            if server.term > term {
                outranked |= server.role == Role::Primary;
                continue;
            }
            if server.role == Role::Primary {
                continue;
            }
            let common = server.common(&log);
            server.rewind(common);
            server.log.extend_from_slice(&log[common..]);
            server.term = term;
            server.heard_at = now;
            accepted += 1;
        }
        let this = &mut self.servers[leader];
        this.log = log;
        match (outranked, this.outranked_at) {
            (true, None) => this.outranked_at = Some(now),
            (true, Some(since)) if now.duration_since(since) >= STEP_DOWN_AFTER => this.step_down(),
            _ => {}
        }
        accepted
    }
}

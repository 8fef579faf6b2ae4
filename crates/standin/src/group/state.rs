//! The replicated state of a stand-in group: each server's role, term, log and table, and the
//! asynchronous copying of the primary's log to the replicas after a settable lag.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use dandelionpitch_core::position::Position;

/// A change of the ledger table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    Insert { id: String, body: String },
    Update { id: String, body: String },
    Delete { id: String },
}

/// One committed transaction in a server's log.
#[derive(Clone, Debug)]
struct Entry {
    position: Position,
    ops: Vec<Op>,
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

/// The status a server reports on `SHOW dandelionpitch.status`.
#[derive(Clone, Debug)]
pub struct Status {
    pub server: usize,
    pub role: Role,
    pub position: Position,
    /// How far behind the primary's log this server's table is, zero when caught up.
    pub lag: Duration,
}

#[derive(Debug)]
struct Server {
    role: Role,
    term: u64,
    log: Vec<Entry>,
    table: BTreeMap<String, String>,
    lag: Duration,
}

impl Server {
    fn position(&self) -> Position {
        self.log.last().map_or(
            Position {
                term: self.term,
                lsn: 0,
            },
            |entry| Position {
                term: self.term,
                lsn: entry.position.lsn,
            },
        )
    }

    fn apply(&mut self, entry: Entry) {
        for op in &entry.ops {
            match op {
                Op::Insert { id, body } | Op::Update { id, body } => {
                    self.table.insert(id.clone(), body.clone());
                }
                Op::Delete { id } => {
                    self.table.remove(id);
                }
            }
        }
        self.log.push(entry);
    }
}

/// All servers of one group.
#[derive(Debug)]
pub struct Group {
    servers: Vec<Server>,
}

impl Group {
    /// A group of `count` servers; the first is primary at term 1.
    pub fn new(count: usize, lag: Duration) -> Self {
        let servers = (0..count)
            .map(|index| Server {
                role: match index {
                    0 => Role::Primary,
                    _ => Role::Replica,
                },
                term: 1,
                log: Vec::new(),
                table: BTreeMap::new(),
                lag,
            })
            .collect();
        Self { servers }
    }

    /// Commits `ops` on `server` as one log entry and returns its position.
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
        let position = Position {
            term: target.term,
            lsn: target.position().lsn + 1,
        };
        let at = Instant::now();
        target.apply(Entry { position, ops, at });
        Ok(position)
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

    fn leader(&self) -> Option<usize> {
        (0..self.servers.len())
            .filter(|&index| self.servers[index].role == Role::Primary)
            .max_by_key(|&index| self.servers[index].term)
    }

    /// The status of `server`.
    pub fn status(&self, server: usize, now: Instant) -> Status {
        let this = &self.servers[server];
        let lag = match (this.role, self.leader()) {
            (Role::Replica, Some(leader)) => {
                let applied = this.position().lsn;
                self.servers[leader]
                    .log
                    .iter()
                    .find(|entry| entry.position.lsn > applied)
                    .map_or(Duration::ZERO, |entry| now.duration_since(entry.at))
            }
            _ => Duration::ZERO,
        };
        Status {
            server,
            role: this.role,
            position: this.position(),
            lag,
        }
    }

    /// Makes `server` primary at `term`; refused when `term` is not above its own.
    pub fn promote(&mut self, server: usize, term: u64) -> Result<Position, String> {
        let target = &mut self.servers[server];
        if term <= target.term {
            return Err(format!("term {term} is not above {}", target.term));
        }
        target.role = Role::Primary;
        target.term = term;
        Ok(target.position())
    }

    /// Sets how late `server` applies the primary's log.
    pub fn set_lag(&mut self, server: usize, lag: Duration) {
        self.servers[server].lag = lag;
    }

    /// Copies to each replica the primary's entries that are older than its lag.
    pub fn replicate(&mut self, now: Instant) {
        let Some(leader) = self.leader() else {
            return;
        };
        let term = self.servers[leader].term;
        for index in 0..self.servers.len() {
            if index == leader || self.servers[index].role == Role::Primary {
                continue;
            }
            let applied = self.servers[index].position().lsn;
            let lag = self.servers[index].lag;
            let due: Vec<Entry> = self.servers[leader]
                .log
                .iter()
                .filter(|entry| entry.position.lsn > applied && entry.at + lag <= now)
                .cloned()
                .collect();
            let replica = &mut self.servers[index];
            replica.term = term;
            for entry in due {
                replica.apply(entry);
            }
        }
    }
}

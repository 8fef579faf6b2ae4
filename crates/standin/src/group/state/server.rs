//! One server of a group: its log, its table and its faults.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use dandelionpitch_core::position::Position;

use super::{Entry, Op, Role};

/// State of one server.
#[derive(Debug)]
pub struct Server {
    pub role: Role,
    pub term: u64,
    /// Identifies the log; incremented when the log is wiped.
    pub log_id: u64,
    /// Received entries; the first `applied` of them are in the table.
    pub log: Vec<Entry>,
    pub applied: usize,
    pub table: BTreeMap<String, String>,
    pub lag: Duration,
    pub primary_contact_at: Instant,
    /// When this primary first reached a primary of a higher term.
    pub superseded_at: Option<Instant>,
    pub running: bool,
    pub frozen: bool,
    pub isolated: bool,
}

impl Server {
    /// Creates a server in term 1 whose log has only the initial entry.
    pub fn new(role: Role, lag: Duration, now: Instant) -> Self {
        let first = Entry {
            position: Position { term: 1, lsn: 1 },
            ops: Vec::new(),
            created_at: now,
        };
        Self {
            role,
            term: 1,
            log_id: 0,
            log: vec![first],
            applied: 1,
            table: BTreeMap::new(),
            lag,
            primary_contact_at: now,
            superseded_at: None,
            running: true,
            frozen: false,
            isolated: false,
        }
    }

    /// Position of the last entry in the log.
    pub fn received_position(&self) -> Position {
        self.log
            .last()
            .map_or_else(Position::default, |entry| entry.position)
    }

    /// Position of the last applied entry.
    pub fn applied_position(&self) -> Position {
        match self.applied {
            0 => Position::default(),
            count => self.log[count - 1].position,
        }
    }

    /// Whether the log has the entry at `position`. Log positions start at 1 and have no gaps.
    pub fn has_entry(&self, position: Position) -> bool {
        self.log
            .get(position.lsn as usize - 1)
            .is_some_and(|entry| entry.position == position)
    }

    /// Appends an entry in the server's term and returns its position.
    pub fn append(&mut self, ops: Vec<Op>) -> Position {
        let position = Position {
            term: self.term,
            lsn: self.received_position().lsn + 1,
        };
        let created_at = Instant::now();
        self.log.push(Entry {
            position,
            ops,
            created_at,
        });
        position
    }

    /// Applies all unapplied entries.
    pub fn apply_all(&mut self) {
        while self.applied < self.log.len() {
            self.apply_next();
        }
    }

    /// Applies the first unapplied entry.
    pub fn apply_next(&mut self) {
        for op in &self.log[self.applied].ops {
            match op {
                Op::Insert { id, body } | Op::Update { id, body } => {
                    self.table.insert(id.clone(), body.clone());
                }
                Op::Delete { id } => {
                    self.table.remove(id);
                }
            }
        }
        self.applied += 1;
    }

    /// Truncates the log to its first `keep` entries, and rebuilds the table if any removed entry
    /// was applied.
    pub fn truncate_log(&mut self, keep: usize) {
        self.log.truncate(keep);
        if self.applied > keep {
            self.applied = 0;
            self.table.clear();
            while self.applied < keep {
                self.apply_next();
            }
        }
    }

    /// Number of entries in the common prefix of this log and `other`.
    pub fn common_prefix_len(&self, other: &[Entry]) -> usize {
        let mut count = self.log.len().min(other.len());
        while count > 0 && self.log[count - 1].position != other[count - 1].position {
            count -= 1;
        }
        count
    }

    /// Whether other servers of the group can reach this one.
    pub fn is_reachable(&self) -> bool {
        self.running && !self.frozen && !self.isolated
    }

    /// Becomes a replica.
    pub fn step_down(&mut self) {
        self.role = Role::Replica;
        self.superseded_at = None;
    }
}

//! One server of a stand-in group: its log, its table and its faults.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use dandelionpitch_core::position::Position;

use super::{Entry, Op, Role};

/// One server: what it has received, what of it is applied, and what is done to it.
#[derive(Debug)]
pub struct Server {
    pub role: Role,
    pub term: u64,
    /// Which log it has: another one after it was lost.
    pub log_number: u64,
    /// Everything received; the first `applied` entries are in the table.
    pub log: Vec<Entry>,
    pub applied: usize,
    pub table: BTreeMap<String, String>,
    pub lag: Duration,
    pub heard_at: Instant,
    /// When this primary first reached a server of a later term.
    pub outranked_at: Option<Instant>,
    pub up: bool,
    pub frozen: bool,
    pub isolated: bool,
}

impl Server {
    /// A server that has the first entry and nothing else.
    pub fn new(role: Role, lag: Duration, now: Instant) -> Self {
        let first = Entry {
            position: Position { term: 1, lsn: 1 },
            ops: Vec::new(),
            at: now,
        };
        Self {
            role,
            term: 1,
            log_number: 0,
            log: vec![first],
            applied: 1,
            table: BTreeMap::new(),
            lag,
            heard_at: now,
            outranked_at: None,
            up: true,
            frozen: false,
            isolated: false,
        }
    }

    /// The end of its log.
    pub fn received(&self) -> Position {
        self.log
            .last()
            .map_or_else(Position::default, |entry| entry.position)
    }

    /// The last entry in its table.
    pub fn position(&self) -> Position {
        match self.applied {
            0 => Position::default(),
            count => self.log[count - 1].position,
        }
    }

    /// Whether the entry at `position` is in the log; numbers start at 1 without gaps.
    pub fn holds(&self, position: Position) -> bool {
        self.log
            .get(position.lsn as usize - 1)
            .is_some_and(|entry| entry.position == position)
    }

    /// Adds an entry of its own term.
    pub fn append(&mut self, ops: Vec<Op>) -> Position {
        let position = Position {
            term: self.term,
            lsn: self.received().lsn + 1,
        };
        let at = Instant::now();
        self.log.push(Entry { position, ops, at });
        position
    }

    /// Brings the whole log into the table.
    pub fn apply_all(&mut self) {
        while self.applied < self.log.len() {
            self.apply_next();
        }
    }

    /// Brings the next entry into the table.
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

    /// Drops the entries from `keep` on, and rebuilds the table if any was applied.
    pub fn rewind(&mut self, keep: usize) {
        self.log.truncate(keep);
        if self.applied > keep {
            self.applied = 0;
            self.table.clear();
            while self.applied < keep {
                self.apply_next();
            }
        }
    }

    /// How many leading entries of this log are the same as in `other`.
    pub fn common(&self, other: &[Entry]) -> usize {
        let mut count = self.log.len().min(other.len());
        while count > 0 && self.log[count - 1].position != other[count - 1].position {
            count -= 1;
        }
        count
    }

    /// Whether others can reach it.
    pub fn reachable(&self) -> bool {
        self.up && !self.frozen && !self.isolated
    }

    /// Stops leading.
    pub fn step_down(&mut self) {
        self.role = Role::Replica;
        self.outranked_at = None;
    }
}

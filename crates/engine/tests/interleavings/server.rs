//! A server of the group, as the platform's pages describe it.

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    registry::{Incarnation, Role},
    takeover::Status,
};

/// An entry of a log. Its serial tells entries apart that stand at the same position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    pub serial: usize,
}

impl Entry {
    pub fn position(&self) -> Position {
        Position {
            term: self.term,
            lsn: self.number,
        }
    }
}

/// What a server is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    Status,
    Hold(u64),
    Resume,
    StepDown(u64),
}

/// A commit that waits for a replica, and the proxy that waits for it.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    pub proxy: usize,
    pub entry: Entry,
}

#[derive(Clone, Debug)]
pub struct Server {
    pub id: Incarnation,
    pub role: Role,
    pub term: u64,
    pub log: Vec<Entry>,
    pub held: u64,
    pub up: bool,
    pub leaving: bool,
    /// How often it has started: connections don't outlast it.
    pub life: u64,
    pub waiting: Vec<Waiting>,
    /// Since when it has been in touch with a primary of this later term.
    pub heard: Option<(u64, u64)>,
}

impl Server {
    pub fn new(index: usize, role: Role) -> Self {
        let id = format!("s{index}");
        Self {
            id: Incarnation { id, born: 1 },
            role,
            term: 1,
            log: Vec::new(),
            held: 0,
            up: true,
            leaving: false,
            life: 0,
            waiting: Vec::new(),
            heard: None,
        }
    }

    pub fn leads(&self) -> bool {
        self.up && self.role == Role::Primary
    }

    /// Whether its log has an entry: numbers go up from one.
    pub fn has(&self, entry: &Entry) -> bool {
        let at = entry.number as usize;
        self.log.get(at - 1) == Some(entry)
    }

    pub fn status(&self, by_server: bool) -> Status {
        let last = self.log.last();
        let term = match by_server {
            true => self.term,
            false => last.map_or(1, |entry| entry.term),
        };
        let lsn = last.map_or(0, |entry| entry.number);
        Status {
            role: self.role,
            term: self.term,
            received: Position { term, lsn },
            held: self.held,
        }
    }

    /// Carries an order out.
    pub fn obey(&mut self, order: Order) {
        match order {
            Order::Hold(term) if self.role == Role::Replica && term > self.term => {
                self.held = self.held.max(term);
            }
            Order::StepDown(term) if self.role == Role::Primary && term > self.term => {
                self.step_down();
            }
            Order::Resume => self.held = 0,
            Order::Hold(_) | Order::StepDown(_) | Order::Status => {}
        }
    }

    pub fn step_down(&mut self) {
        self.role = Role::Replica;
        self.waiting.clear();
        self.heard = None;
    }

    /// Starts again, with its log or without; a hold is forgotten either way.
    pub fn start(&mut self, empty: bool) {
        self.up = true;
        self.life += 1;
        self.held = 0;
        self.heard = None;
        self.waiting.clear();
        if empty {
            self.log.clear();
            self.id.born += 1;
        }
    }

    /// Receives what a primary has; a log that was ahead is rolled back.
    pub fn follow(&mut self, primary: &Self) {
        let common = match self.log.last() {
            Some(last) if primary.has(last) => self.log.len(),
            _ => {
                let same = self.log.iter().zip(&primary.log);
                same.take_while(|(own, its)| own == its).count()
            }
        };
        self.log.truncate(common);
        self.log.extend_from_slice(&primary.log[common..]);
        self.term = primary.term;
        self.heard = None;
    }

    /// Takes a commit and returns its entry.
    pub fn commit(&mut self, proxy: usize, serial: usize) -> Entry {
        let entry = Entry {
            term: self.term,
            number: self.log.last().map_or(0, |last| last.number) + 1,
            serial,
        };
        self.log.push(entry);
        self.waiting.push(Waiting { proxy, entry });
        entry
    }
}

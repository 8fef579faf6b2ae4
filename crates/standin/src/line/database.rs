//! The database group: servers with logs, terms, holds and faults.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rocket::serde::json::serde_json::json;

use super::{store::Store, Settings, SERVICE};

/// When the servers' first lives started.
const FIRST_BORN: u64 = 1_700_000_000_000;

/// A committed write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    pub item: String,
    pub data: String,
    /// When the server received it.
    pub received: Instant,
}

/// What an experiment does to a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fault {
    /// It accepts nothing and closes what is open.
    pub dead: bool,
    /// It answers nothing.
    pub silent: bool,
    /// It exchanges nothing with the other servers.
    pub cut: bool,
    /// It receives nothing from its primary.
    pub deaf: bool,
    /// It says that it will stop.
    pub leaving: bool,
    /// Its registration is not there, though it runs.
    pub unlisted: bool,
}

/// One server of the group.
#[derive(Clone, Debug)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    /// When its present life started, in Unix milliseconds.
    pub born: u64,
    pub primary: bool,
    pub term: u64,
    pub held: u64,
    pub log: Vec<Entry>,
    pub connections: usize,
    /// How many connections it turned away because it had too many.
    pub turned_away: usize,
    pub fault: Fault,
}

impl Server {
    /// The end of its log.
    pub fn position(&self) -> (u64, u64) {
        self.log
            .last()
            .map_or((1, 0), |entry| (entry.term, entry.number))
    }

    /// The end of what it has applied.
    pub fn applied(&self, lag: Duration) -> (u64, u64) {
        let applied = self.visible(lag).last();
        applied.map_or((1, 0), |entry| (entry.term, entry.number))
    }

    /// What its reads see: a primary everything, a replica what it received long enough ago.
    pub fn visible(&self, lag: Duration) -> impl Iterator<Item = &Entry> {
        let primary = self.primary;
        let seen = move |entry: &&Entry| primary || entry.received.elapsed() >= lag;
        self.log.iter().take_while(seen)
    }

    fn hears(&self, from: &Self) -> bool {
        let faults = self.fault.dead || self.fault.cut || self.fault.deaf || from.fault.cut;
        !faults && self.term <= from.term && self.held <= from.term
    }
}

/// The servers of the group.
#[derive(Debug)]
pub struct Database {
    pub servers: Vec<Server>,
    pub promotions: u64,
}

impl Database {
    /// A group whose first server leads.
    pub fn new(addresses: &[SocketAddr], _settings: Settings) -> Self {
        let server = |(index, address): (usize, &SocketAddr)| Server {
            id: format!("i-{index}"),
            address: *address,
            born: FIRST_BORN,
            primary: index == 0,
            term: 1,
            held: 0,
            log: Vec::new(),
            connections: 0,
            turned_away: 0,
            fault: Fault::default(),
        };
        Self {
            servers: addresses.iter().enumerate().map(server).collect(),
            promotions: 0,
        }
    }

    /// Writes the servers' entries into the store.
    pub fn register(&self, store: &mut Store) {
        for server in &self.servers {
            let key = format!("servers/{}", server.id);
            if server.fault.dead || server.fault.unlisted {
                store.drop_key(&key);
                continue;
            }
            let role = match server.primary {
                true => "primary",
                false => "replica",
            };
            let state = match server.fault.leaving {
                true => "draining",
                false => "ready",
            };
            let entry = json!({ "service": SERVICE, "addr": server.address, "zone": "dc-1",
                "version": "v1", "slots": 5, "state": state, "cold_left_ms": 0,
                "db_role": role, "seq": 1, "born": server.born });
            store.put(&key, entry.to_string().into_bytes());
        }
    }

    /// Ends the life of a server and starts it again under its id: it holds and knows nothing.
    pub fn restart(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.born += 1;
        server.primary = false;
        server.term = 1;
        server.held = 0;
        server.log.clear();
    }

    /// Appends writes to a primary's log and sends them on; returns the position of the last.
    pub fn append(&mut self, index: usize, writes: &[(String, String)]) -> (u64, u64) {
        let server = &mut self.servers[index];
        for (item, data) in writes {
            let (_, number) = server.position();
            server.log.push(Entry {
                term: server.term,
                number: number + 1,
                item: item.clone(),
                data: data.clone(),
                received: Instant::now(),
            });
        }
        let position = server.position();
        self.replicate();
        position
    }

    /// Sends every primary's log to the servers that hear it.
    pub fn replicate(&mut self) {
        for from in 0..self.servers.len() {
            let primary = self.servers[from].clone();
            if !primary.primary || primary.fault.dead {
                continue;
            }
            for to in (0..self.servers.len()).filter(|to| *to != from) {
                let replica = &mut self.servers[to];
                if !replica.hears(&primary) {
                    continue;
                }
                // A primary of an earlier term that hears a later one becomes its replica.
                if replica.primary && replica.term >= primary.term {
                    continue;
                }
                replica.primary = false;
                replica.term = primary.term;
                follow(replica, &primary);
            }
        }
    }

    /// How many others have a primary's log up to `position`.
    pub fn receivers(&self, index: usize, position: (u64, u64)) -> usize {
        let term = self.servers[index].term;
        let has = |(other, server): &(usize, &Server)| {
            *other != index && server.term == term && server.position() >= position
        };
        self.servers.iter().enumerate().filter(has).count()
    }

    /// Makes a server the primary of the next term, with what it has received and nothing more.
    pub fn promote(&mut self, index: usize) {
        let term = self
            .servers
            .iter()
            .map(|server| server.term)
            .max()
            .unwrap_or(0)
            + 1;
        // A replica held above the new term does not hear of it: it stays held.
        for server in self.servers.iter_mut().filter(|server| server.held <= term) {
            server.held = 0;
        }
        let server = &mut self.servers[index];
        server.primary = true;
        server.term = term;
        self.promotions += 1;
        self.replicate();
    }
}

/// Makes a replica's log that of its primary, keeping when it received what it already had.
fn follow(replica: &mut Server, primary: &Server) {
    let same = replica
        .log
        .iter()
        .zip(&primary.log)
        .take_while(|(a, b)| (a.term, a.number) == (b.term, b.number))
        .count();
    replica.log.truncate(same);
    for entry in &primary.log[same..] {
        let received = Instant::now();
        replica.log.push(Entry {
            received,
            ..entry.clone()
        });
    }
}

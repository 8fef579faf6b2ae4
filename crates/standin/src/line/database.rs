//! The database group: servers with logs, terms, holds and faults.

use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use rocket::serde::json::serde_json::json;

use super::{store::Store, Settings, SERVICE};

/// When the servers' first lives started.
const FIRST_BORN: u64 = 1_700_000_000_000;

/// A crowded server answers one in so many orders and statements, and the others with `BUSY`. Few orders get
/// through, so that a promoter that asks now and then hears nothing for a second while callers, who
/// ask all the time, are served.
const CROWDED_ORDERS: usize = 16;
const CROWDED_STATEMENTS: usize = 4;

/// A committed write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    pub item: String,
    pub data: String,
    /// When the server received it.
    pub received: Instant,
    /// The server has applied it however short a time ago that was: it has led with it.
    led: bool,
}

/// What an experiment does to a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fault {
    /// It accepts nothing and closes what is open.
    pub dead: bool,
    /// It answers nothing.
    pub silent: bool,
    /// As `dead`, but its registration stays, and it comes back with its log, knowing of no hold.
    pub crashed: bool,
    /// It exchanges nothing with the other servers.
    pub cut: bool,
    /// It exchanges nothing with this one.
    pub cut_from: Option<usize>,
    /// It receives nothing from its primary.
    pub deaf: bool,
    /// It says that it will stop.
    pub leaving: bool,
    /// Its registration is not there, though it runs.
    pub unlisted: bool,
    /// It has no time for any request that takes a slot.
    pub busy: bool,
    /// It has no time for most requests that take a slot.
    pub crowded: bool,
}

/// One server of the group.
#[derive(Clone, Debug)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    /// When its present life started, in Unix milliseconds.
    pub born: u64,
    /// Counts its lives; a connection ends with the life in which it was accepted. Unlike `born` it is
    /// not registered: the platform says nothing of a server that comes back with its log.
    pub life: u64,
    pub primary: bool,
    pub term: u64,
    pub held: u64,
    pub log: Vec<Entry>,
    /// Since when, as a primary, it has reached a primary of a later term.
    outranked: Option<Instant>,
    /// How many orders and statements came that take a slot.
    orders: usize,
    statements: usize,
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

    /// What its reads see: what it has led with, and what it received long enough ago.
    pub fn visible(&self, lag: Duration) -> impl Iterator<Item = &Entry> {
        let seen = move |entry: &&Entry| entry.led || entry.received.elapsed() >= lag;
        self.log.iter().take_while(seen)
    }

    /// Whether it runs.
    pub fn is_up(&self) -> bool {
        !self.fault.dead && !self.fault.crashed
    }

    /// Counts an order; whether there is no time for it.
    pub fn refuses_order(&mut self) -> bool {
        self.orders += 1;
        self.fault.busy || (self.fault.crowded && !self.orders.is_multiple_of(CROWDED_ORDERS))
    }

    /// Counts a statement that takes a slot; whether there is no time for it.
    pub fn refuses_statement(&mut self) -> bool {
        self.statements += 1;
        let crowded = self.fault.crowded && !self.statements.is_multiple_of(CROWDED_STATEMENTS);
        self.fault.busy || crowded
    }

    fn hears(&self, from: &Self) -> bool {
        let faults = !self.is_up() || self.fault.cut || self.fault.deaf || from.fault.cut;
        !faults && self.term <= from.term && self.held <= from.term
    }

    /// Begins another life in which it knows of no hold.
    fn begin_life(&mut self) {
        self.life += 1;
        self.held = 0;
        self.outranked = None;
    }
}

/// A promotion that took effect.
#[derive(Clone, Debug)]
pub struct Promotion {
    pub server: usize,
    pub term: u64,
    /// When it took effect.
    pub at: SystemTime,
    /// What the server had received by then.
    pub log: Vec<Entry>,
}

impl Promotion {
    /// When it took effect, in Unix microseconds.
    pub fn at_us(&self) -> u128 {
        let since = self.at.duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_micros())
    }
}

/// The servers of the group.
#[derive(Debug)]
pub struct Database {
    pub servers: Vec<Server>,
    /// Those that took effect, in that order.
    pub promotions: Vec<Promotion>,
    /// For how long the server is crowded that is next called to be promoted.
    pub heir_crowded: Option<Duration>,
    /// How long a primary leads on after it has reached a primary of a later term.
    outranked: Duration,
}

impl Database {
    /// A group whose first server leads.
    pub fn new(addresses: &[SocketAddr], settings: Settings) -> Self {
        let server = |(index, address): (usize, &SocketAddr)| Server {
            id: format!("i-{index}"),
            address: *address,
            born: FIRST_BORN,
            life: 0,
            primary: index == 0,
            term: 1,
            held: 0,
            log: Vec::new(),
            outranked: None,
            orders: 0,
            statements: 0,
            connections: 0,
            turned_away: 0,
            fault: Fault::default(),
        };
        Self {
            servers: addresses.iter().enumerate().map(server).collect(),
            promotions: Vec::new(),
            heir_crowded: None,
            outranked: settings.outranked,
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
        server.begin_life();
        server.born += 1;
        server.primary = false;
        server.term = 1;
        server.log.clear();
    }

    /// Ends the life of a server and starts it again with its log: as a replica if another was promoted
    /// meanwhile, else as it was.
    pub fn come_back(&mut self, index: usize) {
        let newest = self.promotions.last().map_or(0, |last| last.server);
        let server = &mut self.servers[index];
        server.begin_life();
        server.primary &= newest == index;
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
                led: true,
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
            if !primary.primary || !primary.is_up() {
                continue;
            }
            for to in (0..self.servers.len()).filter(|to| *to != from) {
                let apart = primary.fault.cut_from == Some(to);
                let replica = &mut self.servers[to];
                if apart || replica.fault.cut_from == Some(from) || !replica.hears(&primary) {
                    continue;
                }
                if replica.primary && !yields(replica, &primary, self.outranked) {
                    continue;
                }
                replica.outranked = None;
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

    /// Whether a server is the present primary.
    pub fn leads(&self, index: usize) -> bool {
        let primaries = self.servers.iter().filter(|server| server.primary);
        let term = primaries.map(|server| server.term).max();
        let server = &self.servers[index];
        server.primary && Some(server.term) == term
    }

    /// Makes a server the primary of the next term, with what it has received and nothing more. Nothing
    /// changes if it leads already, or does not run.
    pub fn promote(&mut self, index: usize) {
        if self.leads(index) || !self.servers[index].is_up() {
            return;
        }
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
        server.log.iter_mut().for_each(|entry| entry.led = true);
        self.promotions.push(Promotion {
            server: index,
            term,
            at: SystemTime::now(),
            log: server.log.clone(),
        });
        self.replicate();
    }
}

/// Whether a primary of an earlier term that reaches a later one becomes its replica by now.
fn yields(earlier: &mut Server, later: &Server, after: Duration) -> bool {
    let outranked = earlier.term < later.term;
    outranked && earlier.outranked.get_or_insert_with(Instant::now).elapsed() >= after
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
            led: false,
            ..entry.clone()
        });
    }
}

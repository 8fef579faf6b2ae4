//! The database group: servers with logs, terms and faults.

use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use rocket::serde::json::serde_json::json;

use super::{store::Store, Settings, SERVICE};

/// Start time of every server's first incarnation.
const INITIAL_START_MS: u64 = 1_700_000_000_000;

/// An overloaded server runs one in this many control commands and statements, and rejects the
/// others with `BUSY`. The ratio for control commands is higher, so that the failover leader, which
/// polls rarely, gets no status for a second, while callers, which retry constantly, are still
/// served.
const OVERLOADED_COMMAND_RATIO: usize = 16;
const OVERLOADED_STATEMENT_RATIO: usize = 4;

/// A write in a server's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    pub item: String,
    pub data: String,
    /// When this server received the entry.
    pub received_at: Instant,
    /// Whether the entry is visible without waiting for the replication lag, because this server
    /// wrote it or was promoted with it.
    applied_at_once: bool,
}

/// Faults of one server, set by tests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fault {
    /// Closes all connections and has no registration in the store.
    pub stopped: bool,
    /// Reads requests but does not answer them.
    pub unresponsive: bool,
    /// As `stopped`, but keeps its registration. When cleared, the server restarts with its log and
    /// without its pause term.
    pub crashed: bool,
    /// Cannot replicate to or from any other server.
    pub partitioned: bool,
    /// Cannot replicate to or from this other server.
    pub partitioned_from: Option<usize>,
    /// Receives no entries from other servers.
    pub ignores_replication: bool,
    /// Registers as `draining`.
    pub draining: bool,
    /// Runs, but has no registration in the store.
    pub unregistered: bool,
    /// Does not write its registration, so that after a restart that of its earlier incarnation remains.
    pub registers_late: bool,
    /// Rejects all control commands, reads, writes and commits.
    pub busy: bool,
    /// Rejects most control commands, reads, writes and commits.
    pub overloaded: bool,
}

/// One server of the group.
#[derive(Clone, Debug)]
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    /// When the server last started without its log, in Unix milliseconds.
    pub started_at_ms: u64,
    /// Incremented at every restart; a connection ends with the incarnation that accepted it.
    /// Unlike `started_at_ms` it is not registered, as the platform does not publish restarts with
    /// the log kept.
    pub incarnation: u64,
    pub primary: bool,
    pub term: u64,
    /// Term of the last `PAUSE`: primaries of lower terms are rejected. 0 if not paused.
    pub pause_term: u64,
    pub log: Vec<Entry>,
    /// When this primary first reached a primary of a higher term.
    superseded_since: Option<Instant>,
    /// Number of control commands and of reads, writes and commits, including rejected ones.
    commands: usize,
    statements: usize,
    pub connections: usize,
    /// Number of connections rejected because of `max_connections`.
    pub rejected_connections: usize,
    pub fault: Fault,
}

impl Server {
    /// Position (term and number) of the last entry in the log.
    pub fn position(&self) -> (u64, u64) {
        self.log
            .last()
            .map_or((1, 0), |entry| (entry.term, entry.number))
    }

    /// Position of the last applied entry.
    pub fn applied_position(&self, lag: Duration) -> (u64, u64) {
        let applied = self.visible_entries(lag).last();
        applied.map_or((1, 0), |entry| (entry.term, entry.number))
    }

    /// The applied entries, which reads can see: those applied at once and those received at least
    /// `lag` ago.
    pub fn visible_entries(&self, lag: Duration) -> impl Iterator<Item = &Entry> {
        let is_visible =
            move |entry: &&Entry| entry.applied_at_once || entry.received_at.elapsed() >= lag;
        self.log.iter().take_while(is_visible)
    }

    pub fn is_up(&self) -> bool {
        !self.fault.stopped && !self.fault.crashed
    }

    /// Counts a control command and returns whether a fault rejects it.
    pub fn rejects_command(&mut self) -> bool {
        self.commands += 1;
        self.fault.busy
            || (self.fault.overloaded && !self.commands.is_multiple_of(OVERLOADED_COMMAND_RATIO))
    }

    /// Counts a read, write or commit and returns whether a fault rejects it.
    pub fn rejects_statement(&mut self) -> bool {
        self.statements += 1;
        let overloaded =
            self.fault.overloaded && !self.statements.is_multiple_of(OVERLOADED_STATEMENT_RATIO);
        self.fault.busy || overloaded
    }

    /// Whether this server accepts entries from `primary`.
    fn accepts_from(&self, primary: &Self) -> bool {
        let blocked = !self.is_up()
            || self.fault.partitioned
            || self.fault.ignores_replication
            || primary.fault.partitioned;
        !blocked && self.term <= primary.term && self.pause_term <= primary.term
    }

    /// Starts the next incarnation, in which the server is not paused.
    fn begin_incarnation(&mut self) {
        self.incarnation += 1;
        self.pause_term = 0;
        self.superseded_since = None;
    }
}

/// A completed promotion.
#[derive(Clone, Debug)]
pub struct Promotion {
    pub server: usize,
    pub term: u64,
    /// When the server became primary.
    pub at: SystemTime,
    /// The server's log at that time.
    pub log: Vec<Entry>,
}

impl Promotion {
    /// Time of the promotion in Unix microseconds.
    pub fn at_us(&self) -> u128 {
        let since = self.at.duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_micros())
    }
}

/// The servers of the group.
#[derive(Debug)]
pub struct Database {
    pub servers: Vec<Server>,
    /// Completed promotions in their order.
    pub promotions: Vec<Promotion>,
    /// How long the server in the next call to the promotion API will be overloaded.
    pub next_candidate_overload: Option<Duration>,
    /// Time a primary keeps its role after it first reaches a primary of a higher term.
    step_down_delay: Duration,
}

impl Database {
    /// Creates a group whose first server is primary in term 1.
    pub fn new(addrs: &[SocketAddr], settings: Settings) -> Self {
        let server = |(index, addr): (usize, &SocketAddr)| Server {
            id: format!("i-{index}"),
            addr: *addr,
            started_at_ms: INITIAL_START_MS,
            incarnation: 0,
            primary: index == 0,
            term: 1,
            pause_term: 0,
            log: Vec::new(),
            superseded_since: None,
            commands: 0,
            statements: 0,
            connections: 0,
            rejected_connections: 0,
            fault: Fault::default(),
        };
        Self {
            servers: addrs.iter().enumerate().map(server).collect(),
            promotions: Vec::new(),
            next_candidate_overload: None,
            step_down_delay: settings.step_down_delay,
        }
    }

    /// Writes the servers' registrations to the store.
    pub fn register(&self, store: &mut Store) {
        for server in self
            .servers
            .iter()
            .filter(|server| !server.fault.registers_late)
        {
            let key = format!("servers/{}", server.id);
            if server.fault.stopped || server.fault.unregistered {
                store.delete(&key);
                continue;
            }
            let role = match server.primary {
                true => "primary",
                false => "replica",
            };
            let state = match server.fault.draining {
                true => "draining",
                false => "ready",
            };
            let entry = json!({ "service": SERVICE, "addr": server.addr, "zone": "dc-1",
                "version": "v1", "slots": 5, "state": state, "cold_left_ms": 0,
                "db_role": role, "seq": 1, "born": server.started_at_ms });
            store.put(&key, entry.to_string().into_bytes());
        }
    }

    /// Restarts a server under its id as a replica in term 1, with its log lost.
    pub fn restart_empty(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.begin_incarnation();
        server.started_at_ms += 1;
        server.primary = false;
        server.term = 1;
        server.log.clear();
    }

    /// Restarts a server with its log. A primary restarts as a replica unless the last promotion
    /// was its own or there was none.
    pub fn restart_with_log(&mut self, index: usize) {
        let newest = self.promotions.last().map_or(0, |last| last.server);
        let server = &mut self.servers[index];
        server.begin_incarnation();
        server.primary &= newest == index;
    }

    /// Appends writes to a primary's log and replicates them. Returns the position of the last one.
    pub fn append(&mut self, index: usize, writes: &[(String, String)]) -> (u64, u64) {
        let server = &mut self.servers[index];
        for (item, data) in writes {
            let (_, number) = server.position();
            server.log.push(Entry {
                term: server.term,
                number: number + 1,
                item: item.clone(),
                data: data.clone(),
                received_at: Instant::now(),
                applied_at_once: true,
            });
        }
        let position = server.position();
        self.replicate();
        position
    }

    /// Copies every primary's log to the servers that accept it as their primary.
    pub fn replicate(&mut self) {
        for from in 0..self.servers.len() {
            let primary = self.servers[from].clone();
            if !primary.primary || !primary.is_up() {
                continue;
            }
            for to in (0..self.servers.len()).filter(|to| *to != from) {
                let pair_partitioned = primary.fault.partitioned_from == Some(to);
                let replica = &mut self.servers[to];
                if pair_partitioned
                    || replica.fault.partitioned_from == Some(from)
                    || !replica.accepts_from(&primary)
                {
                    continue;
                }
                if replica.primary && !steps_down(replica, &primary, self.step_down_delay) {
                    continue;
                }
                replica.superseded_since = None;
                replica.primary = false;
                replica.term = primary.term;
                copy_log(replica, &primary);
            }
        }
    }

    /// Number of other servers that have received a primary's log up to `position`.
    pub fn receivers(&self, index: usize, position: (u64, u64)) -> usize {
        let term = self.servers[index].term;
        let has_received = |(other, server): &(usize, &Server)| {
            *other != index && server.term == term && server.position() >= position
        };
        self.servers.iter().enumerate().filter(has_received).count()
    }

    /// Whether a server is the primary with the highest term.
    pub fn is_current_primary(&self, index: usize) -> bool {
        let primaries = self.servers.iter().filter(|server| server.primary);
        let term = primaries.map(|server| server.term).max();
        let server = &self.servers[index];
        server.primary && Some(server.term) == term
    }

    /// Makes a server primary in the next term, with the entries it has received. Does nothing if
    /// it is already the current primary or is not running.
    pub fn promote(&mut self, index: usize) {
        if self.is_current_primary(index) || !self.servers[index].is_up() {
            return;
        }
        let term = self
            .servers
            .iter()
            .map(|server| server.term)
            .max()
            .unwrap_or(0)
            + 1;
        // A replica paused at a higher term rejects the new primary and stays paused.
        for server in self
            .servers
            .iter_mut()
            .filter(|server| server.pause_term <= term)
        {
            server.pause_term = 0;
        }
        let server = &mut self.servers[index];
        server.primary = true;
        server.term = term;
        server
            .log
            .iter_mut()
            .for_each(|entry| entry.applied_at_once = true);
        self.promotions.push(Promotion {
            server: index,
            term,
            at: SystemTime::now(),
            log: server.log.clone(),
        });
        self.replicate();
    }
}

/// Whether `later` has a higher term than the primary `earlier`, which first reached such a primary
/// at least `delay` ago. Records when it first did.
fn steps_down(earlier: &mut Server, later: &Server, delay: Duration) -> bool {
    let superseded = earlier.term < later.term;
    superseded
        && earlier
            .superseded_since
            .get_or_insert_with(Instant::now)
            .elapsed()
            >= delay
}

/// Makes a replica's log equal to that of its primary. Entries already received keep their
/// `received_at`.
fn copy_log(replica: &mut Server, primary: &Server) {
    let common_len = replica
        .log
        .iter()
        .zip(&primary.log)
        .take_while(|(a, b)| (a.term, a.number) == (b.term, b.number))
        .count();
    replica.log.truncate(common_len);
    for entry in &primary.log[common_len..] {
        let received_at = Instant::now();
        replica.log.push(Entry {
            received_at,
            applied_at_once: false,
            ..entry.clone()
        });
    }
}

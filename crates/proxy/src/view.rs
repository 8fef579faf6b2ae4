//! The control state as the traffic side sees it: the bundle in force and, per group, each
//! server's pool and last known status.
//!
//! The control thread owns the state and publishes an immutable [`View`] after each change;
//! sessions read the latest one without locks (`docs/DESIGN.md`, "Threads").

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use dandelionpitch_core::{bundle::Bundle, hash::Map, position::Position, primary::Record};
use deadpool_postgres::Pool;
use tokio_util::sync::CancellationToken;

/// A status is trusted for routing this many status periods, so one slow poll does not take
/// a server out of rotation.
const STATUS_TTL_PERIODS: u32 = 3;
/// The least time a status is trusted, whatever the period.
const MIN_STATUS_TTL: Duration = Duration::from_secs(1);
/// How long a server of a group this proxy does not watch is left alone after it did not answer.
const COOLDOWN: Duration = Duration::from_secs(2);

/// How long a status read every `period` is trusted for routing.
pub fn status_ttl(period: Duration) -> Duration {
    (period * STATUS_TTL_PERIODS).max(MIN_STATUS_TTL)
}

/// Whether a server says it leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

/// What a server last reported about itself.
#[derive(Clone, Copy, Debug)]
pub struct Status {
    pub role: Role,
    /// The highest term the server has accepted.
    pub term: u64,
    /// Which log it has: another number once it has lost one, zero if it does not say.
    pub log_id: u64,
    /// The last entry in its table.
    pub position: Position,
    /// At most how old its table was at `read_at`.
    pub lag: Duration,
    /// How long it had not heard from a primary at `read_at`.
    pub silence: Duration,
    /// When the proxy read this.
    pub read_at: Instant,
}

impl Status {
    /// At most how old the server's table is at `now`.
    pub fn age(&self, now: Instant) -> Duration {
        self.lag + now.duration_since(self.read_at)
    }
}

/// The last status of a server, `None` until the first is read and after a read fails.
///
/// The control thread writes it and sessions read it, so new positions and lags need no new
/// [`View`]: at 4,000 groups, publishing one for every status read costs more than the reads.
#[derive(Clone, Debug, Default)]
pub struct StatusCell(Arc<Mutex<Option<Status>>>);

impl StatusCell {
    /// The status, if there is one.
    pub fn get(&self) -> Option<Status> {
        *self.0.lock().unwrap()
    }

    /// Replaces the status; returns the one before.
    pub fn set(&self, status: Option<Status>) -> Option<Status> {
        std::mem::replace(&mut *self.0.lock().unwrap(), status)
    }
}

/// One backend server of a group.
#[derive(Clone, Debug)]
pub struct Server {
    pub address: SocketAddr,
    pub pool: Pool,
    pub status: StatusCell,
    /// Whether it is about to stop or was taken out of the list; it gets no new reads, and a
    /// primary is replaced first.
    pub leaving: bool,
    /// Whether the bundle in force lists it. One that it does not list stays while it counts for
    /// commits (`docs/DESIGN.md`, "Failover").
    pub listed: bool,
    /// Set while it is left alone, in a group that is not watched.
    pub cooldown: Cooldown,
    /// Cancelled when another server has taken over from this one: what is under way here as
    /// on a primary gets its final answer at once.
    pub superseded: CancellationToken,
}

impl Server {
    /// The status, if it was read within `limit` before `now`.
    pub fn fresh_status(&self, now: Instant, limit: Duration) -> Option<Status> {
        self.status
            .get()
            .filter(|status| now.duration_since(status.read_at) <= limit)
    }
}

/// Until when a server that did not answer is left alone; shared by all sessions.
#[derive(Clone, Debug, Default)]
pub struct Cooldown(Arc<Mutex<Option<Instant>>>);

impl Cooldown {
    /// Leaves the server alone for [`COOLDOWN`].
    pub fn start(&self) {
        *self.0.lock().unwrap() = Some(Instant::now() + COOLDOWN);
    }

    /// Whether the server is to be left alone at `now`.
    pub fn is_active(&self, now: Instant) -> bool {
        self.0.lock().unwrap().is_some_and(|until| now < until)
    }
}

/// How often the servers of a group are asked which of them leads.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// The primary that sessions found by asking the servers, in a group this proxy does not watch.
///
/// Failure: the proxy is cut off from the KV while a primary is replaced, and sends writes to
/// the old one until the KV is back. Guard: sessions that get no further ask the servers, a
/// few times a second for all of them together, and the highest term that leads is used.
#[derive(Clone, Debug, Default)]
pub struct Discovery(Arc<Mutex<Search>>);

#[derive(Debug, Default)]
struct Search {
    leader: Option<(SocketAddr, u64)>,
    started_at: Option<Instant>,
}

impl Discovery {
    /// The server that said it leads, and its term.
    pub fn leader(&self) -> Option<(SocketAddr, u64)> {
        self.0.lock().unwrap().leader
    }

    /// Notes that a server says it leads at `term`, unless a later term is known.
    pub fn report(&self, server: SocketAddr, term: u64) {
        let leader = &mut self.0.lock().unwrap().leader;
        if leader.is_none_or(|(_, known)| known < term) {
            *leader = Some((server, term));
        }
    }

    /// Whether it is time to ask the servers; whoever is told so is to ask them.
    pub fn try_begin_search(&self, now: Instant) -> bool {
        let started_at = &mut self.0.lock().unwrap().started_at;
        let due = started_at.is_none_or(|at| now.duration_since(at) >= SEARCH_INTERVAL);
        if due {
            *started_at = Some(now);
        }
        due
    }
}

/// The KV's record of a group's primary, as last seen.
#[derive(Clone, Debug)]
pub struct StoredRecord {
    pub record: Record,
    /// The KV revision that wrote it.
    pub revision: u64,
    pub seen_at: Instant,
    /// The KV came back from a copy of before this record, which is to be written again.
    pub lost_in_restore: bool,
}

impl StoredRecord {
    /// What holds once the KV, in which this record is lost_in_restore, has shown `found`.
    ///
    /// Failure: the copy is from before a promotion; by its record the replaced primary leads, and its term
    /// is given out a second time. Guard: the record of the later term stays and is written again over what
    /// was found.
    pub fn reconcile(&self, found: Self) -> Self {
        let order = |record: &Record| (record.term, record.server.is_some());
        match self.lost_in_restore && order(&self.record) > order(&found.record) {
            true => Self {
                revision: found.revision,
                ..self.clone()
            },
            false => found,
        }
    }
}

/// One database group's servers.
#[derive(Clone, Debug, Default)]
pub struct Group {
    pub servers: Vec<Server>,
    /// How long a server's status is trusted, from [`status_ttl`].
    pub status_ttl: Duration,
    /// How long a claimed term keeps the old primary out of use before a server is promoted.
    /// After it the claimant has failed, and the old primary, if it is there, may serve
    /// again: the servers themselves refuse what a fence forbids.
    pub claim_limit: Duration,
    /// `None` while the KV has no record of this group.
    pub stored: Option<StoredRecord>,
    /// The KV has a record that cannot be read: nobody can be promoted over it.
    pub unreadable: bool,
    /// Whether this proxy reads the servers' status. Otherwise it knows the primary from the
    /// record, and asks a replica for its status along with each read.
    pub watched: bool,
    /// What sessions found out about the primary while it is not watched.
    pub discovery: Discovery,
}

impl Group {
    /// The primary that callers may use. Before the group has a record there is none: a proxy that
    /// starts could not know of a server that was taken out and alone has a commit.
    pub fn primary(&self, now: Instant) -> Option<usize> {
        let recorded = self.stored.is_some() || self.unreadable;
        self.leader(now).filter(|_| recorded)
    }

    /// The server that leads at the highest term among those with a fresh status, unless a
    /// later term has been taken.
    pub fn leader(&self, now: Instant) -> Option<usize> {
        if !self.watched {
            return self.recorded_leader();
        }
        let min_term = self.min_leader_term(now);
        self.fresh_statuses(now)
            .filter(|(_, status)| status.role == Role::Primary && status.term >= min_term)
            .filter(|&(index, status)| self.is_acceptable_leader(index, status.term))
            .max_by_key(|(_, status)| status.term)
            .map(|(index, _)| index)
    }

    /// Whether a server's word is enough that it leads this group at `term`. The address of one
    /// that was taken out may belong to another group by now, so the record has to name it.
    fn is_acceptable_leader(&self, index: usize, term: u64) -> bool {
        let server = &self.servers[index];
        let record = self.stored.as_ref().map(|stored| &stored.record);
        server.listed
            || record
                .is_some_and(|record| record.term == term && record.server == Some(server.address))
    }

    /// The server that leads by the record, or at a later term by its own word.
    fn recorded_leader(&self) -> Option<usize> {
        let record = self.stored.as_ref().map(|stored| &stored.record);
        let recorded = record.and_then(|record| Some((record.server?, record.term)));
        let known = recorded.into_iter().chain(self.discovery.leader());
        let (leader, _) = known.max_by_key(|(_, term)| *term)?;
        self.servers
            .iter()
            .position(|server| server.address == leader)
    }

    /// The servers with a fresh status.
    pub fn fresh_statuses(&self, now: Instant) -> impl Iterator<Item = (usize, Status)> + '_ {
        let read = move |index: usize| {
            let status = self.servers[index].fresh_status(now, self.status_ttl)?;
            Some((index, status))
        };
        (0..self.servers.len()).filter_map(read)
    }

    /// Whether another proxy has taken a term and may still be about to promote at it.
    pub fn claimed(&self, now: Instant) -> bool {
        self.stored.as_ref().is_some_and(|stored| {
            let pending = stored.record.server.is_none();
            pending && now.duration_since(stored.seen_at) <= self.claim_limit
        })
    }

    /// The lowest term a primary may have to be used.
    fn min_leader_term(&self, now: Instant) -> u64 {
        match &self.stored {
            Some(stored) if stored.record.server.is_some() || self.claimed(now) => {
                stored.record.term
            }
            _ => 0,
        }
    }
}

/// The bundle in force and the groups built from it.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub bundle: Option<Arc<Bundle>>,
    /// How many live proxies the KV has told of, this one included.
    pub members: usize,
    pub groups: Map<String, Group>,
}

//! The control state that sessions read: the applied bundle and, per group, each server's pool and
//! last known status.
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

/// A status expires only after several polling periods, so that one slow poll does not take a
/// server out of rotation.
const STATUS_TTL_PERIODS: u32 = 3;
const MIN_STATUS_TTL: Duration = Duration::from_secs(1);
/// How long an unresponsive server gets no reads, in groups that this proxy does not watch.
const COOLDOWN: Duration = Duration::from_secs(2);

/// How long a status is trusted for routing if it is polled every `period`.
pub fn status_ttl(period: Duration) -> Duration {
    (period * STATUS_TTL_PERIODS).max(MIN_STATUS_TTL)
}

/// A server's role as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

/// The status that a server last reported.
#[derive(Clone, Copy, Debug)]
pub struct Status {
    pub role: Role,
    /// The highest term the server has accepted.
    pub term: u64,
    /// Identifies the server's log. Changes when the server loses its log; zero if not reported.
    pub log_id: u64,
    /// The last log position that the server has applied.
    pub position: Position,
    /// An upper bound on the staleness of the server's data at `read_at`.
    pub lag: Duration,
    /// The time since the server last heard from a primary, at `read_at`.
    pub silence: Duration,
    /// When the proxy requested the status.
    pub read_at: Instant,
}

impl Status {
    /// An upper bound on the staleness of the server's data at `now`.
    pub fn age(&self, now: Instant) -> Duration {
        self.lag + now.duration_since(self.read_at)
    }
}

/// What the last read of a server's status showed.
#[derive(Clone, Copy, Debug, Default)]
struct Observation {
    /// `None` before the first successful read and after a failed one.
    status: Option<Status>,
    /// When the last completed read was requested.
    asked_at: Option<Instant>,
}

/// The last status of a server.
///
/// Shared by the control thread, which writes it, and the sessions, so that a status read does not
/// require publishing a new [`View`], which would be expensive with thousands of groups.
#[derive(Clone, Debug, Default)]
pub struct StatusCell(Arc<Mutex<Observation>>);

impl StatusCell {
    /// The last status; `None` before the first successful read and after a failed one.
    pub fn get(&self) -> Option<Status> {
        self.0.lock().unwrap().status
    }

    /// Replaces the status, or clears it if nothing is known any more; returns the previous one.
    pub fn set(&self, status: Option<Status>) -> Option<Status> {
        let asked_at = status.map(|status| status.read_at);
        self.replace(Observation { status, asked_at })
    }

    /// Clears the status after a failed read that was requested at `asked_at`; returns the previous
    /// one.
    pub fn set_failed(&self, asked_at: Instant) -> Option<Status> {
        self.replace(Observation {
            status: None,
            asked_at: Some(asked_at),
        })
    }

    fn replace(&self, observation: Observation) -> Option<Status> {
        std::mem::replace(&mut *self.0.lock().unwrap(), observation).status
    }

    /// Whether a read that was requested after `moment` has completed.
    fn is_newer_than(&self, moment: Instant) -> bool {
        let asked_at = self.0.lock().unwrap().asked_at;
        asked_at.is_some_and(|asked_at| asked_at > moment)
    }
}

/// One backend server of a group.
#[derive(Clone, Debug)]
pub struct Server {
    pub address: SocketAddr,
    pub pool: Pool,
    pub status: StatusCell,
    /// Whether it is about to stop or was removed from the bundle. It gets no new reads, and if it
    /// is the primary, it is replaced before it stops.
    pub leaving: bool,
    /// Whether the applied bundle lists it. An unlisted server remains in the group while it counts
    /// for the promotion quorum (`docs/DESIGN.md`, "Failover").
    pub listed: bool,
    /// Active while the server gets no reads because it did not answer, in groups that are not
    /// watched.
    pub cooldown: Cooldown,
    /// Cancelled when another server replaces this one as primary, so that in-flight statements are
    /// answered at once.
    pub superseded: CancellationToken,
}

impl Server {
    /// The status, if it is not older than `limit` at `now`.
    pub fn fresh_status(&self, now: Instant, limit: Duration) -> Option<Status> {
        self.status
            .get()
            .filter(|status| now.duration_since(status.read_at) <= limit)
    }
}

/// How long a server that did not answer gets no reads; shared by all sessions.
#[derive(Clone, Debug, Default)]
pub struct Cooldown(Arc<Mutex<Option<Instant>>>);

impl Cooldown {
    /// Starts the cooldown.
    pub fn start(&self) {
        *self.0.lock().unwrap() = Some(Instant::now() + COOLDOWN);
    }

    /// Whether the server must not get reads at `now`.
    pub fn is_active(&self, now: Instant) -> bool {
        self.0.lock().unwrap().is_some_and(|until| now < until)
    }
}

/// How often the servers of a group are asked which of them is primary.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// The primary found by asking the servers, in a group that this proxy does not watch.
///
/// While the key-value store (KV) is unreachable, sessions whose writes fail ask the servers for
/// the new primary, at a rate limited for all sessions together.
#[derive(Clone, Debug, Default)]
pub struct Discovery(Arc<Mutex<Search>>);

#[derive(Debug, Default)]
struct Search {
    leader: Option<(SocketAddr, u64)>,
    started_at: Option<Instant>,
}

impl Discovery {
    /// The server that reported itself as primary, and its term.
    pub fn leader(&self) -> Option<(SocketAddr, u64)> {
        self.0.lock().unwrap().leader
    }

    /// Stores a server that reported itself as primary at `term`, unless that term or a later one
    /// is already known.
    pub fn report(&self, server: SocketAddr, term: u64) {
        let leader = &mut self.0.lock().unwrap().leader;
        if leader.is_none_or(|(_, known)| known < term) {
            *leader = Some((server, term));
        }
    }

    /// Whether a search is due. Returns `true` to only one caller per interval, which must then ask
    /// the servers.
    pub fn try_begin_search(&self, now: Instant) -> bool {
        let started_at = &mut self.0.lock().unwrap().started_at;
        let due = started_at.is_none_or(|at| now.duration_since(at) >= SEARCH_INTERVAL);
        if due {
            *started_at = Some(now);
        }
        due
    }
}

/// A group's primary record as last read from the KV.
#[derive(Clone, Debug)]
pub struct StoredRecord {
    pub record: Record,
    /// The KV revision at which it was written, as a stamp (see [`dandelionpitch_core::era`]).
    pub revision: u64,
    pub seen_at: Instant,
    /// Whether the KV was restored from a backup since this record was read. The record is then
    /// rewritten, unless the KV still has it or a later one.
    pub lost_in_restore: bool,
}

impl StoredRecord {
    /// Chooses between this record and `found`, which was read from the KV later.
    ///
    /// A KV restored from a backup taken before a promotion names the replaced primary, and the
    /// promotion's term could be claimed a second time. This record is therefore kept if its term
    /// is later, with the revision of `found`, over which it is rewritten.
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

/// The servers and primary of one database group.
#[derive(Clone, Debug, Default)]
pub struct Group {
    pub servers: Vec<Server>,
    /// How long a server's status is trusted for routing.
    pub status_ttl: Duration,
    /// How long a claimed term without a promoted server excludes the old primary from use. After
    /// that the claimant is presumed to have failed, and the old primary may be used again. This is
    /// safe because fenced servers refuse writes of earlier terms themselves.
    pub claim_limit: Duration,
    /// `None` until a record of this group has been read from the KV.
    pub stored: Option<StoredRecord>,
    /// The KV has a record that cannot be parsed, which prevents any promotion.
    pub unreadable: bool,
    /// Whether this proxy polls the servers' status. If not, it takes the primary from the record,
    /// and requests a replica's status together with each read.
    pub watched: bool,
    /// The primary found by sessions while the group is not watched.
    pub discovery: Discovery,
}

impl Group {
    /// The index of the primary that callers may use. `None` before the group has a record: a proxy
    /// that starts later could not know of a server that alone has a commit and was removed from
    /// the bundle.
    pub fn primary(&self, now: Instant) -> Option<usize> {
        let recorded = self.stored.is_some() || self.unreadable;
        self.leader(now).filter(|_| recorded)
    }

    /// The index of the primary with the highest term, unless a later term is recorded or claimed.
    pub fn leader(&self, now: Instant) -> Option<usize> {
        match self.watched {
            true => self.leader_and_term(now).map(|(index, _)| index),
            false => self.recorded_leader(),
        }
    }

    /// In a watched group, the index and term of the primary among the servers with a fresh status
    /// and the server whose promotion was recorded since it was last asked.
    pub fn leader_and_term(&self, now: Instant) -> Option<(usize, u64)> {
        let min_term = self.min_leader_term(now);
        let reported = self
            .fresh_statuses(now)
            .filter(|(_, status)| status.role == Role::Primary && status.term >= min_term)
            .filter(|&(index, status)| self.is_acceptable_leader(index, status.term))
            .map(|(index, status)| (index, status.term));
        reported
            .chain(self.newly_recorded_leader())
            .max_by_key(|&(_, term)| term)
    }

    /// The server that the record names, if no status read requested since the record was seen has
    /// completed. Waiting for one would prolong each failover, by the timeout of a read if one is
    /// in progress.
    fn newly_recorded_leader(&self) -> Option<(usize, u64)> {
        let stored = self.stored.as_ref()?;
        let server = stored.record.server?;
        let index = self.servers.iter().position(|s| s.address == server)?;
        let is_newer = self.servers[index].status.is_newer_than(stored.seen_at);
        (!is_newer).then_some((index, stored.record.term))
    }

    /// Whether a server that reports itself as primary at `term` is accepted as such. The address
    /// of an unlisted server may have been reused by another group, so the record must name it.
    fn is_acceptable_leader(&self, index: usize, term: u64) -> bool {
        let server = &self.servers[index];
        let record = self.stored.as_ref().map(|stored| &stored.record);
        server.listed
            || record
                .is_some_and(|record| record.term == term && record.server == Some(server.address))
    }

    /// The index of the primary according to the record, or of one found at a later term.
    fn recorded_leader(&self) -> Option<usize> {
        let record = self.stored.as_ref().map(|stored| &stored.record);
        let recorded = record.and_then(|record| Some((record.server?, record.term)));
        let known = recorded.into_iter().chain(self.discovery.leader());
        let (leader, _) = known.max_by_key(|(_, term)| *term)?;
        self.servers
            .iter()
            .position(|server| server.address == leader)
    }

    /// The indexes and statuses of the servers with a fresh status.
    pub fn fresh_statuses(&self, now: Instant) -> impl Iterator<Item = (usize, Status)> + '_ {
        let read = move |index: usize| {
            let status = self.servers[index].fresh_status(now, self.status_ttl)?;
            Some((index, status))
        };
        (0..self.servers.len()).filter_map(read)
    }

    /// Whether a proxy has claimed a term recently and may be about to promote a server at it.
    pub fn is_claimed(&self, now: Instant) -> bool {
        self.stored.as_ref().is_some_and(|stored| {
            let pending = stored.record.server.is_none();
            pending && now.duration_since(stored.seen_at) <= self.claim_limit
        })
    }

    /// The lowest term at which a primary may be used.
    fn min_leader_term(&self, now: Instant) -> u64 {
        match &self.stored {
            Some(stored) if stored.record.server.is_some() || self.is_claimed(now) => {
                stored.record.term
            }
            _ => 0,
        }
    }
}

/// The applied bundle and the groups built from it.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub bundle: Option<Arc<Bundle>>,
    /// The number of live proxies, including this one.
    pub members: usize,
    pub groups: Map<String, Group>,
}

//! The control state as the traffic side sees it: the bundle in force and, per group, each
//! server's pool and last known status.
//!
//! The control thread owns the state and publishes an immutable [`View`] after each change;
//! sessions read the latest one without locks (`docs/DESIGN.md`, "Threads").

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use dandelionpitch_core::{bundle::Bundle, hash::Map, position::Position};
use deadpool_postgres::Pool;

/// A status is trusted for routing this many status periods, so one slow poll does not take
/// a server out of rotation.
const FRESH_PERIODS: u32 = 3;
/// The least time a status is trusted, whatever the period.
const FRESH_MIN: Duration = Duration::from_secs(1);

/// How long a status read every `period` is trusted for routing.
pub fn fresh_for(period: Duration) -> Duration {
    (period * FRESH_PERIODS).max(FRESH_MIN)
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
    pub position: Position,
    /// How far its table is behind the primary's log.
    pub lag: Duration,
    /// When the proxy read this.
    pub read_at: Instant,
}

/// One backend server of a group.
#[derive(Clone, Debug)]
pub struct Server {
    pub address: SocketAddr,
    pub pool: Pool,
    /// `None` until the first status read succeeds, and after a read fails.
    pub status: Option<Status>,
}

impl Server {
    /// The status, if it was read within `limit` before `now`.
    pub fn fresh(&self, now: Instant, limit: Duration) -> Option<Status> {
        self.status
            .filter(|status| now.duration_since(status.read_at) <= limit)
    }
}

/// One database group's servers.
#[derive(Clone, Debug, Default)]
pub struct Group {
    pub servers: Vec<Server>,
    /// How long a server's status is trusted, from [`fresh_for`].
    pub fresh_for: Duration,
}

impl Group {
    /// The server that leads at the highest term among those with a fresh status.
    pub fn primary(&self, now: Instant) -> Option<usize> {
        (0..self.servers.len())
            .filter_map(|index| Some((index, self.servers[index].fresh(now, self.fresh_for)?)))
            .filter(|(_, status)| status.role == Role::Primary)
            .max_by_key(|(_, status)| status.position.term)
            .map(|(index, _)| index)
    }
}

/// The bundle in force and the groups built from it.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub bundle: Option<Arc<Bundle>>,
    pub groups: Map<String, Group>,
}

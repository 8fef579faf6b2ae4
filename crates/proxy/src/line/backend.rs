//! A backend server, or another proxy, as a target of statements: its connection pool, its recent
//! latency and its health.

pub mod connection;
pub mod pool;
pub mod prepared;
pub mod request;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    admission::Mean,
    commit::Standing,
    lag::Lag,
    ownership::Share,
    placement::Candidate,
    registry::{Entry, Server},
    replication::Replica,
    session::Variables,
    slots::{Mode, Purpose},
    takeover::Status,
    time::Moment,
};
use dandelionpitch_platform::{
    backend::{Command, CONNECT_TIMEOUT},
    Error,
};
use tokio::sync::Notify;

use crate::{
    line::{
        backend::{
            pool::Pool,
            request::{Client, Rank, Request},
        },
        clock,
        reachability::{self, FailureSignal},
        restart::Observer,
    },
    metrics::Metrics,
};

/// The assumed latency of a server on which no statement has run yet.
const INITIAL_LATENCY: Duration = Duration::from_millis(30);

/// How long a server is avoided after it failed to answer.
const AVOIDANCE_PERIOD: Duration = Duration::from_millis(700);

/// Timeout of a status request, including the wait for a connection.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for a server's VM to accept a connection; allows two round trips between data centres.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// The same for another proxy's VM. Shorter, as the statement is then forwarded to the next proxy.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(75);

/// How long a VM that accepted a connection counts as reachable.
const PROBE_VALIDITY: Duration = Duration::from_millis(200);

/// The initial and the maximum backoff between probes of a proxy that is down.
const MIN_PROBE_BACKOFF: Duration = Duration::from_millis(250);
const MAX_PROBE_BACKOFF: Duration = Duration::from_millis(1_000);

/// The maximum time without an answer after which a server's VM is probed. It limits the delay that
/// is derived from the server's latency, so that a partition is detected even if the server was slow.
const MAX_PROBE_DELAY: Duration = Duration::from_millis(250);

/// The same for another proxy. Shorter, so that time is left to forward the statement to the next.
const PEER_MAX_PROBE_DELAY: Duration = Duration::from_millis(120);

/// The priority of status requests. Callers' statements wait for their results.
const HIGHEST_PRIORITY: u32 = 0;

/// A backend server or another proxy.
pub struct Backend {
    pub server: Arc<Server>,
    pub pool: Rc<Pool>,
    /// Its registration, and since when it is leaving or missing, if it is.
    entry: RefCell<Entry>,
    /// Whether it is on the list of servers that count for promotions.
    pub is_voter: Cell<bool>,
    observer: Observer,
    latency: Cell<Mean>,
    lag: Cell<Lag>,
    /// How far it has applied the log, if lag is predicted.
    pub replication: Cell<Replica>,
    /// Notifies the reads that wait for a probe of its progress.
    pub probe_ended: Notify,
    avoid_until: Cell<Moment>,
    max_probe_delay: Duration,
    /// Timeout for its VM to accept a connection.
    probe_timeout: Duration,
    /// Whether it is a proxy that failed and is being probed until its VM accepts a connection.
    is_down: Cell<bool>,
    /// When the last successful probe of its VM started.
    last_reached: Cell<Moment>,
    failure_signal: FailureSignal,
}

impl Backend {
    /// Creates a server with a pool of at most `limit` connections.
    pub fn new(
        entry: &Entry,
        limit: Share,
        idle_transactions: Mode,
        observer: Observer,
        failure_signal: FailureSignal,
        metrics: Metrics,
    ) -> Rc<Self> {
        let server = entry.server.clone();
        let pool = Pool::new(server, limit, idle_transactions, CONNECT_TIMEOUT, metrics);
        Self::with_pool(
            entry,
            pool,
            (PROBE_TIMEOUT, MAX_PROBE_DELAY),
            observer,
            failure_signal,
        )
    }

    /// Creates another proxy, to which statements are forwarded over a pool of at most `limit`
    /// connections. The kernel of its VM accepts connections even when the process is busy, so the
    /// short connect timeout detects only an unreachable VM. Idle transactions count there: they are
    /// held back by the owner's limits, and the other proxy runs all connections concurrently.
    pub fn peer(entry: &Entry, limit: usize, metrics: Metrics) -> Rc<Self> {
        let limit = Share::from(limit);
        let server = entry.server.clone();
        let counted = Mode::Counted;
        let pool = Pool::new(server, limit, counted, PEER_CONNECT_TIMEOUT, metrics);
        Self::with_pool(
            entry,
            pool,
            (PEER_CONNECT_TIMEOUT, PEER_MAX_PROBE_DELAY),
            Observer::default(),
            FailureSignal::default(),
        )
    }

    fn with_pool(
        entry: &Entry,
        pool: Rc<Pool>,
        (probe_timeout, max_probe_delay): (Duration, Duration),
        observer: Observer,
        failure_signal: FailureSignal,
    ) -> Rc<Self> {
        Rc::new(Self {
            probe_timeout,
            max_probe_delay,
            server: entry.server.clone(),
            pool,
            is_down: Cell::default(),
            entry: RefCell::new(entry.clone()),
            is_voter: Cell::default(),
            observer,
            latency: Cell::new(Mean::new(INITIAL_LATENCY)),
            lag: Cell::default(),
            replication: Cell::default(),
            probe_ended: Notify::default(),
            avoid_until: Cell::default(),
            last_reached: Cell::default(),
            failure_signal,
        })
    }

    /// Replaces its registration.
    pub fn update_entry(&self, entry: &Entry) {
        *self.entry.borrow_mut() = entry.clone();
    }

    /// Whether it accepts new statements.
    pub fn takes_work(&self, now: Moment) -> bool {
        self.entry.borrow().takes_work(now)
    }

    /// When it stops accepting new statements, if it is leaving.
    pub fn takes_work_until(&self) -> Option<Moment> {
        self.entry.borrow().takes_work_until()
    }

    /// Whether it has announced that it will stop.
    pub fn is_leaving(&self) -> bool {
        self.entry.borrow().leaving_since.is_some()
    }

    /// Whether its registration is missing from the store.
    pub fn is_missing(&self) -> bool {
        self.entry.borrow().missing_since.is_some()
    }

    /// What its copy of a commit is worth, as far as this proxy knows.
    pub fn standing(&self, now: Moment) -> Standing {
        match (
            self.entry.borrow().is_retired(now),
            self.is_voter.get() && !self.is_missing(),
        ) {
            (true, _) => Standing::Retired,
            (false, true) => Standing::Voter,
            (false, false) => Standing::Unlisted,
        }
    }

    /// Adds the duration of a statement to the mean latency.
    pub fn record_latency(&self, elapsed: Duration) {
        let mut latency = self.latency.get();
        latency.record(elapsed);
        self.latency.set(latency);
    }

    /// Records whether it had `position` when a read that requires it was sent at `asked`.
    pub fn note_read(&self, position: Position, asked: Moment, lacked: bool) {
        let mut lag = self.lag.get();
        match lacked {
            true => lag.note_lacking(position, asked),
            false => lag.note_served(position),
        }
        self.lag.set(lag);
    }

    /// Whether it probably lacks `position`.
    pub fn lacks(&self, position: Position, now: Moment) -> bool {
        self.lag.get().lacks(position, now)
    }

    /// Marks that a read probes whether it has caught up.
    pub fn start_probe(&self) {
        self.update_replication(|replica| replica.set_probed(true));
    }

    /// Ends the probe and wakes the reads that wait for it.
    pub fn end_probe(&self) {
        self.update_replication(|replica| replica.set_probed(false));
        self.probe_ended.notify_waiters();
    }

    fn update_replication(&self, update: impl FnOnce(&mut Replica)) {
        let mut replica = self.replication.get();
        update(&mut replica);
        self.replication.set(replica);
    }

    /// The mean latency of recent statements.
    pub fn latency(&self) -> Duration {
        self.latency.get().value()
    }

    /// Whether the server's VM is reachable. Probes it unless a recent probe succeeded.
    ///
    /// An open connection to a VM that lost power or network shows no error before a timeout. A new
    /// one is accepted by the VM's kernel even when the VM is busy, so a failure proves that
    /// waiting for an answer is pointless.
    pub async fn is_reachable(&self) -> bool {
        let asked = clock::now();
        if asked.since(self.last_reached.get()) < PROBE_VALIDITY {
            return true;
        }
        let reached = reachability::can_connect(self.server.address, self.probe_timeout).await;
        match reached {
            true => self.last_reached.set(asked),
            false => self.note_unreachable(),
        }
        reached
    }

    /// The maximum time without an answer after which its VM is probed.
    pub fn max_probe_delay(&self) -> Duration {
        self.max_probe_delay
    }

    /// Whether it is a proxy that failed and whose VM has not accepted a connection since.
    pub fn is_down(&self) -> bool {
        self.is_down.get()
    }

    /// Marks another proxy as down until its VM accepts a connection.
    ///
    /// A single background task probes the VM. If statements did so instead, many of them would wait
    /// for connection attempts that time out while the network is partitioned.
    pub fn mark_down(self: &Rc<Self>) {
        self.avoid();
        if !self.is_down.replace(true) {
            tokio::task::spawn_local(self.clone().probe_until_up());
        }
    }

    /// Probes another proxy's VM without waiting for the result, and marks the proxy as down if the
    /// probe fails.
    pub fn probe_in_background(self: &Rc<Self>) {
        let peer = self.clone();
        tokio::task::spawn_local(async move {
            if !peer.is_down() && !peer.is_reachable().await {
                peer.mark_down();
            }
        });
    }

    async fn probe_until_up(self: Rc<Self>) {
        let mut backoff = MIN_PROBE_BACKOFF;
        while !self.pool.is_closed() {
            if reachability::can_connect(self.server.address, self.probe_timeout).await {
                break;
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_PROBE_BACKOFF);
        }
        // The process may hang although the VM accepts connections, so `avoid_until` still applies.
        self.is_down.set(false);
    }

    /// Avoids the server, as it could not be reached, and requests a check of whether this proxy's
    /// data centre is partitioned.
    pub fn note_unreachable(&self) {
        self.avoid();
        self.failure_signal.notify_one();
    }

    /// Avoids the server for a while, as it did not answer, and closes its idle connections.
    pub fn avoid(&self) {
        self.avoid_until.set(clock::now() + AVOIDANCE_PERIOD);
        self.pool.close_idle();
    }

    /// Whether the server failed recently and should be used only if there is no other.
    pub fn is_avoided(&self, now: Moment) -> bool {
        now < self.avoid_until.get() || self.pool.is_backing_off(now)
    }

    /// The input for ordering servers by expected latency for a statement of `client`. `dc` is this proxy's
    /// data centre.
    pub fn candidate(&self, primary: bool, dc: &str, client: &Client) -> Candidate {
        let opening = match self.pool.lacks_connection(client) {
            true => self.pool.opening_time(),
            false => Duration::ZERO,
        };
        Candidate {
            pending: self.pool.pending(),
            connections: self.pool.limit(),
            latency: self.latency(),
            primary,
            remote: self.server.dc != dc,
            opening,
        }
    }

    /// Whether its first status was certainly from the registered incarnation
    /// ([`Observer::is_established`]).
    pub fn is_established(&self, synced_until: Moment) -> bool {
        self.observer.is_established(synced_until)
    }

    /// Requests the server's status. Returns an error if it does not answer within the status timeout,
    /// or if the status is from another incarnation than the registered one.
    pub async fn status(&self) -> Result<Status, Error> {
        let asked = clock::now();
        let request = async {
            let variables = Variables::default();
            let deadline = clock::now() + STATUS_TIMEOUT;
            let rank = Rank {
                priority: HIGHEST_PRIORITY,
                due: deadline,
            };
            let request = Request {
                client: Client::Proxy,
                purpose: Purpose::Statement,
                rank,
                deadline,
            };
            let acquiring = self.pool.checkout(&variables, request);
            let Ok(mut checkout) = acquiring.await else {
                return Err(Error::Timeout);
            };
            let status = checkout.connection().link.status(Command::Status).await;
            match status {
                // A refusal is a complete answer, so the connection is idle.
                Ok(_) | Err(Error::Refused(_)) => checkout.release(),
                Err(_) => drop(checkout),
            }
            status
        };
        let status = match tokio::time::timeout(STATUS_TIMEOUT, request).await {
            Ok(status) => status,
            Err(_) => Err(Error::Timeout),
        };
        if matches!(status, Err(Error::Timeout)) {
            // Called for its side effects. A reachable server may just be busy and is not avoided.
            self.is_reachable().await;
        }
        let status = self
            .observer
            .check(&self.server.incarnation, status?, asked);
        self.update_replication(|replica| match &status {
            Ok(status) => replica.note_term(status.term, asked),
            Err(_) => replica.forget(),
        });
        status
    }
}

//! One backend server as traffic sees it: its pool, how long it lately took, and whether it is to
//! be left alone for a moment.

pub mod connection;
pub mod pool;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use dandelionpitch_engine::{
    admission::Mean,
    placement::Candidate,
    registry::{Entry, Server},
    restart::Detector,
    session::Variables,
    takeover::Status,
    time::Moment,
};
use dandelionpitch_platform::{
    backend::{Command, CONNECT_TIMEOUT},
    Error,
};

use crate::{
    line::{
        backend::pool::{Pool, Rank, Wish},
        clock,
        reachability::{self, FailureSignal},
        restart,
    },
    metrics::Metrics,
};

/// What a statement is first taken to last on a server.
const FIRST_LATENCY: Duration = Duration::from_millis(30);

/// How long a server gets no reads after it failed to answer one.
const AVOID: Duration = Duration::from_millis(700);

/// How long a server may take to say how it stands.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a VM needs to accept a connection, with two round trips between data centres.
const REACH_TIMEOUT: Duration = Duration::from_millis(150);

/// The same for another proxy: no more than a caller can wait for before its statement goes to the next.
const PEER_REACH_TIMEOUT: Duration = Duration::from_millis(75);

/// How long a VM that accepted a connection counts as there.
const REACH_HOLDS: Duration = Duration::from_millis(200);

/// The first and the longest pause between two looks whether a lost proxy is back.
const LOOK_FIRST: Duration = Duration::from_millis(250);
const LOOK_LAST: Duration = Duration::from_millis(1_000);

/// After how long without an answer a VM is asked whether it is still there, at the latest: a cut of the
/// data centre must be noticed however slow its servers were before.
const MOST_LOOK: Duration = Duration::from_millis(250);

/// The same for another proxy, which leaves time to offer the statement to the next.
const PEER_MOST_LOOK: Duration = Duration::from_millis(120);

/// The priority of the proxy's own questions: they go before all statements, which wait for them.
const MOST_IMPORTANT: u32 = 0;

/// A backend server.
pub struct Backend {
    pub server: Arc<Server>,
    pub pool: Rc<Pool>,
    /// Its registration: whether it leaves, or is missing.
    entry: RefCell<Entry>,
    /// It stands on the list of those that count for a promotion.
    pub counted: Cell<bool>,
    life: Cell<Detector>,
    latency: Cell<Mean>,
    avoid_until: Cell<Moment>,
    most_look: Duration,
    /// How long its VM needs to accept a connection.
    reached_within: Duration,
    /// Its VM is not there, and is looked for.
    lost: Cell<bool>,
    /// When its VM last accepted a connection made to find out whether it is there.
    reached: Cell<Moment>,
    failure_signal: FailureSignal,
}

impl Backend {
    /// A server that nothing is known of yet, with `limit` connections at most.
    pub fn new(
        entry: &Entry,
        limit: usize,
        failure_signal: FailureSignal,
        metrics: Metrics,
    ) -> Rc<Self> {
        let pool = Pool::new(entry.server.clone(), limit, CONNECT_TIMEOUT, metrics);
        Self::with_pool(entry, pool, (REACH_TIMEOUT, MOST_LOOK), failure_signal)
    }

    /// Another proxy, spoken to as a server is. Its VM accepts a connection however busy its process is, so one
    /// that has not by then is not there.
    pub fn peer(entry: &Entry, limit: usize, metrics: Metrics) -> Rc<Self> {
        let pool = Pool::new(entry.server.clone(), limit, PEER_REACH_TIMEOUT, metrics);
        Self::with_pool(
            entry,
            pool,
            (PEER_REACH_TIMEOUT, PEER_MOST_LOOK),
            FailureSignal::default(),
        )
    }

    fn with_pool(
        entry: &Entry,
        pool: Rc<Pool>,
        (reached_within, most_look): (Duration, Duration),
        failure_signal: FailureSignal,
    ) -> Rc<Self> {
        Rc::new(Self {
            reached_within,
            most_look,
            server: entry.server.clone(),
            pool,
            lost: Cell::default(),
            entry: RefCell::new(entry.clone()),
            counted: Cell::default(),
            life: Cell::default(),
            latency: Cell::new(Mean::new(FIRST_LATENCY)),
            avoid_until: Cell::default(),
            reached: Cell::default(),
            failure_signal,
        })
    }

    /// Takes its registration as it now is.
    pub fn registered(&self, entry: &Entry) {
        *self.entry.borrow_mut() = entry.clone();
    }

    /// Whether it may be given new work.
    pub fn takes_work(&self, now: Moment) -> bool {
        self.entry.borrow().takes_work(now)
    }

    /// Until when it may be given new work, if it leaves.
    pub fn takes_work_until(&self) -> Option<Moment> {
        self.entry.borrow().takes_work_until()
    }

    /// Whether it will stop soon.
    pub fn is_leaving(&self) -> bool {
        self.entry.borrow().leaving_since.is_some()
    }

    /// Whether its registration is missing.
    pub fn is_missing(&self) -> bool {
        self.entry.borrow().missing_since.is_some()
    }

    /// Whether it counts for a promotion, as far as this proxy knows.
    pub fn vouches(&self) -> bool {
        self.counted.get() && !self.is_missing()
    }

    /// Notes how long a statement took.
    pub fn took(&self, length: Duration) {
        let mut latency = self.latency.get();
        latency.record(length);
        self.latency.set(latency);
    }

    /// How long statements have lately taken.
    pub fn latency(&self) -> Duration {
        self.latency.get().value()
    }

    /// Whether the server's VM is there, so that waiting for an answer makes sense.
    ///
    /// Failure: a connection to a VM that lost its power or its network stays silent, and
    /// whoever waits on it learns nothing until a timeout. Guard: after a while without an answer
    /// the VM is asked for a new connection, which its kernel accepts however busy it is.
    pub async fn reachable(&self) -> bool {
        let asked = clock::now();
        if asked.since(self.reached.get()) < REACH_HOLDS {
            return true;
        }
        let reached = reachability::can_connect(self.server.address, self.reached_within).await;
        match reached {
            true => self.reached.set(asked),
            false => self.unreachable(),
        }
        reached
    }

    /// After how long without an answer its VM is asked whether it is there, at the latest.
    pub fn most_look(&self) -> Duration {
        self.most_look
    }

    /// Whether its VM is not there, as far as is known.
    pub fn is_lost(&self) -> bool {
        self.lost.get()
    }

    /// Has another proxy that failed left alone until its VM accepts a connection.
    ///
    /// Load pattern: a cut parts half of all proxies from the other half for seconds. If statements found out
    /// again and again whether an owner is back, each of those would wait for a connection that does
    /// not come. Guard: one task looks, and statements go to others meanwhile.
    pub fn lose(self: &Rc<Self>) {
        self.avoid();
        if !self.lost.replace(true) {
            tokio::task::spawn_local(self.clone().look_for());
        }
    }

    /// Finds out whether another proxy is there, without waiting for it.
    pub fn check(self: &Rc<Self>) {
        let peer = self.clone();
        tokio::task::spawn_local(async move {
            if !peer.is_lost() && !peer.reachable().await {
                peer.lose();
            }
        });
    }

    async fn look_for(self: Rc<Self>) {
        let mut pause = LOOK_FIRST;
        while !self.pool.is_closed() {
            if reachability::can_connect(self.server.address, self.reached_within).await {
                break;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LOOK_LAST);
        }
        // Its process may be frozen though its VM accepts connections, so it is avoided for a while longer.
        self.lost.set(false);
    }

    /// Notes that the server could not be reached.
    pub fn unreachable(&self) {
        self.avoid();
        self.failure_signal.notify_one();
    }

    /// Leaves the server alone for a while: it did not answer.
    pub fn avoid(&self) {
        self.avoid_until.set(clock::now() + AVOID);
        self.pool.close_idle();
    }

    /// Whether the server did not answer a moment ago.
    pub fn avoided(&self, now: Moment) -> bool {
        now < self.avoid_until.get() || self.pool.resting(now)
    }

    /// What placement goes by.
    pub fn candidate(&self, primary: bool, dc: &str) -> Candidate {
        Candidate {
            pending: self.pool.pending(),
            connections: self.pool.limit(),
            latency: self.latency(),
            primary,
            remote: self.server.dc != dc,
        }
    }

    /// Asks the server how it stands.
    pub async fn status(&self) -> Result<Status, Error> {
        let asked = clock::now();
        let ask = async {
            let variables = Variables::default();
            let deadline = clock::now() + STATUS_TIMEOUT;
            let rank = Rank {
                priority: MOST_IMPORTANT,
                due: deadline,
            };
            let lent = self.pool.checkout(&variables, Wish { rank, deadline });
            let Ok(mut checkout) = lent.await else {
                return Err(Error::Timeout);
            };
            let status = checkout.connection().link.status(Command::Status).await;
            match status {
                // A refusal is a whole answer, so the connection is at rest.
                Ok(_) | Err(Error::Refused(_)) => checkout.release(),
                Err(_) => drop(checkout),
            }
            status
        };
        let status = match tokio::time::timeout(STATUS_TIMEOUT, ask).await {
            Ok(status) => status,
            Err(_) => Err(Error::Timeout),
        };
        if matches!(status, Err(Error::Timeout)) {
            // Only for what it notes: a server that is there may just be busy.
            self.reachable().await;
        }
        restart::check_status(&self.life, &self.server.incarnation, status?, asked)
    }
}

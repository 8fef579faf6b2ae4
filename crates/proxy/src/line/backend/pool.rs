//! The connections of this proxy to one backend server, lent to one statement or transaction at a
//! time. Whether a statement waits or is refused is decided by [`engine::admission`]; `waiting` carries it out.
//!
//! [`engine::admission`]: dandelionpitch_engine::admission

pub mod checkout;
mod waiting;

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use dandelionpitch_engine::{
    admission::Mean, refusal::Code, registry::Server, session::Variables, time::Moment,
};
use dandelionpitch_platform::{backend::Link, Error};
use tokio::sync::oneshot;

use self::checkout::{Checkout, Place};
use crate::{
    line::{backend::connection::Connection, clock, journal},
    metrics::Metrics,
};

/// How long opening a connection may take. It takes a slot of the server, behind whatever waits there.
const OPEN_TIMEOUT: Duration = Duration::from_millis(800);

/// How long no connection is opened after the server had no room for one more.
const FULL_PAUSE: Duration = Duration::from_millis(500);

/// How long a server is left alone after it could not be reached.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);

/// What a connection is first taken to be held for: one statement of usual length.
const FIRST_HOLD: Duration = Duration::from_millis(30);

/// What decides which of the waiting statements is served next: the more important one, then the
/// one that should be answered first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// 0 is the most important.
    pub priority: u32,
    pub due: Moment,
}

/// What a statement asks of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub rank: Rank,
    /// When it is of no use any more.
    pub deadline: Moment,
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Miss {
    /// It would come too late.
    Refused { retry_after: Duration },
    /// The server cannot be reached, or is not the expected one.
    Unreachable,
    /// The server takes no more connections.
    Full,
}

/// What a waiting statement is given. Both kinds give back what they hold when they are dropped, so
/// a caller that leaves in that instant takes nothing with it.
enum Grant {
    Connection(Checkout),
    Room(Place),
    /// None: it would be of no use any more.
    Refused {
        retry_after: Duration,
    },
}

struct Waiter {
    rank: Rank,
    deadline: Moment,
    grant: oneshot::Sender<Grant>,
}

#[derive(Default)]
struct State {
    idle: Vec<Connection>,
    /// Connections that are open or being opened.
    open: usize,
    waiting: VecDeque<Waiter>,
    /// How many connections were idle all the time since the last [`Pool::shrink`].
    unused: usize,
    /// The server is gone: nothing is lent or kept any more.
    closed: bool,
}

/// The pool of one server.
pub struct Pool {
    server: Arc<Server>,
    metrics: Metrics,
    state: RefCell<State>,
    limit: Cell<usize>,
    /// How long the server's VM may take to accept a connection.
    accepts_within: Duration,
    hold: Cell<Mean>,
    rest_until: Cell<Moment>,
}

impl Pool {
    /// An empty pool that may open `limit` connections to a VM that accepts each `accepts_within`.
    pub fn new(
        server: Arc<Server>,
        limit: usize,
        accepts_within: Duration,
        metrics: Metrics,
    ) -> Rc<Self> {
        Rc::new(Self {
            server,
            metrics,
            state: RefCell::default(),
            limit: Cell::new(limit),
            accepts_within,
            hold: Cell::new(Mean::new(FIRST_HOLD)),
            rest_until: Cell::default(),
        })
    }

    /// Changes how many connections may be open; idle ones above it are closed.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
        let mut state = self.state.borrow_mut();
        while state.open > limit && state.idle.pop().is_some() {
            state.open -= 1;
        }
    }

    /// How many connections may be open.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Statements that have a connection or wait for one.
    pub fn pending(&self) -> usize {
        let state = self.state.borrow();
        state.open - state.idle.len() + state.waiting.len()
    }

    /// Whether the server was unreachable or full a moment ago and nothing is open to it.
    pub fn resting(&self, now: Moment) -> bool {
        now < self.rest_until.get() && self.state.borrow().open == 0
    }

    /// Closes idle connections and refuses all who wait: the server is gone.
    pub fn close(&self) {
        let mut state = self.state.borrow_mut();
        state.closed = true;
        state.open -= state.idle.len();
        state.idle.clear();
        state.waiting.clear();
    }

    /// Whether the server is gone.
    pub fn is_closed(&self) -> bool {
        self.state.borrow().closed
    }

    /// Closes the connections that were idle all the time since the last call, but for `spare`.
    pub fn shrink(&self, spare: usize) {
        let mut state = self.state.borrow_mut();
        let excess = state.unused.min(state.idle.len()).saturating_sub(spare);
        // Those that were used last are taken first, so the others stand in front.
        state.idle.drain(..excess);
        state.open -= excess;
        state.unused = state.idle.len();
    }

    /// How many connections are open or being opened.
    pub fn open_connections(&self) -> usize {
        self.state.borrow().open
    }

    /// Closes the idle connections: they may have gone silent.
    pub fn close_idle(&self) {
        let mut state = self.state.borrow_mut();
        state.open -= state.idle.len();
        state.idle.clear();
    }

    /// Lends a connection, preferring one that already has `values`.
    pub async fn checkout(
        self: &Rc<Self>,
        variables: &Variables,
        request: Request,
    ) -> Result<Checkout, Miss> {
        let left = clock::now().until(request.deadline);
        if let Some(connection) = self.take_idle(variables) {
            return Ok(self.lend(connection));
        }
        if self.may_open() {
            self.state.borrow_mut().open += 1;
            match self.open(Place::new(self.clone()), left).await {
                // No room for one more: those that are open will be free in a moment.
                Err(Miss::Full) if self.state.borrow().open > 0 => {}
                opened => return opened,
            }
        }
        match self.wait(request).await? {
            Grant::Connection(checkout) => Ok(checkout),
            Grant::Room(place) => self.open(place, left).await,
            Grant::Refused { retry_after } => Err(Miss::Refused { retry_after }),
        }
    }

    fn may_open(&self) -> bool {
        let state = self.state.borrow();
        let limit = self.limit.get();
        state.open < limit && !state.closed && clock::now() >= self.rest_until.get()
    }

    fn take_idle(&self, variables: &Variables) -> Option<Box<Connection>> {
        let mut state = self.state.borrow_mut();
        loop {
            let effort = |(index, connection): &(usize, &Connection)| {
                (connection.effort(variables), std::cmp::Reverse(*index))
            };
            let easiest = state.idle.iter().enumerate().min_by_key(effort);
            let Some((index, _)) = easiest else { break };
            let connection = state.idle.remove(index);
            state.unused = state.unused.min(state.idle.len());
            if connection.link.is_idle() {
                return Some(Box::new(connection));
            }
            state.open -= 1;
        }
        None
    }

    fn lend(self: &Rc<Self>, connection: Box<Connection>) -> Checkout {
        Checkout {
            connection: Some(connection),
            pool: self.clone(),
            since: clock::now(),
        }
    }

    /// Opens a connection whose place is already counted.
    async fn open(self: &Rc<Self>, place: Place, left: Duration) -> Result<Checkout, Miss> {
        if self.state.borrow().closed {
            return Err(Miss::Unreachable);
        }
        let server = &self.server;
        let (address, id) = (server.address, server.id());
        let open = Link::open_with_timeout(self.accepts_within, address, &server.service, id);
        let limit = OPEN_TIMEOUT.min(left);
        let (miss, why, pause) = match tokio::time::timeout(limit, open).await {
            Ok(Ok(link)) => {
                place.keep();
                self.metrics.connection(&server.service);
                return Ok(self.lend(Box::new(Connection::new(link))));
            }
            Ok(Err(Error::Refused(refusal))) if refusal.code == Code::TooManyConnections => {
                (Miss::Full, refusal.to_string(), FULL_PAUSE)
            }
            Ok(Err(error)) => (Miss::Unreachable, error.to_string(), UNREACHABLE_PAUSE),
            Err(_) => (
                Miss::Unreachable,
                format!("no connection within {limit:?}"),
                UNREACHABLE_PAUSE,
            ),
        };
        self.rest_until.set(clock::now() + pause);
        journal::write(
            "connect",
            serde_json::json!({ "server": server.id(), "service": server.service,
                "address": server.address.to_string(), "open": self.state.borrow().open, "why": why }),
        );
        Err(miss)
    }

    fn held(&self, since: Moment) {
        let mut hold = self.hold.get();
        hold.record(clock::now().since(since));
        self.hold.set(hold);
    }
}

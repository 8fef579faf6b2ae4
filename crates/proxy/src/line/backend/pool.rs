//! The connection pool of one backend server. A connection is used by one statement or transaction
//! at a time. [`engine::admission`](dandelionpitch_engine::admission) decides whether a statement
//! waits for a connection or is refused; `queue` applies the decision.

pub mod checkout;
mod queue;

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use dandelionpitch_engine::{
    admission::Mean, ownership::Share, refusal::Code, registry::Server, session::Variables,
    time::Moment,
};
use dandelionpitch_platform::{backend::Link, Error as LinkError};
use tokio::sync::oneshot;

use self::checkout::{Checkout, Permit};
use crate::{
    line::{backend::connection::Connection, clock, journal},
    metrics::Metrics,
};

/// Timeout for opening a connection. The server processes the start message like a statement, after
/// those already in its queue.
const OPEN_TIMEOUT: Duration = Duration::from_millis(800);

/// How long no connection is opened after the server refused one because of its connection limit.
const FULL_BACKOFF: Duration = Duration::from_millis(500);

/// How long no connection is opened after the server could not be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(500);

/// The assumed time for opening a connection, before one has been opened.
const INITIAL_OPENING: Duration = Duration::from_millis(15);

/// The assumed time for which a connection is held, before any connection has been returned.
const INITIAL_HOLD: Duration = Duration::from_millis(30);

/// The order in which waiting statements get a connection: by priority, then by due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// 0 is the highest priority.
    pub priority: u32,
    /// When the statement should be answered.
    pub due: Moment,
}

/// For whom a connection is wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Client {
    /// The proxy itself, which may use any connection.
    Proxy,
    /// A client account, or callers without one.
    Account(Option<Arc<str>>),
}

impl Client {
    /// The account that the server is told when a connection is opened.
    fn account(&self) -> Option<Arc<str>> {
        match self {
            Self::Proxy => None,
            Self::Account(account) => account.clone(),
        }
    }
}

/// A request for a connection.
#[derive(Clone, Debug)]
pub struct Request {
    pub client: Client,
    pub rank: Rank,
    /// When the statement times out.
    pub deadline: Moment,
}

/// Why a pool provides no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// Admission control refused the statement; the caller may retry after `retry_after`.
    Refused { retry_after: Duration },
    /// The server cannot be reached, has been removed, or another server has its address.
    Unreachable,
    /// The server's connection limit is reached.
    TooManyConnections,
}

/// What a waiting statement receives. A connection or permit is returned to the pool when dropped, so
/// none is lost if the statement stops waiting while it is being granted.
enum Grant {
    Connection(Checkout),
    Permit(Permit),
    /// The statement cannot finish before its deadline.
    Refused {
        retry_after: Duration,
    },
}

struct Waiter {
    client: Client,
    rank: Rank,
    deadline: Moment,
    grant: oneshot::Sender<Grant>,
}

#[derive(Default)]
struct State {
    /// Those that have been idle the longest come first.
    idle: Vec<Connection>,
    /// The number of connections that are open or being opened.
    open: usize,
    waiting: VecDeque<Waiter>,
    /// The lowest number of idle connections since the last [`Pool::shrink`].
    min_idle: usize,
    /// Whether the server was removed. Connections are then neither provided nor kept.
    closed: bool,
}

impl State {
    /// The number of connections that are in use or being opened.
    fn in_use(&self) -> usize {
        self.open - self.idle.len()
    }

    /// Whether a connection is idle that may be used for `client`.
    fn has_idle(&self, client: &Client) -> bool {
        self.idle.iter().any(|idle| idle.is_usable_by(client))
    }

    /// Closes the connection that has been idle the longest; returns `false` if none is idle.
    fn close_oldest(&mut self) -> bool {
        if self.idle.is_empty() {
            return false;
        }
        self.idle.remove(0);
        self.open -= 1;
        true
    }
}

/// The connection pool of one server.
///
/// A server is told the client account on each connection, so the connections of one account cannot
/// run the statements of another. To reuse connections nevertheless, more may be open than in use.
pub struct Pool {
    server: Arc<Server>,
    metrics: Metrics,
    state: RefCell<State>,
    limit: Cell<Share>,
    /// Timeout for the server's VM to accept a connection.
    connect_timeout: Duration,
    /// The mean time for which a connection is held.
    hold: Cell<Mean>,
    /// The mean time for opening a connection.
    opening: Cell<Mean>,
    /// No connection is opened before this time.
    backoff_until: Cell<Moment>,
}

impl Pool {
    /// Creates an empty pool with this `limit` on its connections. `connect_timeout` is the timeout for
    /// establishing a TCP connection.
    pub fn new(
        server: Arc<Server>,
        limit: Share,
        connect_timeout: Duration,
        metrics: Metrics,
    ) -> Rc<Self> {
        Rc::new(Self {
            server,
            metrics,
            state: RefCell::default(),
            limit: Cell::new(limit),
            connect_timeout,
            hold: Cell::new(Mean::new(INITIAL_HOLD)),
            opening: Cell::new(Mean::new(INITIAL_OPENING)),
            backoff_until: Cell::default(),
        })
    }

    /// Changes the limit on the connections; excess idle connections are closed.
    pub fn set_limit(&self, limit: Share) {
        self.limit.set(limit);
        let mut state = self.state.borrow_mut();
        while state.open > limit.open && state.close_oldest() {}
    }

    /// The maximum number of connections in use.
    pub fn limit(&self) -> usize {
        self.limit.get().in_use
    }

    /// The mean time for opening a connection.
    pub fn opening_time(&self) -> Duration {
        self.opening.get().value()
    }

    /// The mean time for which a connection is held.
    pub fn hold_time(&self) -> Duration {
        self.hold.get().value()
    }

    /// Whether a statement of `client` would need a new connection.
    pub fn lacks_connection(&self, client: &Client) -> bool {
        !self.state.borrow().has_idle(client)
    }

    /// The number of statements that have a connection or wait for one.
    pub fn pending(&self) -> usize {
        let state = self.state.borrow();
        state.in_use() + state.waiting.len()
    }

    /// Whether opening a connection failed recently and no other connection is open.
    pub fn is_backing_off(&self, now: Moment) -> bool {
        now < self.backoff_until.get() && self.state.borrow().open == 0
    }

    /// Closes the pool of a removed server: closes idle connections and fails waiting statements.
    pub fn close(&self) {
        let mut state = self.state.borrow_mut();
        state.closed = true;
        state.open -= state.idle.len();
        state.idle.clear();
        state.waiting.clear();
    }

    /// Whether the pool was closed because its server was removed.
    pub fn is_closed(&self) -> bool {
        self.state.borrow().closed
    }

    /// Closes connections that were not needed since the last call, but keeps `spare` of them.
    pub fn shrink(&self, spare: usize) {
        let mut state = self.state.borrow_mut();
        let excess = state.min_idle.min(state.idle.len()).saturating_sub(spare);
        // Returned connections go to the back, so those at the front have been idle the longest.
        state.idle.drain(..excess);
        state.open -= excess;
        state.min_idle = state.idle.len();
    }

    /// The number of connections that are open or being opened.
    pub fn open_connections(&self) -> usize {
        self.state.borrow().open
    }

    /// Closes the idle connections, for example because the server may have become unreachable.
    pub fn close_idle(&self) {
        let mut state = self.state.borrow_mut();
        state.open -= state.idle.len();
        state.idle.clear();
    }

    /// Returns a connection, preferring an idle one whose variables are closest to `variables`. Opens a
    /// connection or waits for one if none is idle.
    pub async fn checkout(
        self: &Rc<Self>,
        variables: &Variables,
        request: Request,
    ) -> Result<Checkout, Error> {
        let left = clock::now().until(request.deadline);
        let client = request.client.clone();
        if self.may_use_another() {
            if let Some(connection) = self.take_idle(&client, variables) {
                return Ok(self.new_checkout(connection));
            }
        }
        if let Some(permit) = self.permit_to_open() {
            match self.open(permit, client.account(), left).await {
                // The server accepts no more connections: wait for one of the open ones.
                Err(Error::TooManyConnections) if self.state.borrow().open > 0 => {}
                opened => return opened,
            }
        }
        match self.wait(request).await? {
            Grant::Connection(checkout) => Ok(checkout),
            Grant::Permit(permit) => self.open(permit, client.account(), left).await,
            Grant::Refused { retry_after } => Err(Error::Refused { retry_after }),
        }
    }

    /// Whether the limit allows one more connection in use.
    fn may_use_another(&self) -> bool {
        self.state.borrow().in_use() < self.limit.get().in_use
    }

    /// A permit to open a connection, if the limits allow one now. An idle connection of another
    /// account is closed for it if necessary.
    fn permit_to_open(self: &Rc<Self>) -> Option<Permit> {
        if !self.may_use_another() || clock::now() < self.backoff_until.get() {
            return None;
        }
        let mut state = self.state.borrow_mut();
        if state.closed || (state.open >= self.limit.get().open && !state.close_oldest()) {
            return None;
        }
        state.open += 1;
        Some(Permit::new(self.clone()))
    }

    /// Takes the idle connection for `client` with the lowest setup cost, preferring the most recently
    /// used one. Removes connections that are closed or have unread data.
    fn take_idle(&self, client: &Client, variables: &Variables) -> Option<Box<Connection>> {
        let mut state = self.state.borrow_mut();
        loop {
            let setup_cost = |(index, connection): &(usize, &Connection)| {
                (connection.setup_cost(variables), std::cmp::Reverse(*index))
            };
            let usable = state.idle.iter().enumerate();
            let usable = usable.filter(|(_, idle)| idle.is_usable_by(client));
            let cheapest = usable.min_by_key(setup_cost);
            let Some((index, _)) = cheapest else { break };
            let connection = state.idle.remove(index);
            state.min_idle = state.min_idle.min(state.idle.len());
            if connection.link.is_idle() {
                return Some(Box::new(connection));
            }
            state.open -= 1;
        }
        None
    }

    fn new_checkout(self: &Rc<Self>, connection: Box<Connection>) -> Checkout {
        Checkout {
            connection: Some(connection),
            pool: self.clone(),
            checked_out_at: clock::now(),
        }
    }

    /// Opens a connection for `account` with `permit`, within at most `left`.
    async fn open(
        self: &Rc<Self>,
        permit: Permit,
        account: Option<Arc<str>>,
        left: Duration,
    ) -> Result<Checkout, Error> {
        if self.state.borrow().closed {
            return Err(Error::Unreachable);
        }
        let server = &self.server;
        let (address, id) = (server.address, server.id());
        let connect = Link::open_with_timeout(
            self.connect_timeout,
            address,
            &server.service,
            account.as_deref(),
            id,
        );
        let limit = OPEN_TIMEOUT.min(left);
        let started_at = clock::now();
        let (error, why, backoff) = match tokio::time::timeout(limit, connect).await {
            Ok(Ok(link)) => {
                permit.forget();
                let mut opening = self.opening.get();
                opening.record(clock::now().since(started_at));
                self.opening.set(opening);
                self.metrics.connection(&server.service);
                return Ok(self.new_checkout(Box::new(Connection::new(link, account))));
            }
            Ok(Err(LinkError::Refused(refusal))) if refusal.code == Code::TooManyConnections => {
                (Error::TooManyConnections, refusal.to_string(), FULL_BACKOFF)
            }
            Ok(Err(error)) => (Error::Unreachable, error.to_string(), UNREACHABLE_BACKOFF),
            Err(_) => (
                Error::Unreachable,
                format!("no connection within {limit:?}"),
                UNREACHABLE_BACKOFF,
            ),
        };
        self.backoff_until.set(clock::now() + backoff);
        journal::write(
            "connect",
            serde_json::json!({ "server": server.id(), "service": server.service,
                "address": server.address.to_string(), "open": self.state.borrow().open, "why": why }),
        );
        Err(error)
    }

    fn record_hold(&self, checked_out_at: Moment) {
        let mut hold = self.hold.get();
        hold.record(clock::now().since(checked_out_at));
        self.hold.set(hold);
    }
}

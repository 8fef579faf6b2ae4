//! The connection pool of one backend server. A connection is used by one statement or transaction
//! at a time. [`engine::slots`](dandelionpitch_engine::slots) decides whether a statement may start,
//! and [`engine::admission`](dandelionpitch_engine::admission) whether it waits for a connection or is
//! refused; `queue` applies the decisions.

pub mod checkout;
mod opening;
mod queue;

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use dandelionpitch_engine::{
    admission::Mean,
    ownership::Share,
    registry::Server,
    session::Variables,
    slots::{Load, Mode, Opening, Purpose, Slots, Times},
    time::Moment,
};
use tokio::sync::oneshot;

use self::checkout::{Checkout, Permit};
use crate::{
    line::{
        backend::{
            connection::Connection,
            request::{Client, Rank, Request},
        },
        clock,
    },
    metrics::Metrics,
};

/// The assumed time for opening a connection, before one has been opened.
const INITIAL_OPENING: Duration = Duration::from_millis(15);

/// The assumed time for which a connection is held, before any connection has been returned.
const INITIAL_HOLD: Duration = Duration::from_millis(30);

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
    purpose: Purpose,
    rank: Rank,
    deadline: Moment,
    grant: oneshot::Sender<Grant>,
}

#[derive(Default)]
struct State {
    /// Those that have been idle the longest come first.
    idle: Vec<Connection>,
    /// The connections that are checked out or being opened.
    slots: Slots,
    waiting: VecDeque<Waiter>,
    /// The lowest number of idle connections since the last [`Pool::shrink`].
    min_idle: usize,
    /// Whether the server was removed. Connections are then neither provided nor kept.
    closed: bool,
}

impl State {
    /// The number of connections that are open or being opened.
    fn open(&self) -> usize {
        self.slots.held() + self.idle.len()
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
    /// The mean time for which a connection is used; see [`Times::statement`].
    hold: Cell<Mean>,
    /// The mean duration of a transaction.
    transaction: Cell<Mean>,
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
        idle_transactions: Mode,
        connect_timeout: Duration,
        metrics: Metrics,
    ) -> Rc<Self> {
        Rc::new(Self {
            server,
            metrics,
            state: RefCell::new(State {
                slots: Slots::new(idle_transactions),
                ..State::default()
            }),
            limit: Cell::new(limit),
            connect_timeout,
            hold: Cell::new(Mean::new(INITIAL_HOLD)),
            transaction: Cell::new(Mean::new(INITIAL_HOLD)),
            opening: Cell::new(Mean::new(INITIAL_OPENING)),
            backoff_until: Cell::default(),
        })
    }

    /// Changes the limit on the connections; excess idle connections are closed.
    pub fn set_limit(&self, limit: Share) {
        self.limit.set(limit);
        let mut state = self.state.borrow_mut();
        while state.open() > limit.open && state.close_oldest() {}
    }

    /// The maximum number of connections in use; see [`Share::in_use`].
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

    /// The number of statements that use a connection or wait for one.
    pub fn pending(&self) -> usize {
        let state = self.state.borrow();
        state.slots.in_use() + state.waiting.len()
    }

    /// What its connections are used for now.
    pub fn load(&self) -> Load {
        let state = self.state.borrow();
        state.slots.load(state.waiting.len())
    }

    /// Whether opening a connection failed recently and no other connection is open.
    pub fn is_backing_off(&self, now: Moment) -> bool {
        now < self.backoff_until.get() && self.state.borrow().open() == 0
    }

    /// Closes the pool of a removed server: closes idle connections and fails waiting statements.
    pub fn close(&self) {
        let mut state = self.state.borrow_mut();
        state.closed = true;
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
        state.min_idle = state.idle.len();
    }

    /// The number of connections that are open or being opened.
    pub fn open_connections(&self) -> usize {
        self.state.borrow().open()
    }

    /// Closes the idle connections, for example because the server may have become unreachable.
    pub fn close_idle(&self) {
        self.state.borrow_mut().idle.clear();
    }

    /// Returns a connection, preferring an idle one whose variables are closest to `variables`. Opens a
    /// connection or waits for one if none is idle.
    pub async fn checkout(
        self: &Rc<Self>,
        variables: &Variables,
        request: Request,
    ) -> Result<Checkout, Error> {
        let left = clock::now().until(request.deadline);
        let (client, purpose) = (request.client.clone(), request.purpose);
        if self.may_start(purpose) {
            if let Some(connection) = self.take_idle(&client, variables) {
                return Ok(Checkout::new(self.clone(), connection, purpose));
            }
        }
        if let Some(permit) = self.permit_to_open(purpose) {
            match self.open(permit, client.account(), left).await {
                // The server accepts no more connections: wait for one of the open ones.
                Err(Error::TooManyConnections) if self.state.borrow().open() > 0 => {}
                opened => return opened,
            }
        }
        match self.wait(request).await? {
            Grant::Connection(checkout) => Ok(checkout),
            Grant::Permit(permit) => self.open(permit, client.account(), left).await,
            Grant::Refused { retry_after } => Err(Error::Refused { retry_after }),
        }
    }

    /// Whether the limits allow another statement to start.
    fn may_start(&self, purpose: Purpose) -> bool {
        let state = self.state.borrow();
        state.slots.may_start(purpose, self.limit.get())
    }

    fn is_backing_off_now(&self) -> bool {
        clock::now() < self.backoff_until.get()
    }

    /// A permit to open a connection, if a statement may start and the limits allow a connection now.
    fn permit_to_open(self: &Rc<Self>, purpose: Purpose) -> Option<Permit> {
        if !self.may_start(purpose) || self.is_backing_off_now() || self.is_closed() {
            return None;
        }
        self.new_permit(purpose)
    }

    /// A permit to open a connection, if the limits allow one. An idle connection of another account is
    /// closed for it if necessary.
    fn new_permit(self: &Rc<Self>, purpose: Purpose) -> Option<Permit> {
        let mut state = self.state.borrow_mut();
        match state.slots.opening(state.idle.len(), self.limit.get()) {
            Opening::Refused => return None,
            Opening::Replacing => {
                state.close_oldest();
            }
            Opening::Allowed => {}
        }
        drop(state);
        Some(Permit::new(self.clone(), purpose))
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
        }
        None
    }

    fn times(&self) -> Times {
        Times {
            statement: self.hold.get().value(),
            transaction: self.transaction.get().value(),
        }
    }

    /// When a caller may retry a statement that was refused after it waited.
    fn retry_after(&self) -> Duration {
        let slots = self.state.borrow().slots;
        slots.retry_after(self.hold.get().value())
    }
}

/// Adds the time since `since` to a mean.
fn record(mean: &Cell<Mean>, since: Moment) {
    let mut changed = mean.get();
    changed.record(clock::now().since(since));
    mean.set(changed);
}

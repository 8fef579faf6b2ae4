//! One caller connection: routing of its statements, its transaction, and its
//! read-your-writes floor.
//!
//! The floor is the log position the session's reads must see. It comes from the caller's
//! token (startup option or `SET dandelionpitch.position`), grows with each acknowledged
//! write, and, when the caller brings no token, starts as a barrier: the primary's current
//! position, read before the first read (`docs/DESIGN.md`, "Read-your-writes after roaming").

mod answer;
mod connection;
mod refusal;

use std::{
    fmt::Debug,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use async_trait::async_trait;
use dandelionpitch_core::{bundle::Caller, position::Position};
use deadpool_postgres::Pool;
use futures::{Sink, SinkExt};
use pgwire::{
    api::{
        auth::noop::NoopStartupHandler,
        query::SimpleQueryHandler,
        results::{Response, Tag},
        store::PortalStore,
        ClientInfo, ClientPortalStore, PgWireServerHandlers,
    },
    error::{ErrorInfo, PgWireError, PgWireResult},
    messages::{simplequery::Query, startup::ParameterStatus, PgWireBackendMessage},
};
use tokio::sync::{watch, Mutex};
use tokio_util::sync::CancellationToken;

use self::{
    connection::{Along, Checked, Connection, Failure},
    refusal::{Refusal, UNKNOWN_CALLER},
};
use crate::{
    metrics::{Metrics, Target},
    route::{self, Kind, Need, Plan, Value, POSITION_SETTING},
    view::{Group, Role, Server, Status, View},
};

/// How soon a statement for which there was no primary, or no connection to it, or which a
/// superseded one refused, is tried again.
const LOOK_AGAIN: Duration = Duration::from_millis(10);

/// What the daemon shares with every session.
#[derive(Debug)]
pub struct Shared {
    pub view: watch::Receiver<Arc<View>>,
    pub metrics: Metrics,
    /// How long a statement may wait for a primary or a free backend connection.
    pub patience: Duration,
    /// How long a server may take to give its status along with a read.
    pub check_limit: Duration,
}

/// The session's transaction.
#[derive(Debug, Default)]
enum Transaction {
    #[default]
    None,
    /// Open on this connection.
    Open(Box<Pinned>),
    /// Failed; the caller has yet to end it.
    ///
    /// Failure: a transaction's server dies, the caller goes on with the next statement, and
    /// it is run and kept by itself on another server. Guard: until the caller ends the
    /// transaction, every statement is refused.
    Aborted,
}

/// The connection of an open transaction; closed, not shared, if the session ends first.
#[derive(Debug)]
struct Pinned(Connection);

impl Drop for Pinned {
    fn drop(&mut self) {
        self.0.close();
    }
}

impl Pinned {
    /// Hands the connection back to its pool; the transaction is over.
    async fn release(mut self, deadline: Instant) {
        let connection = std::mem::replace(&mut self.0, Connection::spent());
        connection.finish(deadline).await;
    }
}

#[derive(Debug, Default)]
struct State {
    caller: Option<Caller>,
    floor: Option<Position>,
    transaction: Transaction,
    /// What the session has set, in the order it did.
    values: Arc<Vec<Value>>,
}

impl State {
    /// Notes what a query string that succeeded has set.
    fn keep(&mut self, set: &[Value]) {
        if set.is_empty() {
            return;
        }
        let values = Arc::make_mut(&mut self.values);
        values.retain(|old| set.iter().all(|new| new.name != old.name));
        values.extend_from_slice(set);
    }
}

/// One query string on its way, with the time by which it is answered.
#[derive(Clone, Copy, Debug)]
struct Call<'a> {
    query: &'a str,
    plan: &'a Plan,
    caller: &'a Caller,
    values: &'a [Value],
    deadline: Instant,
}

/// The handler of one caller connection.
#[derive(Debug)]
pub struct Session {
    shared: Arc<Shared>,
    state: Mutex<State>,
    /// Set from a query's arrival until its whole answer has been handed to the socket.
    answering: AtomicBool,
}

type Answer = Result<Vec<Response>, Refusal>;

impl Session {
    /// A session for a new caller connection.
    pub fn new(shared: Arc<Shared>) -> Arc<Self> {
        Arc::new(Self {
            shared,
            state: Mutex::new(State::default()),
            answering: AtomicBool::new(false),
        })
    }

    /// Whether the connection can be closed without cutting off a request or a transaction.
    pub fn at_rest(&self) -> bool {
        let state = self.state.try_lock();
        let none = state.is_ok_and(|state| matches!(state.transaction, Transaction::None));
        none && !self.answering.load(Ordering::SeqCst)
    }

    async fn run(&self, query: &str, plan: &Plan) -> Answer {
        let mut state = self.state.lock().await;
        let caller = state
            .caller
            .clone()
            .ok_or_else(|| Refusal::NotRun("no caller".to_owned()))?;
        let values = state.values.clone();
        let call = Call {
            query,
            plan,
            caller: &caller,
            values: &values,
            deadline: Instant::now() + caller.timeout,
        };
        match std::mem::take(&mut state.transaction) {
            Transaction::None => self.outside(&mut state, call).await,
            Transaction::Open(pinned) => self.inside(&mut state, pinned, call).await,
            Transaction::Aborted => aborted(&mut state, &plan.kind),
        }
    }

    /// Runs a query string that comes outside a transaction.
    async fn outside(&self, state: &mut State, call: Call<'_>) -> Answer {
        match &call.plan.kind {
            Kind::ShowPosition => Ok(vec![answer::position_rows(state.floor)]),
            Kind::SetPosition(token) => set_position(state, token),
            Kind::Discard => {
                state.values = Arc::default();
                Ok(vec![Response::Execution(Tag::new("DISCARD ALL"))])
            }
            Kind::Read => self.read(state, call).await,
            Kind::Begin => self.begin(state, call).await,
            Kind::Script { .. } => {
                self.shared.metrics.write();
                let connection = self.primary(call).await?;
                self.inside(state, Box::new(Pinned(connection)), call).await
            }
            Kind::Write | Kind::Commit | Kind::Rollback | Kind::Unparsed => {
                self.write(state, call).await
            }
        }
    }

    async fn begin(&self, state: &mut State, call: Call<'_>) -> Answer {
        self.shared.metrics.write();
        let mut connection = self.primary(call).await?;
        let (answer, _) = connection
            .run(call.query, Along::Nothing, call.deadline)
            .await;
        match answer {
            Ok(messages) => {
                state.transaction = Transaction::Open(Box::new(Pinned(connection)));
                Ok(answer::responses(messages, call.plan))
            }
            Err(Failure::Server(info)) => Err(Refusal::Server(info)),
            Err(Failure::ReadOnly) => Err(not_leading(call.plan)),
            Err(Failure::Lost(why)) => Err(Refusal::NotRun(why)),
        }
    }

    /// Runs a write by itself. A server that does not lead has not run it, so it is offered to
    /// the next primary; once it may have run, it is never sent again.
    async fn write(&self, state: &mut State, call: Call<'_>) -> Answer {
        self.shared.metrics.write();
        let give_up = self.give_up(call);
        loop {
            let mut connection = self.primary(call).await?;
            let (answer, position) = connection
                .run(call.query, Along::Position, call.deadline)
                .await;
            match call.plan.kind {
                // It may have left a transaction or a value behind.
                Kind::Unparsed => connection.close(),
                _ if !call.plan.values.is_empty() => connection.mark_customized(),
                _ => {}
            }
            connection.finish(call.deadline).await;
            state.floor = advance(state.floor, position);
            match answer {
                Ok(messages) => {
                    state.keep(&call.plan.values);
                    return Ok(answer::responses(messages, call.plan));
                }
                Err(Failure::Server(info)) => return Err(Refusal::Server(info)),
                Err(Failure::Lost(why)) => return Err(Refusal::Unknown(why)),
                Err(Failure::ReadOnly) if call.plan.tags.len() == 1 && Instant::now() < give_up => {
                    tokio::time::sleep(LOOK_AGAIN).await;
                }
                Err(Failure::ReadOnly) => return Err(not_leading(call.plan)),
            }
        }
    }

    /// Runs a query string on the connection of an open transaction.
    async fn inside(&self, state: &mut State, mut pinned: Box<Pinned>, call: Call<'_>) -> Answer {
        let along = match call.plan.kind {
            Kind::Commit | Kind::Script { .. } => Along::Position,
            _ => Along::Nothing,
        };
        if !call.plan.values.is_empty() {
            pinned.0.mark_customized();
        }
        let (answer, position) = pinned.0.run(call.query, along, call.deadline).await;
        let open_after = match call.plan.kind {
            Kind::Commit | Kind::Rollback => false,
            Kind::Script { open_after } => open_after,
            _ => true,
        };
        if along == Along::Position {
            state.floor = advance(state.floor, position);
        }
        let script = matches!(call.plan.kind, Kind::Script { .. });
        let may_have_committed = script || call.plan.kind == Kind::Commit;
        match answer {
            Ok(messages) => {
                state.keep(&call.plan.values);
                match open_after {
                    true => state.transaction = Transaction::Open(pinned),
                    false => pinned.release(call.deadline).await,
                }
                Ok(answer::responses(messages, call.plan))
            }
            Err(Failure::Server(info)) if !script && open_after => {
                state.transaction = Transaction::Open(pinned);
                Err(Refusal::Server(info))
            }
            Err(Failure::Server(info)) => {
                // What a failed script or COMMIT left behind is not known: the connection is
                // closed with `pinned`, which rolls back.
                state.transaction = after_failure(&call.plan.kind);
                Err(Refusal::Server(info))
            }
            Err(Failure::ReadOnly) => {
                state.transaction = after_failure(&call.plan.kind);
                Err(not_leading(call.plan))
            }
            Err(Failure::Lost(why)) => {
                state.transaction = after_failure(&call.plan.kind);
                Err(match may_have_committed {
                    true => Refusal::Unknown(why),
                    false => Refusal::NotRun(format!("{why}; the transaction is rolled back")),
                })
            }
        }
    }

    async fn read(&self, state: &mut State, call: Call<'_>) -> Answer {
        if !call.caller.max_staleness.is_zero() {
            let floor = self.floor(state, call).await?;
            if let Some(answer) = self.read_unwatched(floor, call).await? {
                return answer;
            }
            if let Some(mut replica) = self.replica(floor, call).await? {
                self.shared.metrics.read(Target::Replica);
                let (answer, _) = replica.run(call.query, Along::Nothing, call.deadline).await;
                replica.finish(call.deadline).await;
                return read_answer(answer, call.plan);
            }
        }
        self.read_on_primary(state.floor, call).await
    }

    /// Reads on a replica of a group this proxy does not watch: each is asked for its status
    /// along with the read, and the next one is tried if that is not good enough. `None` when
    /// there is no such replica, or the group is watched.
    ///
    /// Failure: a frozen replica, of which this proxy has no status, would hold every read
    /// until the caller's timeout. Guard: a connection and the status must come within
    /// `check_limit` each, and a server that did not give them is left alone for a while by
    /// all sessions.
    async fn read_unwatched(
        &self,
        floor: Position,
        call: Call<'_>,
    ) -> Result<Option<Answer>, Refusal> {
        let view = self.shared.view.borrow().clone();
        let group = group(&view, call.caller)?;
        if group.watched {
            return Ok(None);
        }
        let fit = |status: &Status| {
            let age = status.age(Instant::now());
            let replica = status.role == Role::Replica;
            replica && status.position.covers(floor) && age <= call.caller.max_staleness
        };
        let limit = self.shared.check_limit;
        for index in route::unwatched(group, Instant::now()) {
            let server = &group.servers[index];
            let checkout = tokio::time::timeout(limit, self.checkout(server, call));
            let Ok(Ok(mut replica)) = checkout.await else {
                server.rest.start();
                continue;
            };
            let checked = replica
                .run_checked(call.query, limit, call.deadline, fit)
                .await;
            replica.finish(call.deadline).await;
            match checked {
                Checked::Fit(answer) => {
                    self.shared.metrics.read(Target::Replica);
                    return Ok(Some(read_answer(answer, call.plan)));
                }
                Checked::Unfit => {}
                Checked::Silent => server.rest.start(),
            }
        }
        Ok(None)
    }

    /// Reads on the primary, and passes the rows on only if it was confirmed to lead.
    ///
    /// Failure: a primary cut off with its data centre still believes it leads, and its rows
    /// lack writes its successor acknowledged. Guard: see [`crate::backend::barrier`].
    async fn read_on_primary(&self, floor: Option<Position>, call: Call<'_>) -> Answer {
        self.shared.metrics.read(Target::Primary);
        let mut connection = self.primary(call).await?;
        let (answer, barrier) = connection
            .run(call.query, Along::Barrier, call.deadline)
            .await;
        match barrier {
            Some(position) if position.covers(floor.unwrap_or_default()) => {
                connection.finish(call.deadline).await;
                read_answer(answer, call.plan)
            }
            _ => {
                connection.close();
                let why = "the server did not confirm that it leads".to_owned();
                Err(Refusal::Unknown(why))
            }
        }
    }

    /// The position the session's reads must see: its own, or a barrier on the primary.
    async fn floor(&self, state: &mut State, call: Call<'_>) -> Result<Position, Refusal> {
        if let Some(floor) = state.floor {
            return Ok(floor);
        }
        let mut connection = self.primary(call).await?;
        let give_up = self.give_up(call);
        let barrier = connection.barrier(give_up).await;
        connection.finish(call.deadline).await;
        let floor = barrier.map_err(|why| {
            Refusal::NotRun(format!("the primary did not confirm that it leads: {why}"))
        })?;
        state.floor = Some(floor);
        Ok(floor)
    }

    /// A connection to a replica that has applied `floor` and is within the caller's
    /// staleness, if there is one.
    async fn replica(
        &self,
        floor: Position,
        call: Call<'_>,
    ) -> Result<Option<Connection>, Refusal> {
        let view = self.shared.view.borrow().clone();
        let group = group(&view, call.caller)?;
        let staleness = call.caller.max_staleness;
        if let Some(index) = route::replica(group, Need::Floor(floor), staleness) {
            // A replica that has just gone is no reason to fail a read another server can run.
            if let Ok(connection) = self.checkout(&group.servers[index], call).await {
                return Ok(Some(connection));
            }
        }
        Ok(self.checked_replica(group, floor, call).await)
    }

    /// A replica connection whose own position, read just now, covers `floor`.
    ///
    /// The polled status lags the replicas by up to one status period, so a floor taken from
    /// the primary a moment ago is usually applied already though the view does not show it.
    /// Asking the replica costs one round trip there instead of a read on the primary.
    async fn checked_replica(
        &self,
        group: &Group,
        floor: Position,
        call: Call<'_>,
    ) -> Option<Connection> {
        let index = route::replica(group, Need::Check, call.caller.max_staleness)?;
        let connection = self.checkout(&group.servers[index], call).await.ok()?;
        let applied = connection.position(call.deadline).await?;
        if applied.covers(floor) {
            return Some(connection);
        }
        connection.finish(call.deadline).await;
        None
    }

    async fn checkout(&self, server: &Server, call: Call<'_>) -> Result<Connection, String> {
        self.take(&server.pool, &CancellationToken::new(), call)
            .await
    }

    async fn take(
        &self,
        pool: &Pool,
        superseded: &CancellationToken,
        call: Call<'_>,
    ) -> Result<Connection, String> {
        let started = Instant::now();
        let limit = self.give_up(call);
        let checkout = Connection::checkout(pool, superseded);
        let connection = tokio::time::timeout_at(limit.into(), checkout).await;
        self.shared
            .metrics
            .pool_wait(started.elapsed().as_secs_f64());
        let late = |_| Err("no backend connection in time".to_owned());
        let mut connection = connection.unwrap_or_else(late)?;
        connection.customize(call.values, limit).await?;
        Ok(connection)
    }

    /// When a statement that has not been sent yet is refused.
    fn give_up(&self, call: Call<'_>) -> Instant {
        call.deadline.min(Instant::now() + self.shared.patience)
    }

    /// A connection to the group's primary; while there is none, waits for one to be promoted.
    async fn primary(&self, call: Call<'_>) -> Result<Connection, Refusal> {
        let give_up = self.give_up(call);
        let mut views = self.shared.view.clone();
        loop {
            let view = views.borrow_and_update().clone();
            let group = group(&view, call.caller)?;
            let why = match group.primary(Instant::now()) {
                Some(index) => {
                    let server = &group.servers[index];
                    match self.take(&server.pool, &server.superseded, call).await {
                        Ok(connection) => return Ok(connection),
                        Err(why) => why,
                    }
                }
                None => format!("group {} has no primary", call.caller.group),
            };
            if Instant::now() >= give_up {
                return Err(Refusal::NotRun(why));
            }
            // A new view, or a while: a connection may be had later though nothing changed.
            let again = give_up.min(Instant::now() + LOOK_AGAIN);
            let _ = tokio::time::timeout_at(again.into(), views.changed()).await;
        }
    }
}

fn group<'a>(view: &'a View, caller: &Caller) -> Result<&'a Group, Refusal> {
    view.groups
        .get(&caller.group)
        .ok_or_else(|| Refusal::NotRun(format!("group {} is not ready", caller.group)))
}

fn set_position(state: &mut State, token: &str) -> Answer {
    let token: Position = token
        .parse()
        .map_err(|error| Refusal::NotRun(format!("{error}")))?;
    state.floor = Some(state.floor.map_or(token, |floor| floor.max(token)));
    Ok(vec![Response::Execution(Tag::new("SET"))])
}

/// The answer in a transaction that has failed: only its end is accepted, as a rollback.
fn aborted(state: &mut State, kind: &Kind) -> Answer {
    match kind {
        Kind::Commit | Kind::Rollback => Ok(vec![Response::TransactionEnd(Tag::new("ROLLBACK"))]),
        _ => {
            state.transaction = Transaction::Aborted;
            Err(Refusal::Aborted)
        }
    }
}

/// The state of a transaction in which a query string of this kind failed for good.
fn after_failure(kind: &Kind) -> Transaction {
    match kind {
        Kind::Commit | Kind::Rollback => Transaction::None,
        _ => Transaction::Aborted,
    }
}

fn read_answer(answer: connection::Answer, plan: &Plan) -> Answer {
    match answer {
        Ok(messages) => Ok(answer::responses(messages, plan)),
        Err(Failure::Server(info)) => Err(Refusal::Server(info)),
        Err(Failure::ReadOnly) => Err(not_leading(plan)),
        Err(Failure::Lost(why)) => Err(Refusal::Unknown(why)),
    }
}

/// The refusal for a query string of which a server that does not lead refused a statement.
/// Of several statements, those before it may have run and been kept.
fn not_leading(plan: &Plan) -> Refusal {
    let why = "its server does not lead".to_owned();
    match plan.tags.len() {
        1 => Refusal::NotRun(why),
        _ => Refusal::Unknown(why),
    }
}

/// The new floor after a write: the write's position, or a barrier when it is unknown.
fn advance(floor: Option<Position>, written: Option<Position>) -> Option<Position> {
    written.map(|written| floor.map_or(written, |floor| floor.max(written)))
}

fn refuse(refusal: Refusal, metrics: &Metrics) -> Response {
    if let Some(code) = refusal.counted() {
        metrics.refusal(code);
    }
    Response::Error(Box::new(ErrorInfo::from(refusal)))
}

/// The position token a caller brings in its startup options, as `-c dandelionpitch.position=T/L`.
fn startup_token(options: &str) -> Option<Position> {
    options
        .split_whitespace()
        .filter_map(|word| word.strip_prefix(POSITION_SETTING)?.strip_prefix('='))
        .find_map(|value| value.parse().ok())
}

#[async_trait]
impl NoopStartupHandler for Session {
    async fn post_startup<C>(
        &self,
        client: &mut C,
        _message: pgwire::messages::PgWireFrontendMessage,
    ) -> PgWireResult<()>
    where
        C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let user = client.metadata().get("user").cloned().unwrap_or_default();
        let view = self.shared.view.borrow().clone();
        let caller = view
            .bundle
            .as_ref()
            .and_then(|bundle| bundle.caller(&user).cloned());
        let Some(caller) = caller else {
            log::info!(target: "session", "Refused unknown caller {user:?}.");
            let text = format!("unknown caller {user:?}: no such user in the bundle in force");
            let info = ErrorInfo::new("FATAL".to_owned(), UNKNOWN_CALLER.to_owned(), text);
            return Err(PgWireError::UserError(Box::new(info)));
        };
        let options = client
            .metadata()
            .get("options")
            .cloned()
            .unwrap_or_default();
        let mut state = self.state.lock().await;
        state.floor = startup_token(&options);
        state.caller = Some(caller);
        Ok(())
    }
}

#[async_trait]
impl SimpleQueryHandler for Session {
    async fn on_query<C>(&self, client: &mut C, query: Query) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.answering.store(true, Ordering::SeqCst);
        let result = self._on_query(client, query).await;
        self.answering.store(false, Ordering::SeqCst);
        result
    }

    async fn do_query<C>(&self, client: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let plan = route::plan(query);
        let answer = self.run(query, &plan).await;
        let floor = self.state.lock().await.floor;
        if let (Some(floor), Kind::Write | Kind::Commit | Kind::Script { .. }) = (floor, &plan.kind)
        {
            let status = ParameterStatus::new(POSITION_SETTING.to_owned(), floor.to_string());
            client
                .feed(PgWireBackendMessage::ParameterStatus(status))
                .await?;
        }
        Ok(answer.unwrap_or_else(|refusal| vec![refuse(refusal, &self.shared.metrics)]))
    }
}

/// The handlers pgwire asks for, all served by the session.
pub struct Handlers(pub Arc<Session>);

impl PgWireServerHandlers for Handlers {
    fn simple_query_handler(&self) -> Arc<impl SimpleQueryHandler> {
        self.0.clone()
    }

    fn startup_handler(&self) -> Arc<impl pgwire::api::auth::StartupHandler> {
        self.0.clone()
    }
}

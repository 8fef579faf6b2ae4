//! One caller connection: routing of its statements, its transaction, and its
//! read-your-writes floor.
//!
//! The floor is the log position the session's reads must see. It comes from the caller's
//! token (startup option or `SET dandelionpitch.position`), grows with each acknowledged
//! write, and, when the caller brings no token, starts as a barrier: the primary's current
//! position, read before the first read (`docs/DESIGN.md`, "Read-your-writes after roaming").

mod answer;
mod checkout;
pub mod connection;
mod read;
mod refusal;
mod write;

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

use self::{connection::Connection, refusal::Refusal};
use crate::{
    metrics::Metrics,
    route::{self, Analysis, Kind, Variable, POSITION_SETTING},
    view::View,
};

/// How soon a statement for which there was no primary, or no connection to it, or which a
/// superseded one refused, is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// What the daemon shares with every session.
#[derive(Debug)]
pub struct Shared {
    pub view: watch::Receiver<Arc<View>>,
    pub metrics: Metrics,
    /// How long a statement may wait for a primary or a free backend connection.
    pub acquire_timeout: Duration,
    /// How long a server may take to give its status along with a read.
    pub status_timeout: Duration,
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
    user: String,
    caller: Option<Arc<Caller>>,
    floor: Option<Position>,
    transaction: Transaction,
    /// What the session has set, in the order it did.
    variables: Arc<Vec<Variable>>,
}

impl State {
    /// Notes what a query string that succeeded has set.
    fn keep(&mut self, set: &[Variable]) {
        if set.is_empty() {
            return;
        }
        let variables = Arc::make_mut(&mut self.variables);
        variables.retain(|old| set.iter().all(|new| new.name != old.name));
        variables.extend_from_slice(set);
    }
}

/// One query string on its way, with the time by which it is answered.
#[derive(Clone, Copy, Debug)]
struct Call<'a> {
    query: &'a str,
    analysis: &'a Analysis,
    caller: &'a Caller,
    variables: &'a [Variable],
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
    pub fn is_idle(&self) -> bool {
        let state = self.state.try_lock();
        let none = state.is_ok_and(|state| matches!(state.transaction, Transaction::None));
        none && !self.answering.load(Ordering::SeqCst)
    }

    async fn run(&self, query: &str, analysis: &Analysis) -> Answer {
        let mut state = self.state.lock().await;
        let caller = self.caller(&mut state)?;
        let variables = state.variables.clone();
        let call = Call {
            query,
            analysis,
            caller: &caller,
            variables: &variables,
            deadline: Instant::now() + caller.timeout,
        };
        match std::mem::take(&mut state.transaction) {
            Transaction::None => self.outside(&mut state, call).await,
            Transaction::Open(pinned) => self.inside(&mut state, pinned, call).await,
            Transaction::Aborted => write::aborted(&mut state, &analysis.kind),
        }
    }

    /// What the bundle in force says of the session's caller; within a transaction, what it
    /// said when the transaction began.
    ///
    /// Failure: a session stays open for days, and what a new bundle allows or forbids its
    /// caller would hold only for those who connect later. Guard: it is looked up for every
    /// statement outside a transaction.
    fn caller(&self, state: &mut State) -> Result<Arc<Caller>, Refusal> {
        if let (Some(caller), Transaction::Open(_)) = (&state.caller, &state.transaction) {
            return Ok(caller.clone());
        }
        let view = self.shared.view.borrow().clone();
        let bundle = view.bundle.as_ref();
        let caller = bundle.and_then(|bundle| bundle.caller(&state.user).cloned());
        let moved = |old: &Arc<Caller>| caller.as_ref().is_some_and(|new| new.group != old.group);
        if state.caller.as_ref().is_some_and(moved) {
            // A position in one group's log says nothing about another's.
            state.floor = None;
        }
        state.caller = caller;
        match &state.caller {
            Some(caller) => Ok(caller.clone()),
            None => Err(Refusal::UnknownCaller(state.user.clone())),
        }
    }

    /// Runs a query string that comes outside a transaction.
    async fn outside(&self, state: &mut State, call: Call<'_>) -> Answer {
        match &call.analysis.kind {
            Kind::ShowPosition => Ok(vec![answer::position_rows(state.floor)]),
            Kind::SetPosition(token) => set_position(state, token),
            Kind::Discard => {
                state.variables = Arc::default();
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
}

fn set_position(state: &mut State, token: &str) -> Answer {
    let token: Position = token
        .parse()
        .map_err(|error| Refusal::NotRun(format!("{error}")))?;
    state.floor = Some(state.floor.map_or(token, |floor| floor.max(token)));
    Ok(vec![Response::Execution(Tag::new("SET"))])
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
        let mut state = self.state.lock().await;
        state.user = client.metadata().get("user").cloned().unwrap_or_default();
        if let Err(refusal) = self.caller(&mut state) {
            log::info!(target: "session", "Refused unknown caller {:?}.", state.user);
            let mut info = ErrorInfo::from(refusal);
            info.severity = "FATAL".to_owned();
            return Err(PgWireError::UserError(Box::new(info)));
        }
        let options = client
            .metadata()
            .get("options")
            .cloned()
            .unwrap_or_default();
        state.floor = startup_token(&options);
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
        let analysis = route::analyze(query);
        let answer = self.run(query, &analysis).await;
        let failed = answer.as_ref().is_err_and(Refusal::burns);
        self.shared.metrics.statement(!failed);
        let floor = self.state.lock().await.floor;
        if let (Some(floor), Kind::Write | Kind::Commit | Kind::Script { .. }) =
            (floor, &analysis.kind)
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

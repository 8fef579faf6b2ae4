//! One caller connection: routing of its statements, its transaction, and its read-your-writes
//! floor.
//!
//! The floor is the log position that a server must have applied to serve the session's reads. The
//! caller may set it with a position token (startup option or `SET dandelionpitch.position`), and
//! each acknowledged write raises it. Without a token, it is initialised before the first read that
//! may go to a replica, with a barrier: the current position of the confirmed primary
//! (`docs/DESIGN.md`, "Read-your-writes after roaming").

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

/// The delay before retrying a statement that did not run because there was no primary, no
/// connection to it, or the server was no longer primary.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// State and settings shared by all sessions.
#[derive(Debug)]
pub struct Shared {
    pub view: watch::Receiver<Arc<View>>,
    pub metrics: Metrics,
    /// How long a statement may wait for a primary or a free backend connection.
    pub acquire_timeout: Duration,
    /// How long a server may take to report its status before it runs a read.
    pub status_timeout: Duration,
}

/// The session's transaction.
#[derive(Debug, Default)]
enum Transaction {
    #[default]
    None,
    /// Open on this connection.
    Open(Box<Pinned>),
    /// Failed, but not yet ended by the caller. Until then every other statement is refused, so
    /// that none of them runs and commits on its own outside the transaction.
    Aborted,
}

/// The connection of an open transaction. If the session ends first, it is closed instead of
/// returned to its pool.
#[derive(Debug)]
struct Pinned(Connection);

impl Drop for Pinned {
    fn drop(&mut self) {
        self.0.close();
    }
}

impl Pinned {
    /// Returns the connection to its pool after the transaction has ended.
    async fn release(mut self, deadline: Instant) {
        let connection = std::mem::replace(&mut self.0, Connection::closed());
        connection.return_to_pool(deadline).await;
    }
}

#[derive(Debug, Default)]
struct State {
    user: String,
    caller: Option<Arc<Caller>>,
    floor: Option<Position>,
    transaction: Transaction,
    /// The session variables, in the order in which they were set.
    variables: Arc<Vec<Variable>>,
}

impl State {
    /// Adds the variables set by a query string that succeeded, replacing those of the same name.
    fn record_variables(&mut self, new_variables: &[Variable]) {
        if new_variables.is_empty() {
            return;
        }
        let variables = Arc::make_mut(&mut self.variables);
        variables.retain(|old| new_variables.iter().all(|new| new.name != old.name));
        variables.extend_from_slice(new_variables);
    }
}

/// A query string being executed, with the deadline for its answer.
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
    /// True from the arrival of a query until its complete answer is written to the socket.
    is_answering: AtomicBool,
}

type Answer = Result<Vec<Response>, Refusal>;

impl Session {
    /// Creates the session of a new caller connection.
    pub fn new(shared: Arc<Shared>) -> Arc<Self> {
        Arc::new(Self {
            shared,
            state: Mutex::new(State::default()),
            is_answering: AtomicBool::new(false),
        })
    }

    /// Whether the connection can be closed without interrupting a request or a transaction.
    pub fn is_idle(&self) -> bool {
        let state = self.state.try_lock();
        let no_transaction =
            state.is_ok_and(|state| matches!(state.transaction, Transaction::None));
        no_transaction && !self.is_answering.load(Ordering::SeqCst)
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
        match (std::mem::take(&mut state.transaction), &analysis.kind) {
            (Transaction::None, _) => self.run_outside_transaction(&mut state, call).await,
            (Transaction::Open(pinned), Kind::SetPosition(token)) => {
                let answer = set_position(&mut state, token);
                // As any error in a transaction, an invalid token rolls it back.
                state.transaction = match answer {
                    Ok(_) => Transaction::Open(pinned),
                    Err(_) => Transaction::Aborted,
                };
                answer
            }
            (Transaction::Open(pinned), _) => {
                self.run_in_transaction(&mut state, pinned, call).await
            }
            (Transaction::Aborted, kind) => write::answer_aborted(&mut state, kind),
        }
    }

    /// The caller's settings in the applied bundle; within a transaction, those from when it began.
    ///
    /// They are looked up for every statement outside a transaction, so that a new bundle also
    /// applies to sessions that are already open.
    fn caller(&self, state: &mut State) -> Result<Arc<Caller>, Refusal> {
        if let (Some(caller), Transaction::Open(_)) = (&state.caller, &state.transaction) {
            return Ok(caller.clone());
        }
        let view = self.shared.view.borrow().clone();
        let bundle = view.bundle.as_ref();
        let caller = bundle.and_then(|bundle| bundle.caller(&state.user).cloned());
        let group_changed =
            |old: &Arc<Caller>| caller.as_ref().is_some_and(|new| new.group != old.group);
        if state.caller.as_ref().is_some_and(group_changed) {
            // Log positions of different groups cannot be compared.
            state.floor = None;
        }
        state.caller = caller;
        match &state.caller {
            Some(caller) => Ok(caller.clone()),
            None => Err(Refusal::UnknownCaller(state.user.clone())),
        }
    }

    /// Runs a query string while no transaction is open.
    async fn run_outside_transaction(&self, state: &mut State, call: Call<'_>) -> Answer {
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
                let connection = self.checkout_primary(call).await?;
                self.run_in_transaction(state, Box::new(Pinned(connection)), call)
                    .await
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

fn error_response(refusal: Refusal, metrics: &Metrics) -> Response {
    if let Some(code) = refusal.metric_code() {
        metrics.refusal(code);
    }
    Response::Error(Box::new(ErrorInfo::from(refusal)))
}

/// The position token in a caller's startup options, `-c dandelionpitch.position=T/L`.
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
        self.is_answering.store(true, Ordering::SeqCst);
        let result = self._on_query(client, query).await;
        self.is_answering.store(false, Ordering::SeqCst);
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
        let failed = answer.as_ref().is_err_and(Refusal::is_proxy_failure);
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
        Ok(answer.unwrap_or_else(|refusal| vec![error_response(refusal, &self.shared.metrics)]))
    }
}

/// The protocol handlers for `pgwire`; the session implements all of them.
pub struct Handlers(pub Arc<Session>);

impl PgWireServerHandlers for Handlers {
    fn simple_query_handler(&self) -> Arc<impl SimpleQueryHandler> {
        self.0.clone()
    }

    fn startup_handler(&self) -> Arc<impl pgwire::api::auth::StartupHandler> {
        self.0.clone()
    }
}

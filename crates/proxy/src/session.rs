//! One caller connection: routing of its statements, its pinned transaction, and its
//! read-your-writes floor.
//!
//! The floor is the log position the session's reads must see. It comes from the caller's
//! token (startup option or `SET dandelionpitch.position`), grows with each acknowledged
//! write, and, when the caller brings no token, starts as a barrier: the primary's current
//! position, read before the first read (`docs/DESIGN.md`, "Read-your-writes after roaming").

use std::{fmt::Debug, sync::Arc, time::Instant};

use async_trait::async_trait;
use dandelionpitch_core::{bundle::Caller, position::Position};
use deadpool_postgres::{Object, Pool};
use futures::{stream, Sink, SinkExt};
use pgwire::{
    api::{
        auth::noop::NoopStartupHandler,
        query::SimpleQueryHandler,
        results::{DataRowEncoder, FieldFormat, FieldInfo, QueryResponse, Response, Tag},
        ClientInfo, ClientPortalStore, PgWireServerHandlers, Type,
    },
    error::{ErrorInfo, PgWireError, PgWireResult},
    messages::{startup::ParameterStatus, PgWireBackendMessage},
};
use tokio::sync::{watch, Mutex};
use tokio_postgres::SimpleQueryMessage;

use crate::{
    metrics::{Metrics, Target},
    route::{self, Kind, Need, Plan, POSITION_SETTING},
    view::{Group, View},
};

/// The SQLSTATE of a refusal for a request that was never sent to a backend.
pub const NOT_RUN: &str = "57P03";
/// The SQLSTATE of a request that reached a backend whose answer was lost.
pub const OUTCOME_UNKNOWN: &str = "08007";
/// The SQLSTATE for a user name the bundle does not know.
const UNKNOWN_CALLER: &str = "28000";
/// When a caller refused with "not run" may come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// What the daemon shares with every session.
#[derive(Debug)]
pub struct Shared {
    pub view: watch::Receiver<Arc<View>>,
    pub metrics: Metrics,
}

/// A refusal the proxy makes itself.
#[derive(Debug)]
enum Refusal {
    /// Never sent to a backend; safe to send again after the pause.
    NotRun(String),
    /// Sent, but the answer was lost; the caller must check before repeating.
    Unknown(String),
}

impl From<Refusal> for ErrorInfo {
    fn from(refusal: Refusal) -> Self {
        let (code, text) = match refusal {
            Refusal::NotRun(why) => (
                NOT_RUN,
                format!("not run: {why}; come back in {RETRY_AFTER_MS} ms"),
            ),
            Refusal::Unknown(why) => (OUTCOME_UNKNOWN, format!("outcome unknown: {why}")),
        };
        Self::new("ERROR".to_owned(), code.to_owned(), text)
    }
}

/// A backend connection held by an open transaction.
///
/// Failure: a caller that vanishes mid-transaction would hand a connection with an open
/// transaction back to the pool, and the next caller's statements would run inside it.
/// Guard: a pinned connection that is dropped while the transaction is open is taken out of
/// the pool and closed, so its transaction is rolled back by the server and never shared.
#[derive(Debug)]
struct Pinned {
    connection: Option<Object>,
}

impl Drop for Pinned {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            drop(Object::take(connection));
        }
    }
}

impl Pinned {
    fn client(&self) -> &Object {
        self.connection
            .as_ref()
            .expect("a pinned connection is present until released")
    }

    /// Hands the connection back to the pool; the transaction is over.
    fn release(mut self) {
        drop(self.connection.take());
    }
}

#[derive(Debug, Default)]
struct State {
    caller: Option<Caller>,
    floor: Option<Position>,
    pinned: Option<Pinned>,
}

/// The handler of one caller connection.
#[derive(Debug)]
pub struct Session {
    shared: Arc<Shared>,
    state: Mutex<State>,
}

impl Session {
    /// A session for a new caller connection.
    pub fn new(shared: Arc<Shared>) -> Arc<Self> {
        Arc::new(Self {
            shared,
            state: Mutex::new(State::default()),
        })
    }

    /// The pool of the group's current primary.
    fn primary_pool(&self, caller: &Caller) -> Result<Pool, Refusal> {
        let view = self.shared.view.borrow().clone();
        let group = view
            .groups
            .get(&caller.group)
            .ok_or_else(|| Refusal::NotRun(format!("group {} is not ready", caller.group)))?;
        let primary = group
            .primary(Instant::now())
            .ok_or_else(|| Refusal::NotRun(format!("group {} has no primary", caller.group)))?;
        Ok(group.servers[primary].pool.clone())
    }

    async fn checkout(&self, pool: &Pool) -> Result<Object, Refusal> {
        let started = Instant::now();
        let connection = pool.get().await;
        self.shared
            .metrics
            .pool_wait(started.elapsed().as_secs_f64());
        connection.map_err(|error| Refusal::NotRun(format!("no backend connection: {error}")))
    }

    async fn primary(&self, caller: &Caller) -> Result<Object, Refusal> {
        let primary = self.primary_pool(caller)?;
        self.checkout(&primary).await
    }

    async fn read_target(&self, state: &mut State, caller: &Caller) -> Result<Object, Refusal> {
        if caller.max_staleness.is_zero() {
            self.shared.metrics.read(Target::Primary);
            return self.primary(caller).await;
        }
        let floor = match state.floor {
            Some(floor) => floor,
            None => {
                let barrier = self.barrier(caller).await?;
                state.floor = Some(barrier);
                barrier
            }
        };
        let view = self.shared.view.borrow().clone();
        let Some(group) = view.groups.get(&caller.group) else {
            return Err(Refusal::NotRun(format!(
                "group {} is not ready",
                caller.group
            )));
        };
        if let Some(index) = route::replica(group, Need::Floor(floor), caller.max_staleness) {
            self.shared.metrics.read(Target::Replica);
            return self.checkout(&group.servers[index].pool).await;
        }
        if let Some(connection) = self.checked_replica(group, floor, caller).await {
            self.shared.metrics.read(Target::Replica);
            return Ok(connection);
        }
        self.shared.metrics.read(Target::Primary);
        self.primary(caller).await
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
        caller: &Caller,
    ) -> Option<Object> {
        let index = route::replica(group, Need::Check, caller.max_staleness)?;
        let connection = self.checkout(&group.servers[index].pool).await.ok()?;
        let applied = position(&connection).await?;
        applied.covers(floor).then_some(connection)
    }

    /// The primary's current position: every write acknowledged before now is at or below it.
    async fn barrier(&self, caller: &Caller) -> Result<Position, Refusal> {
        let connection = self.primary(caller).await?;
        position(&connection)
            .await
            .ok_or_else(|| Refusal::NotRun("the primary's position is unknown".to_owned()))
    }

    async fn run(&self, query: &str, plan: &Plan) -> Result<Vec<Response>, Refusal> {
        let mut state = self.state.lock().await;
        let caller = state
            .caller
            .clone()
            .ok_or_else(|| Refusal::NotRun("no caller".to_owned()))?;
        if let Some(pinned) = state.pinned.take() {
            return self.in_transaction(&mut state, pinned, query, plan).await;
        }
        match &plan.kind {
            Kind::ShowPosition => Ok(vec![position_rows(state.floor)]),
            Kind::SetPosition(token) => {
                let token: Position = token
                    .parse()
                    .map_err(|error| Refusal::NotRun(format!("{error}")))?;
                state.floor = Some(state.floor.map_or(token, |floor| floor.max(token)));
                Ok(vec![Response::Execution(Tag::new("SET"))])
            }
            Kind::Read => {
                let connection = self.read_target(&mut state, &caller).await?;
                forward(&connection, query, plan).await
            }
            Kind::Begin => {
                self.shared.metrics.write();
                let connection = self.primary(&caller).await?;
                let answer = forward(&connection, query, plan).await?;
                state.pinned = Some(Pinned {
                    connection: Some(connection),
                });
                Ok(answer)
            }
            Kind::Write | Kind::Commit | Kind::Rollback => {
                self.shared.metrics.write();
                let connection = self.primary(&caller).await?;
                let answer = forward(&connection, query, plan).await?;
                state.floor = advance(state.floor, position(&connection).await);
                Ok(answer)
            }
        }
    }

    async fn in_transaction(
        &self,
        state: &mut State,
        pinned: Pinned,
        query: &str,
        plan: &Plan,
    ) -> Result<Vec<Response>, Refusal> {
        self.shared.metrics.write();
        let answer = forward(pinned.client(), query, plan).await?;
        match plan.kind {
            Kind::Commit => {
                state.floor = advance(state.floor, position(pinned.client()).await);
                pinned.release();
            }
            Kind::Rollback => pinned.release(),
            _ => state.pinned = Some(pinned),
        }
        Ok(answer)
    }
}

/// The new floor after a write: the write's position, or a barrier when it is unknown.
fn advance(floor: Option<Position>, written: Option<Position>) -> Option<Position> {
    match (floor, written) {
        (Some(floor), Some(written)) => Some(floor.max(written)),
        (None, Some(written)) => Some(written),
        (_, None) => None,
    }
}

/// Reads a backend's current log position.
async fn position(connection: &Object) -> Option<Position> {
    let messages = connection
        .simple_query("SHOW dandelionpitch.position")
        .await
        .ok()?;
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0)?.parse().ok(),
        _ => None,
    })
}

fn position_rows(floor: Option<Position>) -> Response {
    let text = floor.map(|floor| floor.to_string()).unwrap_or_default();
    text_response(vec![POSITION_SETTING.to_owned()], vec![vec![Some(text)]])
}

fn text_response(names: Vec<String>, rows: Vec<Vec<Option<String>>>) -> Response {
    let fields: Vec<FieldInfo> = names
        .into_iter()
        .map(|name| FieldInfo::new(name, None, None, Type::TEXT, FieldFormat::Text))
        .collect();
    let schema = Arc::new(fields);
    let mut encoded = Vec::with_capacity(rows.len());
    for row in rows {
        let mut encoder = DataRowEncoder::new(schema.clone());
        for value in row {
            if let Err(error) = encoder.encode_field(&value) {
                encoded.push(Err(error));
                continue;
            }
        }
        encoded.push(Ok(encoder.take_row()));
    }
    Response::Query(QueryResponse::new(schema, stream::iter(encoded)))
}

/// Sends `query` on `connection` and turns the backend's answer into pgwire responses.
async fn forward(connection: &Object, query: &str, plan: &Plan) -> Result<Vec<Response>, Refusal> {
    let messages = match connection.simple_query(query).await {
        Ok(messages) => messages,
        Err(error) => match error.as_db_error() {
            Some(db) => {
                let code = db.code().code().to_owned();
                let info = ErrorInfo::new("ERROR".to_owned(), code, db.message().to_owned());
                return Ok(vec![Response::Error(Box::new(info))]);
            }
            None => {
                return Err(Refusal::Unknown(format!(
                    "backend connection failed: {error}"
                )))
            }
        },
    };
    let mut responses = Vec::new();
    let mut names: Option<Vec<String>> = None;
    let mut rows = Vec::new();
    let mut tags = plan.tags.iter();
    for message in messages {
        match message {
            SimpleQueryMessage::RowDescription(columns) => {
                names = Some(columns.iter().map(|c| c.name().to_owned()).collect());
            }
            SimpleQueryMessage::Row(row) => {
                if names.is_none() {
                    names = Some(row.columns().iter().map(|c| c.name().to_owned()).collect());
                }
                let values = (0..row.len())
                    .map(|i| row.get(i).map(str::to_owned))
                    .collect();
                rows.push(values);
            }
            SimpleQueryMessage::CommandComplete(count) => {
                let tag = tags.next().copied().unwrap_or("OK");
                responses.push(complete(
                    tag,
                    count,
                    names.take(),
                    std::mem::take(&mut rows),
                ));
            }
            _ => {}
        }
    }
    Ok(responses)
}

fn complete(
    tag: &str,
    count: u64,
    names: Option<Vec<String>>,
    rows: Vec<Vec<Option<String>>>,
) -> Response {
    match (tag, names) {
        (_, Some(names)) => text_response(names, rows),
        ("BEGIN", None) => Response::TransactionStart(Tag::new(tag)),
        ("COMMIT" | "ROLLBACK", None) => Response::TransactionEnd(Tag::new(tag)),
        ("INSERT", None) => {
            Response::Execution(Tag::new(tag).with_oid(0).with_rows(count as usize))
        }
        ("UPDATE" | "DELETE", None) => Response::Execution(Tag::new(tag).with_rows(count as usize)),
        (tag, None) => Response::Execution(Tag::new(tag)),
    }
}

fn refuse(refusal: Refusal, metrics: &Metrics) -> Response {
    let info = ErrorInfo::from(refusal);
    metrics.refusal(match info.code.as_str() {
        NOT_RUN => NOT_RUN,
        _ => OUTCOME_UNKNOWN,
    });
    Response::Error(Box::new(info))
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
    async fn do_query<C>(&self, client: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let plan = route::plan(query);
        let answer = self.run(query, &plan).await;
        let floor = self.state.lock().await.floor;
        if let (Some(floor), Kind::Write | Kind::Commit) = (floor, &plan.kind) {
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

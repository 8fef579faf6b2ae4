//! One stand-in server's PostgreSQL-wire front: a handler per caller connection.

use std::{
    fmt::Debug,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use dandelionpitch_core::hash::Map;
use futures::{stream, Sink};
use pgwire::{
    api::{
        auth::noop::NoopStartupHandler,
        query::SimpleQueryHandler,
        results::{DataRowEncoder, FieldFormat, FieldInfo, QueryResponse, Response, Tag},
        ClientInfo, ClientPortalStore, PgWireServerHandlers, Type,
    },
    error::{ErrorInfo, PgWireError, PgWireResult},
    messages::PgWireBackendMessage,
};

use super::{
    incarnation::Life,
    sql::{self, Command},
    state::{Entry, Op, Progress, Refusal},
    Shared,
};

/// How often a wait for replicas, or for the end of a freeze or cut, looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(1);

/// The handler of one caller connection to server `index`.
pub struct Connection {
    shared: Arc<Shared>,
    index: usize,
    /// The server's life in which this connection was opened.
    life: Life,
    /// The caller's data centre, the middle part of an application name such as
    /// `dandelionpitch/dc-1/proxy-1`; empty for callers that are not proxies.
    dc: Mutex<String>,
    /// How often the server's connections had been silenced when this one was opened.
    silences: u64,
    /// The ops of the open transaction, if one is open.
    pending: Mutex<Option<Vec<Op>>>,
    /// The values set on this connection.
    values: Mutex<Map<String, String>>,
}

impl Connection {
    /// A handler for a new connection to server `index` of a group, in this life of it.
    pub fn new(shared: Arc<Shared>, index: usize, life: Life) -> Arc<Self> {
        let silences = shared.faults.lock().unwrap().silences(index);
        Arc::new(Self {
            shared,
            index,
            life,
            silences,
            dc: Mutex::new(String::new()),
            pending: Mutex::new(None),
            values: Mutex::new(Map::default()),
        })
    }

    /// Waits while the server is frozen or cut off from this caller, and for good once it was
    /// killed: the connection is dropped then.
    async fn gate(&self) {
        let dc = self.dc.lock().unwrap().clone();
        while self.life.over() || self.shared.blocked(self.index, &dc, self.silences) {
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }

    async fn run(&self, command: Command) -> PgWireResult<Response> {
        match command {
            Command::Begin => {
                *self.pending.lock().unwrap() = Some(Vec::new());
                Ok(Response::TransactionStart(Tag::new("BEGIN")))
            }
            Command::Commit => {
                let ops = self.pending.lock().unwrap().take().unwrap_or_default();
                if !ops.is_empty() {
                    self.commit(ops).await?;
                }
                Ok(Response::TransactionEnd(Tag::new("COMMIT")))
            }
            Command::Rollback => {
                *self.pending.lock().unwrap() = None;
                Ok(Response::TransactionEnd(Tag::new("ROLLBACK")))
            }
            Command::Write(op) => self.write(op).await,
            Command::Select(id) => {
                let group = self.shared.group.lock().unwrap();
                let rows = group.select(self.index, id.as_deref());
                let rows = rows.into_iter().map(|(id, body)| vec![id, body]).collect();
                text_rows(&["id", "body"], rows)
            }
            Command::Literal(values) => {
                let names: Vec<String> = (1..=values.len()).map(|i| format!("c{i}")).collect();
                let names: Vec<&str> = names.iter().map(String::as_str).collect();
                text_rows(&names, vec![values])
            }
            Command::Set(name, value) => {
                self.values.lock().unwrap().insert(name, value);
                Ok(Response::Execution(Tag::new("SET")))
            }
            Command::Discard => {
                self.values.lock().unwrap().clear();
                Ok(Response::Execution(Tag::new("DISCARD ALL")))
            }
            Command::Show(name) => self.show(&name),
            Command::Barrier => self.barrier().await,
            Command::Fence(term) => self.fence(term).await,
            Command::Promote(term) => self.promote(term).await,
            Command::Lag(ms) => {
                let lag = Duration::from_millis(ms);
                let mut group = self.shared.group.lock().unwrap();
                group.set_lag(self.index, lag);
                text_rows(&["lag_ms"], vec![vec![ms.to_string()]])
            }
            Command::Sleep(ms) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                text_rows(&["sleep"], vec![vec![String::new()]])
            }
            Command::Fault(fault) => {
                let server = fault.server();
                let outcome = self.shared.set(fault);
                outcome.map_err(|text| error("22023", text))?;
                self.shared.switches[server].settled().await;
                text_rows(&["fault"], vec![vec!["set".to_owned()]])
            }
        }
    }

    async fn write(&self, op: Op) -> PgWireResult<Response> {
        let tag = match &op {
            Op::Insert { .. } => Tag::new("INSERT").with_oid(0).with_rows(1),
            Op::Update { .. } => Tag::new("UPDATE").with_rows(1),
            Op::Delete { .. } => Tag::new("DELETE").with_rows(1),
        };
        if let Some(op) = self.defer(op) {
            self.commit(vec![op]).await?;
        }
        Ok(Response::Execution(tag))
    }

    /// Keeps `op` for the open transaction, or hands it back when none is open.
    fn defer(&self, op: Op) -> Option<Op> {
        match self.pending.lock().unwrap().as_mut() {
            Some(ops) => {
                ops.push(op);
                None
            }
            None => Some(op),
        }
    }

    /// Commits `ops` and waits until enough replicas have received them.
    async fn commit(&self, ops: Vec<Op>) -> PgWireResult<()> {
        let outcome = self.shared.group.lock().unwrap().commit(self.index, ops);
        let position = outcome.map_err(|refusal| match refusal {
            Refusal::ReadOnly => read_only(),
            Refusal::Duplicate(id) => error(
                "23505",
                format!("duplicate key value violates unique constraint: id {id}"),
            ),
        })?;
        loop {
            let progress = {
                let mut group = self.shared.group.lock().unwrap();
                group.progress(self.index, position)
            };
            match progress {
                Progress::Done => return Ok(()),
                Progress::Waiting => tokio::time::sleep(LOOK_AGAIN).await,
                Progress::Lost => {
                    return Err(error(
                        "40003",
                        "the server lost the lead before the commit was replicated",
                    ))
                }
            }
        }
    }

    /// The server's position, once enough replicas confirm that it leads.
    async fn barrier(&self) -> PgWireResult<Response> {
        loop {
            let (progress, position) = {
                let mut group = self.shared.group.lock().unwrap();
                let position = group.status(self.index, Instant::now()).position;
                (group.confirm(self.index), position)
            };
            match progress {
                Progress::Done => {
                    return text_rows(&["position"], vec![vec![position.to_string()]])
                }
                Progress::Waiting => tokio::time::sleep(LOOK_AGAIN).await,
                Progress::Lost => return Err(read_only()),
            }
        }
    }

    async fn fence(&self, term: u64) -> PgWireResult<Response> {
        let outcome = self.shared.group.lock().unwrap().fence(self.index, term);
        let received = outcome.map_err(|text| error("55000", text))?;
        let late = self.shared.faults.lock().unwrap().slow_fence(self.index);
        tokio::time::sleep(Duration::from_millis(late)).await;
        let log = self.shared.group.lock().unwrap();
        let log = log.status(self.index, Instant::now()).log;
        text_rows(
            &["received", "log"],
            vec![vec![received.to_string(), log.to_string()]],
        )
    }

    async fn promote(&self, term: u64) -> PgWireResult<Response> {
        tokio::time::sleep(self.shared.settings.promote).await;
        let outcome = self.shared.group.lock().unwrap().promote(self.index, term);
        let position = outcome.map_err(|text| error("55000", text))?;
        text_rows(&["position"], vec![vec![position.to_string()]])
    }

    fn show(&self, name: &str) -> PgWireResult<Response> {
        let group = self.shared.group.lock().unwrap();
        let status = group.status(self.index, Instant::now());
        match name {
            "dandelionpitch.status" => text_rows(
                &[
                    "server",
                    "role",
                    "term",
                    "log",
                    "position",
                    "lag_ms",
                    "silent_ms",
                ],
                vec![vec![
                    status.server.to_string(),
                    status.role.name().to_owned(),
                    status.term.to_string(),
                    status.log.to_string(),
                    status.position.to_string(),
                    status.lag.as_millis().to_string(),
                    status.silent.as_millis().to_string(),
                ]],
            ),
            "dandelionpitch.position" => {
                text_rows(&["position"], vec![vec![status.position.to_string()]])
            }
            "dandelionpitch.history" => {
                let rows = group.log(self.index).iter().flat_map(rows_of).collect();
                text_rows(&["position", "id"], rows)
            }
            "dandelionpitch.server" => text_rows(&["server"], vec![vec![self.index.to_string()]]),
            other => match self.values.lock().unwrap().get(other) {
                Some(value) => text_rows(&[other], vec![vec![value.clone()]]),
                None => Err(error("42704", format!("unrecognized parameter {other:?}"))),
            },
        }
    }
}

/// One row per change of a log entry: its position and the id of the changed row.
fn rows_of(entry: &Entry) -> Vec<Vec<String>> {
    let row = |op: &Op| vec![entry.position.to_string(), op.id().to_owned()];
    entry.ops.iter().map(row).collect()
}

fn read_only() -> PgWireError {
    error(
        "25006",
        "cannot execute a write in a read-only transaction".to_owned(),
    )
}

fn error(code: &str, text: impl Into<String>) -> PgWireError {
    let info = ErrorInfo::new("ERROR".to_owned(), code.to_owned(), text.into());
    PgWireError::UserError(Box::new(info))
}

fn text_rows(names: &[&str], rows: Vec<Vec<String>>) -> PgWireResult<Response> {
    let fields: Vec<FieldInfo> = names
        .iter()
        .map(|name| {
            FieldInfo::new(
                (*name).to_owned(),
                None,
                None,
                Type::TEXT,
                FieldFormat::Text,
            )
        })
        .collect();
    let schema = Arc::new(fields);
    let mut encoded = Vec::with_capacity(rows.len());
    for row in rows {
        let mut encoder = DataRowEncoder::new(schema.clone());
        for value in row {
            encoder.encode_field(&Some(value))?;
        }
        encoded.push(Ok(encoder.take_row()));
    }
    Ok(Response::Query(QueryResponse::new(
        schema,
        stream::iter(encoded),
    )))
}

#[async_trait]
impl NoopStartupHandler for Connection {
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
        let name = client.metadata().get("application_name");
        let dc = name.and_then(|name| name.split('/').nth(1));
        *self.dc.lock().unwrap() = dc.unwrap_or_default().to_owned();
        self.gate().await;
        Ok(())
    }
}

#[async_trait]
impl SimpleQueryHandler for Connection {
    async fn do_query<C>(&self, _client: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let commands = sql::parse(query).map_err(|text| error("42601", text))?;
        let mut responses = Vec::with_capacity(commands.len());
        self.gate().await;
        for command in commands {
            match self.run(command).await {
                Ok(response) => responses.push(response),
                Err(PgWireError::UserError(info)) => {
                    responses.push(Response::Error(info));
                    break;
                }
                Err(other) => return Err(other),
            }
        }
        self.gate().await;
        Ok(responses)
    }
}

/// The handlers pgwire asks for, all served by the connection.
pub struct Handlers(pub Arc<Connection>);

impl PgWireServerHandlers for Handlers {
    fn simple_query_handler(&self) -> Arc<impl SimpleQueryHandler> {
        self.0.clone()
    }

    fn startup_handler(&self) -> Arc<impl pgwire::api::auth::StartupHandler> {
        self.0.clone()
    }
}

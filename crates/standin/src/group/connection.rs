//! Handler of one caller connection over the PostgreSQL wire protocol.

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
    incarnation::Incarnation,
    sql::{self, Command},
    state::{Entry, Op, Progress, WriteError},
    Shared,
};

/// Interval for polling replication progress and the end of a freeze or partition.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A caller's connection to server `index`.
pub struct Connection {
    shared: Arc<Shared>,
    index: usize,
    /// Incarnation of the server that accepted this connection.
    incarnation: Incarnation,
    /// Data centre of the caller: the second part of an application name such as
    /// `dandelionpitch/dc-1/proxy-1`, or empty if there is none.
    dc: Mutex<String>,
    /// The server's count of `silence` faults when this connection was opened.
    silence_count: u64,
    /// Buffered writes of the open transaction, or `None` if no transaction is open.
    transaction_ops: Mutex<Option<Vec<Op>>>,
    /// Session variables set with `SET`.
    session_variables: Mutex<Map<String, String>>,
}

impl Connection {
    pub fn new(shared: Arc<Shared>, index: usize, incarnation: Incarnation) -> Arc<Self> {
        let silence_count = shared.faults.lock().unwrap().silence_count(index);
        Arc::new(Self {
            shared,
            index,
            incarnation,
            silence_count,
            dc: Mutex::new(String::new()),
            transaction_ops: Mutex::new(None),
            session_variables: Mutex::new(Map::default()),
        })
    }

    /// Waits while a fault keeps the server from answering this caller. Never returns once the
    /// server was killed; the connection task is then dropped.
    async fn wait_unblocked(&self) {
        let dc = self.dc.lock().unwrap().clone();
        while self.incarnation.has_ended()
            || self.shared.is_blocked(self.index, &dc, self.silence_count)
        {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn execute(&self, command: Command) -> PgWireResult<Response> {
        match command {
            Command::Begin => {
                *self.transaction_ops.lock().unwrap() = Some(Vec::new());
                Ok(Response::TransactionStart(Tag::new("BEGIN")))
            }
            Command::Commit => {
                let ops = self
                    .transaction_ops
                    .lock()
                    .unwrap()
                    .take()
                    .unwrap_or_default();
                if !ops.is_empty() {
                    self.commit(ops).await?;
                }
                Ok(Response::TransactionEnd(Tag::new("COMMIT")))
            }
            Command::Rollback => {
                *self.transaction_ops.lock().unwrap() = None;
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
                self.session_variables.lock().unwrap().insert(name, value);
                Ok(Response::Execution(Tag::new("SET")))
            }
            Command::Discard => {
                self.session_variables.lock().unwrap().clear();
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
                let outcome = self.shared.apply_fault(fault);
                outcome.map_err(|text| error("22023", text))?;
                self.shared.lifecycles[server].wait_settled().await;
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
        if let Some(op) = self.buffer_in_transaction(op) {
            self.commit(vec![op]).await?;
        }
        Ok(Response::Execution(tag))
    }

    /// Adds `op` to the open transaction, or returns it if no transaction is open.
    fn buffer_in_transaction(&self, op: Op) -> Option<Op> {
        match self.transaction_ops.lock().unwrap().as_mut() {
            Some(ops) => {
                ops.push(op);
                None
            }
            None => Some(op),
        }
    }

    /// Commits `ops` and waits until `sync_replicas` replicas have received them.
    async fn commit(&self, ops: Vec<Op>) -> PgWireResult<()> {
        let outcome = self.shared.group.lock().unwrap().commit(self.index, ops);
        let position = outcome.map_err(|write_error| match write_error {
            WriteError::ReadOnly => read_only(),
            WriteError::Duplicate(id) => error(
                "23505",
                format!("duplicate key value violates unique constraint: id {id}"),
            ),
        })?;
        loop {
            let progress = {
                let mut group = self.shared.group.lock().unwrap();
                group.commit_progress(self.index, position)
            };
            match progress {
                Progress::Complete => return Ok(()),
                Progress::Pending => tokio::time::sleep(POLL_INTERVAL).await,
                Progress::LeadershipLost => {
                    return Err(error(
                        "40003",
                        "the server lost leadership before the commit was replicated",
                    ))
                }
            }
        }
    }

    /// Returns the server's applied position after `sync_replicas` replicas confirmed its
    /// leadership.
    async fn barrier(&self) -> PgWireResult<Response> {
        loop {
            let (progress, position) = {
                let mut group = self.shared.group.lock().unwrap();
                let position = group.status(self.index, Instant::now()).position;
                (group.confirm_leadership(self.index), position)
            };
            match progress {
                Progress::Complete => {
                    return text_rows(&["position"], vec![vec![position.to_string()]])
                }
                Progress::Pending => tokio::time::sleep(POLL_INTERVAL).await,
                Progress::LeadershipLost => return Err(read_only()),
            }
        }
    }

    async fn fence(&self, term: u64) -> PgWireResult<Response> {
        let outcome = self.shared.group.lock().unwrap().fence(self.index, term);
        let received = outcome.map_err(|text| error("55000", text))?;
        let delay = self
            .shared
            .faults
            .lock()
            .unwrap()
            .fence_delay_ms(self.index);
        tokio::time::sleep(Duration::from_millis(delay)).await;
        let group = self.shared.group.lock().unwrap();
        let log_id = group.status(self.index, Instant::now()).log_id;
        text_rows(
            &["received", "log"],
            vec![vec![received.to_string(), log_id.to_string()]],
        )
    }

    async fn promote(&self, term: u64) -> PgWireResult<Response> {
        tokio::time::sleep(self.shared.settings.promotion_delay).await;
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
                    status.log_id.to_string(),
                    status.position.to_string(),
                    status.lag.as_millis().to_string(),
                    status.since_primary_contact.as_millis().to_string(),
                ]],
            ),
            "dandelionpitch.position" => {
                text_rows(&["position"], vec![vec![status.position.to_string()]])
            }
            "dandelionpitch.history" => {
                let rows = group
                    .log(self.index)
                    .iter()
                    .flat_map(history_rows)
                    .collect();
                text_rows(&["position", "id"], rows)
            }
            "dandelionpitch.server" => text_rows(&["server"], vec![vec![self.index.to_string()]]),
            other => match self.session_variables.lock().unwrap().get(other) {
                Some(value) => text_rows(&[other], vec![vec![value.clone()]]),
                None => Err(error("42704", format!("unrecognized parameter {other:?}"))),
            },
        }
    }
}

/// Returns a result row for each write of a log entry: the entry's position and the changed row's
/// id.
fn history_rows(entry: &Entry) -> Vec<Vec<String>> {
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
        self.wait_unblocked().await;
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
        self.wait_unblocked().await;
        for command in commands {
            match self.execute(command).await {
                Ok(response) => responses.push(response),
                Err(PgWireError::UserError(info)) => {
                    responses.push(Response::Error(info));
                    break;
                }
                Err(other) => return Err(other),
            }
        }
        self.wait_unblocked().await;
        Ok(responses)
    }
}

/// The handler set `pgwire` requires, with the connection as every handler.
pub struct Handlers(pub Arc<Connection>);

impl PgWireServerHandlers for Handlers {
    fn simple_query_handler(&self) -> Arc<impl SimpleQueryHandler> {
        self.0.clone()
    }

    fn startup_handler(&self) -> Arc<impl pgwire::api::auth::StartupHandler> {
        self.0.clone()
    }
}

//! One stand-in server's PostgreSQL-wire front: a handler per caller connection.

use std::{
    fmt::Debug,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_trait::async_trait;
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
    sql::{self, Command},
    state::{Group, Op, Refusal},
};

/// The handler of one caller connection to server `index`.
pub struct Connection {
    group: Arc<Mutex<Group>>,
    index: usize,
    /// The ops of the open transaction, if one is open.
    pending: Mutex<Option<Vec<Op>>>,
}

impl Connection {
    /// A handler for a new connection to server `index` of `group`.
    pub fn new(group: Arc<Mutex<Group>>, index: usize) -> Arc<Self> {
        Arc::new(Self {
            group,
            index,
            pending: Mutex::new(None),
        })
    }

    fn run(&self, command: Command) -> PgWireResult<Response> {
        match command {
            Command::Begin => {
                *self.pending.lock().unwrap() = Some(Vec::new());
                Ok(Response::TransactionStart(Tag::new("BEGIN")))
            }
            Command::Commit => {
                let ops = self.pending.lock().unwrap().take().unwrap_or_default();
                if !ops.is_empty() {
                    self.commit(ops)?;
                }
                Ok(Response::TransactionEnd(Tag::new("COMMIT")))
            }
            Command::Rollback => {
                *self.pending.lock().unwrap() = None;
                Ok(Response::TransactionEnd(Tag::new("ROLLBACK")))
            }
            Command::Write(op) => self.write(op),
            Command::Select(id) => {
                let rows = self.group.lock().unwrap().select(self.index, id.as_deref());
                let rows = rows.into_iter().map(|(id, body)| vec![id, body]).collect();
                text_rows(&["id", "body"], rows)
            }
            Command::Literal(values) => {
                let names: Vec<String> = (1..=values.len()).map(|i| format!("c{i}")).collect();
                let names: Vec<&str> = names.iter().map(String::as_str).collect();
                text_rows(&names, vec![values])
            }
            Command::Show(name) => self.show(&name),
            Command::Promote(term) => {
                let position = self.group.lock().unwrap().promote(self.index, term);
                let position = position.map_err(|text| error("55000", text))?;
                text_rows(&["position"], vec![vec![position.to_string()]])
            }
            Command::Lag(ms) => {
                let lag = Duration::from_millis(ms);
                self.group.lock().unwrap().set_lag(self.index, lag);
                text_rows(&["lag_ms"], vec![vec![ms.to_string()]])
            }
            Command::Sleep(_) => Err(error("0A000", "dandelionpitch_sleep runs only on its own")),
        }
    }

    fn write(&self, op: Op) -> PgWireResult<Response> {
        let tag = match &op {
            Op::Insert { .. } => Tag::new("INSERT").with_oid(0).with_rows(1),
            Op::Update { .. } => Tag::new("UPDATE").with_rows(1),
            Op::Delete { .. } => Tag::new("DELETE").with_rows(1),
        };
        let mut pending = self.pending.lock().unwrap();
        match pending.as_mut() {
            Some(ops) => ops.push(op),
            None => {
                drop(pending);
                self.commit(vec![op])?;
            }
        }
        Ok(Response::Execution(tag))
    }

    fn commit(&self, ops: Vec<Op>) -> PgWireResult<()> {
        let outcome = self.group.lock().unwrap().commit(self.index, ops);
        outcome.map(|_| ()).map_err(|refusal| match refusal {
            Refusal::ReadOnly => error(
                "25006",
                "cannot execute a write in a read-only transaction".to_owned(),
            ),
            Refusal::Duplicate(id) => error(
                "23505",
                format!("duplicate key value violates unique constraint: id {id}"),
            ),
        })
    }

    fn show(&self, name: &str) -> PgWireResult<Response> {
        let status = self
            .group
            .lock()
            .unwrap()
            .status(self.index, Instant::now());
        match name {
            "dandelionpitch.status" => text_rows(
                &["server", "role", "term", "lsn", "lag_ms"],
                vec![vec![
                    status.server.to_string(),
                    status.role.name().to_owned(),
                    status.position.term.to_string(),
                    status.position.lsn.to_string(),
                    status.lag.as_millis().to_string(),
                ]],
            ),
            "dandelionpitch.position" => {
                text_rows(&["position"], vec![vec![status.position.to_string()]])
            }
            "dandelionpitch.server" => text_rows(&["server"], vec![vec![self.index.to_string()]]),
            other => Err(error("42704", format!("unrecognized parameter {other:?}"))),
        }
    }
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
impl NoopStartupHandler for Connection {}

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
        for command in commands {
            if let Command::Sleep(ms) = command {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                responses.push(text_rows(&["sleep"], vec![vec![String::new()]])?);
                continue;
            }
            match self.run(command) {
                Ok(response) => responses.push(response),
                Err(PgWireError::UserError(info)) => {
                    responses.push(Response::Error(info));
                    break;
                }
                Err(other) => return Err(other),
            }
        }
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

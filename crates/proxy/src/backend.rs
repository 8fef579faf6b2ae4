//! Queries that a proxy sends to a backend server for itself, not for a caller: status, log
//! position, barrier, and the fence and promotion of a failover.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use dandelionpitch_core::position::Position;
use derive_more::{Display, Error, From};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage, SimpleQueryRow};

use crate::{
    config::Config,
    view::{Role, Status},
};

/// Why a query to a backend server has no result.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The server answered with an error, or the connection failed.
    #[display("{}", server_message(_0))]
    Server(tokio_postgres::Error),
    /// No answer within the time limit; the query may still take effect.
    #[display("no answer in time")]
    Timeout,
    /// The answer lacks an expected row or column, or a value does not parse.
    #[display("unexpected answer from the server")]
    UnexpectedAnswer,
}

/// The server's error message and SQLSTATE, without the prefix "db error" that the driver adds.
fn server_message(error: &tokio_postgres::Error) -> String {
    match error.as_db_error() {
        Some(db) => format!("{} ({})", db.message(), db.code().code()),
        None => error.to_string(),
    }
}

/// The `application_name` of a proxy's backend connections, which identifies the proxy on the
/// server.
pub fn application_name(config: &Config) -> String {
    format!("dandelionpitch/{}/{}", config.dc, config.id)
}

/// Connection options for the server at `address`.
///
/// TCP keepalive and the TCP user timeout close a connection within seconds if a device on the
/// network path has dropped its state. It would otherwise stay silent although new ones work.
pub fn options(address: SocketAddr, database: &str, config: &Config) -> tokio_postgres::Config {
    let mut options = tokio_postgres::Config::new();
    options
        .host(address.ip().to_string())
        .port(address.port())
        .user(&config.backend.user)
        .dbname(database)
        .application_name(application_name(config))
        .connect_timeout(config.backend.connect_timeout)
        .tcp_user_timeout(config.backend.silent_after)
        .keepalives(true)
        .keepalives_idle(config.backend.silent_after)
        .keepalives_interval(Duration::from_secs(1))
        .keepalives_retries(2);
    options
}

/// Opens a connection within `limit`, and spawns its driver task on the current runtime.
pub async fn connect(options: &tokio_postgres::Config, limit: Duration) -> Result<Client, Error> {
    let (client, connection) = tokio::time::timeout(limit, options.connect(NoTls))
        .await
        .map_err(|_| Error::Timeout)??;
    tokio::spawn(connection);
    Ok(client)
}

async fn query_row(client: &Client, query: &str, limit: Duration) -> Result<SimpleQueryRow, Error> {
    let messages = tokio::time::timeout(limit, client.simple_query(query))
        .await
        .map_err(|_| Error::Timeout)??;
    let row = messages.into_iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    row.ok_or(Error::UnexpectedAnswer)
}

fn parse_column<T: std::str::FromStr>(row: &SimpleQueryRow, name: &str) -> Result<T, Error> {
    let text = row.try_get(name)?.ok_or(Error::UnexpectedAnswer)?;
    text.parse().map_err(|_| Error::UnexpectedAnswer)
}

/// The identity of the server's log; zero if the answer has no such column.
fn parse_log_id(row: &SimpleQueryRow) -> Result<u64, Error> {
    let is_log = |column: &tokio_postgres::SimpleColumn| column.name() == "log";
    match row.columns().iter().any(is_log) {
        true => parse_column(row, "log"),
        false => Ok(0),
    }
}

async fn query_position(client: &Client, query: &str, limit: Duration) -> Result<Position, Error> {
    let row = query_row(client, query, limit).await?;
    let text = row.get(0).ok_or(Error::UnexpectedAnswer)?;
    text.parse().map_err(|_| Error::UnexpectedAnswer)
}

/// Reads a server's role, term, log position and staleness.
pub async fn status(client: &Client, limit: Duration) -> Result<Status, Error> {
    // Taken before the request, so that the age of the answer includes the round trip.
    let read_at = Instant::now();
    let row = query_row(client, "SHOW dandelionpitch.status", limit).await?;
    let role: String = parse_column(&row, "role")?;
    Ok(Status {
        role: match role.as_str() {
            "primary" => Role::Primary,
            _ => Role::Replica,
        },
        term: parse_column(&row, "term")?,
        log_id: parse_log_id(&row)?,
        position: parse_column(&row, "position")?,
        lag: Duration::from_millis(parse_column(&row, "lag_ms")?),
        silence: Duration::from_millis(parse_column(&row, "silent_ms")?),
        read_at,
    })
}

/// The last log position that the server has applied.
pub async fn position(client: &Client, limit: Duration) -> Result<Position, Error> {
    query_position(client, "SHOW dandelionpitch.position", limit).await
}

/// The log position of a server that is confirmed to be primary; a superseded one returns an error
/// or does not answer.
///
/// The position of a partitioned primary may be below writes that its successor acknowledged. The
/// server therefore answers only after enough replicas have accepted it as their primary since the
/// request arrived, and replicas that have accepted a later term do not.
pub async fn barrier(client: &Client, limit: Duration) -> Result<Position, Error> {
    query_position(client, "SELECT dandelionpitch_barrier()", limit).await
}

/// Fences the server at `term`, so that it refuses writes of earlier terms. Returns the identity of
/// its log and the last log position it has received.
pub async fn fence(client: &Client, term: u64, limit: Duration) -> Result<(u64, Position), Error> {
    let query = format!("SELECT dandelionpitch_fence({term})");
    let row = query_row(client, &query, limit).await?;
    Ok((parse_log_id(&row)?, parse_column(&row, "received")?))
}

/// Promotes the server to primary at `term`; returns its first log position in that term.
pub async fn promote(client: &Client, term: u64, limit: Duration) -> Result<Position, Error> {
    let query = format!("SELECT dandelionpitch_promote({term})");
    query_position(client, &query, limit).await
}

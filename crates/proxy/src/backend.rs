//! The calls a proxy makes to a backend server on its own account: status, position, barrier,
//! and the two steps of a failover.

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

/// Why a call to a backend server did not give its answer.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The server refused, or the connection failed.
    #[display("{}", text(_0))]
    Server(tokio_postgres::Error),
    /// No answer within the limit; the call may still take effect.
    #[display("no answer in time")]
    Timeout,
    /// The answer was not of the expected shape.
    #[display("an answer of another shape")]
    Shape,
}

/// The server's own words, without the driver's "db error" in front.
fn text(error: &tokio_postgres::Error) -> String {
    match error.as_db_error() {
        Some(db) => format!("{} ({})", db.message(), db.code().code()),
        None => error.to_string(),
    }
}

/// The name a proxy's backend connections carry, so that a server's own views tell who asks.
pub fn application_name(config: &Config) -> String {
    format!("dandelionpitch/{}/{}", config.dc, config.id)
}

/// How to connect to the server at `address`, for the pool and the control part alike.
///
/// Failure: something between the two ends loses track of a connection, and it goes silent
/// for good while new ones work. Guard: probes on idle connections, and a limit on how long
/// sent bytes may stay unacknowledged, close such a connection within seconds.
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

/// Opens a connection with its driver task on the current runtime.
pub async fn connect(options: &tokio_postgres::Config, limit: Duration) -> Result<Client, Error> {
    let (client, connection) = tokio::time::timeout(limit, options.connect(NoTls))
        .await
        .map_err(|_| Error::Timeout)??;
    tokio::spawn(connection);
    Ok(client)
}

async fn row(client: &Client, query: &str, limit: Duration) -> Result<SimpleQueryRow, Error> {
    let messages = tokio::time::timeout(limit, client.simple_query(query))
        .await
        .map_err(|_| Error::Timeout)??;
    let row = messages.into_iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    row.ok_or(Error::Shape)
}

fn column<T: std::str::FromStr>(row: &SimpleQueryRow, name: &str) -> Result<T, Error> {
    let text = row.try_get(name)?.ok_or(Error::Shape)?;
    text.parse().map_err(|_| Error::Shape)
}

/// Which log the server has; groups that do not say have no such column.
fn log_number(row: &SimpleQueryRow) -> Result<u64, Error> {
    let named = |column: &tokio_postgres::SimpleColumn| column.name() == "log";
    match row.columns().iter().any(named) {
        true => column(row, "log"),
        false => Ok(0),
    }
}

async fn position_of(client: &Client, query: &str, limit: Duration) -> Result<Position, Error> {
    let row = row(client, query, limit).await?;
    let text = row.get(0).ok_or(Error::Shape)?;
    text.parse().map_err(|_| Error::Shape)
}

/// Reads a server's status.
pub async fn status(client: &Client, limit: Duration) -> Result<Status, Error> {
    // Taken before the question, so that the time on the way counts as age of the answer.
    let read_at = Instant::now();
    let row = row(client, "SHOW dandelionpitch.status", limit).await?;
    let role: String = column(&row, "role")?;
    Ok(Status {
        role: match role.as_str() {
            "primary" => Role::Primary,
            _ => Role::Replica,
        },
        term: column(&row, "term")?,
        log_id: log_number(&row)?,
        position: column(&row, "position")?,
        lag: Duration::from_millis(column(&row, "lag_ms")?),
        silence: Duration::from_millis(column(&row, "silent_ms")?),
        read_at,
    })
}

/// The last position in the server's table.
pub async fn position(client: &Client, limit: Duration) -> Result<Position, Error> {
    position_of(client, "SHOW dandelionpitch.position", limit).await
}

/// The position of a server that still leads; a superseded one refuses or does not answer.
///
/// Failure: a primary cut off with its data centre still believes it leads, and its position
/// is below writes its successor acknowledged. Guard: the server answers only after enough
/// replicas accepted it as their primary after the question came, and those that hold a later
/// term do not.
pub async fn barrier(client: &Client, limit: Duration) -> Result<Position, Error> {
    position_of(client, "SELECT dandelionpitch_barrier()", limit).await
}

/// Makes the server hold `term`; returns which log it has and the last position it has received.
pub async fn fence(client: &Client, term: u64, limit: Duration) -> Result<(u64, Position), Error> {
    let query = format!("SELECT dandelionpitch_fence({term})");
    let row = row(client, &query, limit).await?;
    Ok((log_number(&row)?, column(&row, "received")?))
}

/// Makes the server primary at `term`; returns its first position there.
pub async fn promote(client: &Client, term: u64, limit: Duration) -> Result<Position, Error> {
    let query = format!("SELECT dandelionpitch_promote({term})");
    position_of(client, &query, limit).await
}

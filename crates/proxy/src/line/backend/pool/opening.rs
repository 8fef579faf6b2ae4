//! Opening of connections with a permit.

use std::{rc::Rc, sync::Arc, time::Duration};

use dandelionpitch_engine::refusal::Code;
use dandelionpitch_platform::{backend::Link, Error as LinkError};

use super::{
    checkout::{Checkout, Permit},
    record, Error, Pool,
};
use crate::line::{backend::connection::Connection, clock, journal};

/// Timeout for opening a connection. The server processes the start message like a statement, after
/// those already in its queue.
const OPEN_TIMEOUT: Duration = Duration::from_millis(800);

/// How long no connection is opened after the server refused one because of its connection limit.
const FULL_BACKOFF: Duration = Duration::from_millis(500);

/// How long no connection is opened after the server could not be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(500);

impl Pool {
    /// Opens a connection for `account` with `permit`, within at most `left`.
    pub(super) async fn open(
        self: &Rc<Self>,
        permit: Permit,
        account: Option<Arc<str>>,
        left: Duration,
    ) -> Result<Checkout, Error> {
        if self.state.borrow().closed {
            return Err(Error::Unreachable);
        }
        let server = &self.server;
        let (address, id) = (server.address, server.id());
        let connect = Link::open_with_timeout(
            self.connect_timeout,
            address,
            &server.service,
            account.as_deref(),
            id,
        );
        let limit = OPEN_TIMEOUT.min(left);
        let started_at = clock::now();
        let (error, why, backoff) = match tokio::time::timeout(limit, connect).await {
            Ok(Ok(link)) => {
                record(&self.opening, started_at);
                self.metrics.connection(&server.service);
                return Ok(permit.into_checkout(Connection::new(link, account)));
            }
            Ok(Err(LinkError::Refused(refusal))) if refusal.code == Code::TooManyConnections => {
                (Error::TooManyConnections, refusal.to_string(), FULL_BACKOFF)
            }
            Ok(Err(error)) => (Error::Unreachable, error.to_string(), UNREACHABLE_BACKOFF),
            Err(_) => (
                Error::Unreachable,
                format!("no connection within {limit:?}"),
                UNREACHABLE_BACKOFF,
            ),
        };
        self.backoff_until.set(clock::now() + backoff);
        journal::write(
            "connect",
            serde_json::json!({ "server": server.id(), "service": server.service,
                "address": server.address.to_string(), "open": self.open_connections(), "why": why }),
        );
        Err(error)
    }
}

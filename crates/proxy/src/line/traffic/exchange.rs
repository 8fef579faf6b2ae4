//! Runs one statement on one connection: takes a connection from the pool, sets the session's
//! variables on it, sends the statement and waits for the answer.

use std::{rc::Rc, time::Duration};

use dandelionpitch_engine::{
    session::{Phase, Session},
    slots::Purpose,
};
use dandelionpitch_platform::backend::{Answer, Condition, State};

use crate::line::{
    backend::{
        connection::{execute, sync_variables},
        pool::{checkout::Checkout, Error},
        request::Client,
        Backend,
    },
    clock,
    group::Group,
    peers::Peers,
    traffic::call::{pool_failure, Call, Failure, RETRY_DELAY},
};

/// The server's VM is probed after this multiple of the server's mean latency without an answer.
const PROBE_LATENCY_FACTOR: u32 = 2;

/// The minimum time without an answer before a probe. Most statements are answered earlier.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(100);

/// The timeout for an answer, as a multiple of the server's mean latency.
const TIMEOUT_LATENCY_FACTOR: u32 = 8;

/// The minimum timeout for an answer, as a fraction of the route's timeout. Leaves room for a long
/// statement that waits while all slots of the server are busy.
const MIN_TIMEOUT_FRACTION: f64 = 0.4;

/// The same for an answer of another proxy, which applies timeouts to its servers itself. Detects
/// only a proxy that no longer responds.
const PEER_MIN_TIMEOUT_FRACTION: f64 = 0.8;

/// Returns a connection to `backend` on which the session's variables are set.
pub async fn checkout(
    group: &Rc<Group>,
    backend: &Rc<Backend>,
    session: &Session,
    call: &Call<'_>,
) -> Result<Checkout, Failure> {
    checkout_connection(backend, session, call, false)
        .await
        .map_err(|error| {
            if error == Error::Unreachable {
                backend.note_unreachable();
                group.clear_leader(backend);
            }
            pool_failure(call, error)
        })?
}

/// Returns a connection to another proxy on which the session's variables are set.
pub async fn checkout_peer(
    peers: &Peers,
    peer: &Rc<Backend>,
    session: &Session,
    call: &Call<'_>,
) -> Result<Checkout, Failure> {
    checkout_connection(peer, session, call, true)
        .await
        .map_err(|error| {
            match error {
                Error::Unreachable => peers.note_failure(peer),
                Error::TooManyConnections | Error::Refused { .. } => peer.avoid(),
            }
            pool_failure(call, error)
        })?
}

/// Takes a connection from the pool and sets the session's variables on it. The outer error is the
/// pool's, the inner one a failure afterwards.
///
/// A server that is leaving accepts new statements for a limited time only, so the wait for a
/// connection ends with that time. Connections to other proxies are shared by all accounts.
async fn checkout_connection(
    backend: &Rc<Backend>,
    session: &Session,
    call: &Call<'_>,
    to_proxy: bool,
) -> Result<Result<Checkout, Failure>, Error> {
    let purpose = match session.phase() {
        Phase::Idle => Purpose::Statement,
        Phase::Open(_) | Phase::TimedOut | Phase::Failed => Purpose::Transaction,
    };
    let mut request = call.pool_request(purpose);
    if to_proxy {
        request.client = Client::Proxy;
    }
    if let Some(until) = backend.takes_work_until() {
        request.deadline = request.deadline.min(until);
    }
    let mut checkout = backend.pool.checkout(session.variables(), request).await?;
    if !backend.takes_work(clock::now()) {
        checkout.release();
        let why = "the server is about to stop";
        return Ok(Err(Failure::NotRun(call.busy(why, RETRY_DELAY))));
    }
    match set_variables(&mut checkout, backend, session, call).await {
        Ok(()) => Ok(Ok(checkout)),
        // The statement was not sent yet.
        Err(why) => Ok(Err(Failure::NotRun(call.busy(&why, RETRY_DELAY)))),
    }
}

/// Sets the session's variables on a connection to `backend`, unless they are set already.
///
/// # Errors
/// Why they could not be set; the connection must be closed.
pub async fn set_variables(
    checkout: &mut Checkout,
    backend: &Rc<Backend>,
    session: &Session,
    call: &Call<'_>,
) -> Result<(), String> {
    let connection = checkout.connection();
    let why = tokio::select! {
        biased;
        synced = tokio::time::timeout(call.remaining(), sync_variables(connection, session)) =>
            match synced {
                Ok(Ok(())) => return Ok(()),
                Ok(Err(error)) => error.to_string(),
                Err(_) => "timed out while setting session variables".to_owned(),
            },
        () = until_unreachable(backend) => "the server is unreachable".to_owned(),
    };
    backend.avoid();
    Err(why)
}

/// Sends the statement and reads its answer. If there is no answer in time, or the server's VM is
/// unreachable, closes the connection and returns the reason.
///
/// The timeout is usually shorter than the route's. Otherwise a lost answer would occupy one of the
/// server's few connections for longer, and leave no time to repeat a transaction within its
/// caller's deadline.
pub async fn exchange(
    mut checkout: Checkout,
    backend: &Backend,
    call: &Call<'_>,
    condition: Condition<'_>,
) -> (Result<Answer, String>, Option<Checkout>) {
    let min_fraction = match condition {
        Condition::Forwarded(_) => PEER_MIN_TIMEOUT_FRACTION,
        Condition::Always | Condition::After(_) => MIN_TIMEOUT_FRACTION,
    };
    let min_timeout = call.route.timeout.mul_f64(min_fraction);
    let timeout = (backend.latency() * TIMEOUT_LATENCY_FACTOR)
        .max(min_timeout)
        .min(call.remaining());
    // The reasons are also metric labels, up to the first colon, and must not change.
    let result = {
        let sent = execute(checkout.connection(), call.statement(), condition);
        tokio::select! {
            biased;
            answer = tokio::time::timeout(timeout, sent) => match answer {
                Ok(Ok(answer)) => Ok(answer),
                Ok(Err(error)) => Err(error.to_string()),
                Err(_) => Err(format!("no answer in time: {timeout:?}")),
            },
            () = until_unreachable(backend) => Err("its server cannot be reached".to_owned()),
        }
    };
    match result {
        Ok(answer) => (Ok(answer), Some(checkout)),
        Err(why) => (Err(why), None),
    }
}

/// Probes the server's VM at intervals and returns once it is unreachable.
async fn until_unreachable(backend: &Backend) {
    loop {
        let delay = (backend.latency() * PROBE_LATENCY_FACTOR)
            .clamp(MIN_PROBE_DELAY, backend.max_probe_delay());
        tokio::time::sleep(delay).await;
        if !backend.is_reachable().await {
            return;
        }
    }
}

/// Returns the connection to the pool, or closes it if the server reports that a transaction is open
/// on it.
pub fn release_if_idle(checkout: Option<Checkout>, answer: &Answer) {
    if let (Some(checkout), State::Idle) = (checkout, answer.state) {
        checkout.release();
    }
}

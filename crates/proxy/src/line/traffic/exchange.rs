//! One statement on one connection: the connection is borrowed, made to hold the session's values,
//! and the answer awaited for as long as that makes sense.

use std::{rc::Rc, time::Duration};

use dandelionpitch_engine::session::Session;
use dandelionpitch_platform::backend::{Answer, Condition, State};

use crate::line::{
    backend::{
        connection::{ask, dress},
        pool::{loan::Checkout, Miss},
        Backend,
    },
    clock,
    group::Group,
    peers::Peers,
    traffic::call::{missed, Call, Failure, OFFER_AGAIN},
};

/// After this many times the usual length without an answer, the server's VM is asked whether
/// it is still there.
const LOOK_AFTER: u32 = 2;

/// The shortest wait before that: longer than nine in ten statements take.
const LEAST_LOOK: Duration = Duration::from_millis(100);

/// An answer counts as lost after this many times the usual length of a statement on its server.
const PATIENCE: u32 = 8;

/// The least part of the route's timeout that an answer is waited for: long work behind a full set of
/// slots fits in.
const LEAST_PATIENCE: f64 = 0.4;

/// The same for an answer of another proxy, which itself gives up on its servers: only a connection
/// that has gone silent is to be noticed.
const PEER_PATIENCE: f64 = 0.8;

/// A connection to `backend` with the session's values in force.
pub async fn checkout(
    group: &Rc<Group>,
    backend: &Rc<Backend>,
    session: &Session,
    call: &Call<'_>,
) -> Result<Checkout, Failure> {
    lend(backend, session, call).await.map_err(|miss| {
        if miss == Miss::Unreachable {
            backend.unreachable();
            group.clear_leader(backend);
        }
        missed(call, miss)
    })?
}

/// A connection to another proxy with the session's values in force.
pub async fn checkout_peer(
    peers: &Peers,
    peer: &Rc<Backend>,
    session: &Session,
    call: &Call<'_>,
) -> Result<Checkout, Failure> {
    lend(peer, session, call).await.map_err(|miss| {
        match miss {
            Miss::Unreachable => peers.note_failure(peer),
            Miss::Full | Miss::Refused { .. } => peer.avoid(),
        }
        missed(call, miss)
    })?
}

/// Lends a connection; the inner result is what became of setting the session's values on it.
///
/// Failure: a statement waits in the queue of a server that leaves, is given a connection seconds later,
/// and reaches it after the time within which it may have new work. Guard: it waits no longer than
/// that, and what waited is judged again.
async fn lend(
    backend: &Rc<Backend>,
    session: &Session,
    call: &Call<'_>,
) -> Result<Result<Checkout, Failure>, Miss> {
    let mut wish = call.wish();
    if let Some(until) = backend.takes_work_until() {
        wish.deadline = wish.deadline.min(until);
    }
    let mut checkout = backend.pool.checkout(session.variables(), wish).await?;
    if !backend.takes_work(clock::now()) {
        checkout.release();
        let why = "its server leaves";
        return Ok(Err(Failure::NotRun(call.busy(why, OFFER_AGAIN))));
    }
    let connection = checkout.connection();
    let why = tokio::select! {
        biased;
        dressed = tokio::time::timeout(call.left(), dress(connection, session)) => match dressed {
            Ok(Ok(())) => return Ok(Ok(checkout)),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "its time is up".to_owned(),
        },
        () = gone(backend) => "its server cannot be reached".to_owned(),
    };
    // Nothing of the caller's was sent.
    backend.avoid();
    Ok(Err(Failure::NotRun(call.busy(&why, OFFER_AGAIN))))
}

/// Sends the statement and reads its answer. When the answer counts as lost, or the server's
/// VM is not there any more, the connection is closed and the reason returned.
///
/// Load pattern: a server loses a fifth of its answers for seconds, and each holds one of a handful
/// of connections until the route's timeout. Giving up after some times the usual length frees it
/// for others, and lets a transaction be repeated within its caller's deadline.
pub async fn exchange(
    mut checkout: Checkout,
    backend: &Backend,
    call: &Call<'_>,
    condition: Condition<'_>,
) -> (Result<Answer, String>, Option<Checkout>) {
    let part = match condition {
        Condition::Forwarded(_) => PEER_PATIENCE,
        Condition::Always | Condition::After(_) => LEAST_PATIENCE,
    };
    let least = call.route.timeout.mul_f64(part);
    let patience = (backend.latency() * PATIENCE).max(least).min(call.left());
    let result = {
        let sent = ask(checkout.connection(), call.question(), condition);
        tokio::select! {
            biased;
            answer = tokio::time::timeout(patience, sent) => match answer {
                Ok(Ok(answer)) => Ok(answer),
                Ok(Err(error)) => Err(error.to_string()),
                Err(_) => Err(format!("no answer in time: {patience:?}")),
            },
            () = gone(backend) => Err("its server cannot be reached".to_owned()),
        }
    };
    match result {
        Ok(answer) => (Ok(answer), Some(checkout)),
        Err(why) => (Err(why), None),
    }
}

/// Returns when an answer is overdue and the server's VM is found not to be there.
async fn gone(backend: &Backend) {
    loop {
        let pause = (backend.latency() * LOOK_AFTER).clamp(LEAST_LOOK, backend.most_look());
        tokio::time::sleep(pause).await;
        if !backend.reachable().await {
            return;
        }
    }
}

/// Gives the connection back, unless the server says that a transaction is open on it.
pub fn settle(checkout: Option<Checkout>, answer: &Answer) {
    if let (Some(checkout), State::Idle) = (checkout, answer.state) {
        checkout.release();
    }
}

//! Forwards a caller's statements to a proxy that owns the connections to their group.
//! [`engine::ownership`](dandelionpitch_engine::ownership) chooses the owners, and
//! [`engine::forwarding`](dandelionpitch_engine::forwarding) decides whether to try another one.

use std::rc::Rc;

use dandelionpitch_engine::{
    forwarding::{self, Inability},
    refusal::{Code, Refusal},
    session::{Effect, Phase, Session, Transaction},
};
use dandelionpitch_platform::backend::{Answer, Condition, Query, State, Success};

use crate::line::{
    backend::Backend,
    clock,
    shared::Shared,
    traffic::{
        call::{note_failed_attempt, Call, Failure, RETRY_AFTER},
        exchange::{checkout_peer, exchange, release_if_idle},
        transaction::{
            fail_transaction, refusal_for_failure, refusal_without_answer, set_pinned_variables,
            Endpoint, Pinned,
        },
    },
};

/// The outcome of forwarding a statement.
pub enum Outcome {
    Answered(Result<Success, Refusal>),
    /// No owner could be reached; the statement was not sent.
    NoOwner,
}

/// Runs a statement outside a transaction on the first of `peers` that accepts it.
pub async fn run_autocommit(
    shared: &Shared,
    peers: &[Rc<Backend>],
    session: &mut Session,
    call: &Call<'_>,
) -> Outcome {
    let mut last = None;
    let mut attempts = 0;
    let mut inabilities = 0;
    for peer in peers {
        if call.is_expired() || inabilities >= forwarding::MAX_INABILITIES {
            break;
        }
        match forward(shared, peer, session, call).await {
            Ok(success) => return Outcome::Answered(Ok(success)),
            // The statement was not sent: try the next proxy.
            Err(Failure::NotRun(_) | Failure::QueueFull(_)) => {}
            Err(Failure::NoAnswer(why)) if call.effect == Effect::Read => {
                last = Some(call.busy(&why, RETRY_AFTER));
            }
            Err(Failure::NoAnswer(why)) => {
                let why = format!("outcome unknown: {why}");
                return Outcome::Answered(Err(Refusal::new(Code::Unknown, why)));
            }
            Err(Failure::Failed(refusal)) => {
                let inability = note_inability(shared, peer, &refusal, call);
                if inability == Some(Inability::NoServer) {
                    inabilities += 1;
                    last = Some(Refusal::new(Code::Unavailable, refusal.reason));
                    continue;
                }
                if inability == Some(Inability::Starting) {
                    continue;
                }
                attempts += 1;
                // The owner may be partitioned together with this data centre. This proxy has no
                // connections to servers that would show it, so it requests a check, or else the
                // load balancer would keep sending callers here.
                if refusal.code.guarantees_not_run() {
                    shared.failure_signal.notify_one();
                }
                if !forwarding::may_retry(refusal.code, attempts, call.waited(), call.route.target)
                {
                    return Outcome::Answered(Err(refusal));
                }
                last = Some(refusal);
            }
        }
    }
    last.map_or(Outcome::NoOwner, |refusal| Outcome::Answered(Err(refusal)))
}

/// Forwards a statement to one proxy. Every refusal by that proxy is returned as
/// [`Failure::Failed`], even if the statement was not run.
async fn forward(
    shared: &Shared,
    peer: &Rc<Backend>,
    session: &mut Session,
    call: &Call<'_>,
) -> Result<Success, Failure> {
    let checkout = checkout_peer(&shared.peers, peer, session, call).await?;
    shared.metrics.forwarded();
    let requirements = call.requirements(session.floor());
    let asked = clock::now();
    let (answer, checkout) =
        exchange(checkout, peer, call, Condition::Forwarded(&requirements)).await;
    let answer = answer.map_err(|why| {
        note_failed_attempt(&shared.metrics, peer, call, &why);
        shared.peers.note_failure(peer);
        Failure::NoAnswer(why)
    })?;
    release_if_idle(checkout, &answer);
    peer.record_latency(clock::now().since(asked));
    let success = answer.result.map_err(|refusal| {
        note_failed_attempt(&shared.metrics, peer, call, &refusal.to_string());
        Failure::Failed(refusal)
    })?;
    if call.effect == Effect::Write {
        session.committed(answer.position);
    }
    Ok(success)
}

/// Runs a statement of the open transaction on the proxy that ran the transaction's first statement.
/// If it fails, the transaction is rolled back there and marked as failed in `session`.
pub async fn run_in_transaction(
    shared: &Shared,
    peers: &[Rc<Backend>],
    session: &mut Session,
    pinned: &mut Option<Pinned>,
    call: &Call<'_>,
) -> Outcome {
    let Phase::Open(transaction) = session.phase() else {
        let why = "no transaction is open";
        return Outcome::Answered(Err(Refusal::new(Code::Aborted, why)));
    };
    let current = match pinned.take() {
        Some(current) => Some(current),
        None => begin(shared, peers, session, transaction, call).await,
    };
    match current {
        Some(current) => {
            Outcome::Answered(continue_transaction(shared, current, session, pinned, call).await)
        }
        None => Outcome::NoOwner,
    }
}

/// Runs a statement of a transaction that is open on another proxy.
async fn continue_transaction(
    shared: &Shared,
    current: Pinned,
    session: &mut Session,
    pinned: &mut Option<Pinned>,
    call: &Call<'_>,
) -> Result<Success, Refusal> {
    let Phase::Open(transaction) = session.phase() else {
        return Err(Refusal::new(Code::Aborted, "no transaction is open"));
    };
    let Pinned {
        checkout, backend, ..
    } = set_pinned_variables(current, session, call).await?;
    if call.effect == Effect::Write {
        session.sent_write();
    }
    let wrote = transaction.wrote || call.effect == Effect::Write;
    let requirements = call.requirements(session.floor());
    let (answer, checkout) = exchange(
        checkout,
        &backend,
        call,
        Condition::Forwarded(&requirements),
    )
    .await;
    let (answer, checkout) = match (answer, checkout) {
        (Ok(answer), Some(checkout)) => (answer, checkout),
        (answer, _) => {
            let why = answer.err().unwrap_or_default();
            note_failed_attempt(&shared.metrics, &backend, call, &why);
            shared.peers.note_failure(&backend);
            fail_transaction(session, call);
            return Err(refusal_without_answer(call.effect, wrote, &why));
        }
    };
    let current = Pinned {
        checkout,
        backend,
        endpoint: Endpoint::Peer,
    };
    match answer.result {
        Ok(success) if call.effect == Effect::Commit => {
            session.ended();
            if wrote {
                session.committed(answer.position);
            }
            if answer.state == State::Idle {
                current.checkout.release();
            }
            Ok(success)
        }
        Ok(success) => {
            *pinned = Some(current);
            Ok(success)
        }
        Err(refusal) => {
            note_failed_attempt(
                &shared.metrics,
                &current.backend,
                call,
                &refusal.to_string(),
            );
            if refusal.code.guarantees_not_run() {
                shared.failure_signal.notify_one();
            }
            match answer.state {
                State::Idle => current.checkout.release(),
                State::Open | State::Failed => current.roll_back(),
            }
            fail_transaction(session, call);
            Err(refusal_for_failure(call.effect, wrote, refusal))
        }
    }
}

/// Records that `peer` left a statement to other proxies, if its refusal says so.
fn note_inability(
    shared: &Shared,
    peer: &Rc<Backend>,
    refusal: &Refusal,
    call: &Call<'_>,
) -> Option<Inability> {
    let inability = Inability::new(refusal);
    match inability {
        Some(Inability::Starting) => peer.avoid(),
        Some(Inability::NoServer) => shared.peers.note_unable(&call.route.service, peer),
        None => {}
    }
    inability
}

/// Opens the transaction on the first of `peers` that can be reached; `None` if none can be. The peer
/// assigns a backend connection only with the first statement, so `BEGIN` itself is not refused.
async fn begin(
    shared: &Shared,
    peers: &[Rc<Backend>],
    session: &Session,
    transaction: Transaction,
    call: &Call<'_>,
) -> Option<Pinned> {
    for peer in peers {
        if call.is_expired() {
            break;
        }
        // Nothing was sent: try the next proxy.
        let Ok(mut checkout) = checkout_peer(&shared.peers, peer, session, call).await else {
            continue;
        };
        shared.metrics.forwarded();
        let requirements = call.requirements(session.floor());
        let begin = Query::Begin {
            read_only: transaction.read_only,
            condition: Condition::Forwarded(&requirements),
        };
        let request = checkout.connection().link.query(begin);
        // The reasons are also metric labels, up to the first colon, and must not change.
        let answer = tokio::time::timeout(BEGIN_TIMEOUT.min(call.remaining()), request).await;
        if let Ok(Ok(Answer {
            result: Err(refusal),
            ..
        })) = &answer
        {
            if note_inability(shared, peer, refusal, call).is_some() {
                checkout.release();
                continue;
            }
        }
        let why = match answer {
            Ok(Ok(answer)) if answer.result.is_ok() && answer.state == State::Open => {
                return Some(Pinned {
                    checkout,
                    backend: peer.clone(),
                    endpoint: Endpoint::Peer,
                });
            }
            Ok(Ok(answer)) => format!("opened none: {:?}", answer.result.err()),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        note_failed_attempt(&shared.metrics, peer, call, &why);
        shared.peers.note_failure(peer);
    }
    None
}

/// The timeout for another proxy to answer `BEGIN`, for which it needs no server.
const BEGIN_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(250);

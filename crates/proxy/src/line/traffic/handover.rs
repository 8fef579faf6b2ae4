//! Hands a caller's statements to a proxy that holds connections to their group. Which proxies those
//! are is decided by [`engine::ownership`], whether another is tried by [`engine::forwarding`].
//!
//! [`engine::ownership`]: dandelionpitch_engine::ownership
//! [`engine::forwarding`]: dandelionpitch_engine::forwarding

use std::rc::Rc;

use dandelionpitch_engine::{
    forwarding::{self, Requirements},
    refusal::{Code, Refusal},
    session::{Effect, Phase, Session, Transaction},
};
use dandelionpitch_platform::backend::{Condition, Query, State, Success};

use crate::line::{
    backend::Backend,
    clock,
    shared::Shared,
    traffic::{
        call::{note_refused, Call, Failure, COME_BACK},
        exchange::{checkout_peer, exchange, settle},
        transaction::{fail, failed, lost, Holder, Pinned},
    },
};

/// What handing a statement over came to.
pub enum Handed {
    Answered(Result<Success, Refusal>),
    /// No proxy that holds connections could be reached; nothing was sent.
    Nobody,
}

/// Runs a statement outside a transaction on one of `peers`.
pub async fn alone(
    shared: &Shared,
    peers: &[Rc<Backend>],
    session: &mut Session,
    call: &Call<'_>,
) -> Handed {
    let mut last = None;
    let mut offers = 0;
    for peer in peers {
        if call.late() {
            break;
        }
        match offer(shared, peer, session, call).await {
            Ok(success) => return Handed::Answered(Ok(success)),
            // Nothing was sent: the next one is tried at once.
            Err(Failure::NotRun(_) | Failure::Full(_)) => {}
            Err(Failure::Lost(why)) if call.effect == Effect::Read => {
                last = Some(call.busy(&why, COME_BACK));
            }
            Err(Failure::Lost(why)) => {
                let why = format!("outcome unknown: {why}");
                return Handed::Answered(Err(Refusal::new(Code::Unknown, why)));
            }
            Err(Failure::Ran(refusal)) => {
                offers += 1;
                // It may be cut off with this data centre, and this proxy cannot tell by itself: it
                // speaks to no server. Callers would go on coming here for as long as the cut lasts.
                if refusal.code.guarantees_not_run() {
                    shared.failure_signal.notify_one();
                }
                if !forwarding::may_retry(refusal.code, offers, call.waited(), call.route.target) {
                    return Handed::Answered(Err(refusal));
                }
                last = Some(refusal);
            }
        }
    }
    last.map_or(Handed::Nobody, |refusal| Handed::Answered(Err(refusal)))
}

/// Offers a statement to one proxy. [`Failure::Ran`] is its refusal, whatever it says.
async fn offer(
    shared: &Shared,
    peer: &Rc<Backend>,
    session: &mut Session,
    call: &Call<'_>,
) -> Result<Success, Failure> {
    let checkout = checkout_peer(&shared.peers, peer, session, call).await?;
    shared.metrics.handed_over();
    let terms = Requirements::new(call.route, call.waited(), session.floor());
    let asked = clock::now();
    let (answer, checkout) = exchange(checkout, peer, call, Condition::Forwarded(&terms)).await;
    let answer = answer.map_err(|why| {
        note_refused(&shared.metrics, peer, call, &why);
        shared.peers.note_failure(peer);
        Failure::Lost(why)
    })?;
    settle(checkout, &answer);
    peer.took(clock::now().since(asked));
    let success = answer.result.map_err(|refusal| {
        note_refused(&shared.metrics, peer, call, &refusal.to_string());
        Failure::Ran(refusal)
    })?;
    if call.effect == Effect::Write {
        session.committed(answer.position);
    }
    Ok(success)
}

/// Runs a statement of the open transaction, which stays with the proxy that took its first one. On a
/// failure the transaction is over: it is rolled back there, and the session is told.
pub async fn inside(
    shared: &Shared,
    peers: &[Rc<Backend>],
    session: &mut Session,
    pinned: &mut Option<Pinned>,
    call: &Call<'_>,
) -> Handed {
    let Phase::Open(transaction) = session.phase() else {
        let why = "no transaction is open";
        return Handed::Answered(Err(Refusal::new(Code::Aborted, why)));
    };
    let held = match pinned.take() {
        Some(held) => Some(held),
        None => begin(shared, peers, session, transaction, call).await,
    };
    match held {
        Some(held) => Handed::Answered(go_on(shared, held, session, pinned, call).await),
        None => Handed::Nobody,
    }
}

/// Runs a statement of a transaction that another proxy has begun.
async fn go_on(
    shared: &Shared,
    held: Pinned,
    session: &mut Session,
    pinned: &mut Option<Pinned>,
    call: &Call<'_>,
) -> Result<Success, Refusal> {
    let Phase::Open(transaction) = session.phase() else {
        return Err(Refusal::new(Code::Aborted, "no transaction is open"));
    };
    let Pinned {
        checkout, backend, ..
    } = held;
    if call.effect == Effect::Write {
        session.sent_write();
    }
    let wrote = transaction.wrote || call.effect == Effect::Write;
    let terms = Requirements::new(call.route, call.waited(), session.floor());
    let (answer, checkout) = exchange(checkout, &backend, call, Condition::Forwarded(&terms)).await;
    let (answer, checkout) = match (answer, checkout) {
        (Ok(answer), Some(checkout)) => (answer, checkout),
        (answer, _) => {
            let why = answer.err().unwrap_or_default();
            note_refused(&shared.metrics, &backend, call, &why);
            shared.peers.note_failure(&backend);
            fail(session, call);
            return Err(lost(call.effect, wrote, &why));
        }
    };
    let held = Pinned {
        checkout,
        backend,
        holder: Holder::Peer,
    };
    match answer.result {
        Ok(success) if call.effect == Effect::Commit => {
            session.ended();
            if wrote {
                session.committed(answer.position);
            }
            if answer.state == State::Idle {
                held.checkout.release();
            }
            Ok(success)
        }
        Ok(success) => {
            *pinned = Some(held);
            Ok(success)
        }
        Err(refusal) => {
            note_refused(&shared.metrics, &held.backend, call, &refusal.to_string());
            if refusal.code.guarantees_not_run() {
                shared.failure_signal.notify_one();
            }
            match answer.state {
                State::Idle => held.checkout.release(),
                State::Open | State::Failed => held.roll_back(),
            }
            fail(session, call);
            Err(failed(call.effect, wrote, refusal))
        }
    }
}

/// Opens the transaction at the first of `peers` that can be reached; `None` if there is none. It takes
/// a backend connection there with its first statement, so nothing is refused here yet.
async fn begin(
    shared: &Shared,
    peers: &[Rc<Backend>],
    session: &Session,
    transaction: Transaction,
    call: &Call<'_>,
) -> Option<Pinned> {
    for peer in peers {
        if call.late() {
            break;
        }
        // Nothing was sent: the next one is tried at once.
        let Ok(mut checkout) = checkout_peer(&shared.peers, peer, session, call).await else {
            continue;
        };
        shared.metrics.handed_over();
        let terms = Requirements::new(call.route, call.waited(), session.floor());
        let begin = Query::Begin {
            read_only: transaction.read_only,
            condition: Condition::Forwarded(&terms),
        };
        let ask = checkout.connection().link.query(begin);
        let why = match tokio::time::timeout(PEER_ANSWERS.min(call.left()), ask).await {
            Ok(Ok(answer)) if answer.result.is_ok() && answer.state == State::Open => {
                return Some(Pinned {
                    checkout,
                    backend: peer.clone(),
                    holder: Holder::Peer,
                });
            }
            Ok(Ok(answer)) => format!("opened none: {:?}", answer.result.err()),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        note_refused(&shared.metrics, peer, call, &why);
        shared.peers.note_failure(peer);
    }
    None
}

/// How long another proxy may take for what it answers by itself: fifty times a round trip between data
/// centres and the time that its processor share may make it wait.
const PEER_ANSWERS: std::time::Duration = std::time::Duration::from_millis(250);

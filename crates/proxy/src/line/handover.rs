//! Hands a caller's statements to a proxy that holds connections to their group. Which proxies those
//! are is decided by [`engine::ownership`], whether another is tried by [`engine::handover`].
//!
//! [`engine::ownership`]: dandelionpitch_engine::ownership
//! [`engine::handover`]: dandelionpitch_engine::handover

use std::rc::Rc;

use dandelionpitch_engine::{
    handover::{self, Terms},
    refusal::{Code, Refusal},
    session::{Effect, Phase, Session, Transaction},
};
use dandelionpitch_platform::backend::{Condition, Query, State, Success};

use super::{
    backend::Backend,
    call::{note_refused, Call, Failure, COME_BACK},
    clock,
    exchange::{checkout_peer, exchange, settle},
    shared::Shared,
    transaction::{fail, failed, lost, Holder, Pinned},
};

/// Runs a statement outside a transaction on one of `peers`.
pub async fn alone(
    shared: &Shared,
    peers: &[Rc<Backend>],
    session: &mut Session,
    call: &Call<'_>,
) -> Result<Success, Refusal> {
    let mut last = no_peer(call);
    let mut offers = 0;
    for peer in peers {
        if call.late() {
            break;
        }
        match offer(shared, peer, session, call).await {
            Ok(success) => return Ok(success),
            // Nothing was sent: the next one is tried at once.
            Err(Failure::NotRun(refusal) | Failure::Full(refusal)) => last = refusal,
            Err(Failure::Lost(why)) if call.effect == Effect::Read => {
                last = call.busy(&why, COME_BACK);
            }
            Err(Failure::Lost(why)) => {
                let why = format!("outcome unknown: {why}");
                return Err(Refusal::new(Code::Unknown, why));
            }
            Err(Failure::Ran(refusal)) => {
                offers += 1;
                if !handover::offers_again(refusal.code, offers, call.waited(), call.route.target) {
                    return Err(refusal);
                }
                last = refusal;
            }
        }
    }
    Err(last)
}

fn no_peer(call: &Call<'_>) -> Refusal {
    call.busy("no proxy that holds connections can be reached", COME_BACK)
}

/// Offers a statement to one proxy. [`Failure::Ran`] is its refusal, whatever it says.
async fn offer(
    shared: &Shared,
    peer: &Rc<Backend>,
    session: &mut Session,
    call: &Call<'_>,
) -> Result<Success, Failure> {
    let checkout = checkout_peer(peer, session, call).await?;
    shared.metrics.handed_over();
    let terms = Terms::new(call.route, call.waited(), session.floor());
    let asked = clock::now();
    let (answer, checkout) = exchange(checkout, peer, call, Condition::Terms(&terms)).await;
    let answer = answer.map_err(|why| {
        note_refused(&shared.metrics, peer, call, &why);
        peer.avoid();
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
) -> Result<Success, Refusal> {
    let Phase::Open(transaction) = session.phase() else {
        return Err(Refusal::new(Code::Aborted, "no transaction is open"));
    };
    let begun = match pinned.take() {
        Some(held) => Ok(held),
        None => begin(shared, peers, session, transaction, call).await,
    };
    let Pinned {
        checkout, backend, ..
    } = match begun {
        Ok(held) => held,
        Err(refusal) => {
            fail(session, call);
            return Err(refusal);
        }
    };
    if call.effect == Effect::Write {
        session.sent_write();
    }
    let wrote = transaction.wrote || call.effect == Effect::Write;
    let terms = Terms::new(call.route, call.waited(), session.floor());
    let (answer, checkout) = exchange(checkout, &backend, call, Condition::Terms(&terms)).await;
    let (answer, checkout) = match (answer, checkout) {
        (Ok(answer), Some(checkout)) => (answer, checkout),
        (answer, _) => {
            let why = answer.err().unwrap_or_default();
            note_refused(&shared.metrics, &backend, call, &why);
            backend.avoid();
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
            held.roll_back();
            fail(session, call);
            Err(failed(call.effect, wrote, refusal))
        }
    }
}

/// Opens the transaction at the first of `peers` that can be reached. It takes a backend connection
/// there with its first statement, so nothing is refused here yet.
async fn begin(
    shared: &Shared,
    peers: &[Rc<Backend>],
    session: &Session,
    transaction: Transaction,
    call: &Call<'_>,
) -> Result<Pinned, Refusal> {
    let mut last = no_peer(call);
    for peer in peers {
        if call.late() {
            break;
        }
        let mut checkout = match checkout_peer(peer, session, call).await {
            Ok(checkout) => checkout,
            Err(Failure::NotRun(refusal) | Failure::Full(refusal) | Failure::Ran(refusal)) => {
                last = refusal;
                continue;
            }
            Err(Failure::Lost(why)) => {
                last = call.busy(&why, COME_BACK);
                continue;
            }
        };
        shared.metrics.handed_over();
        let terms = Terms::new(call.route, call.waited(), session.floor());
        let begin = Query::Begin {
            read_only: transaction.read_only,
            condition: Condition::Terms(&terms),
        };
        let ask = checkout.connection().link.ask(begin);
        let why = match tokio::time::timeout(PEER_ANSWERS.min(call.left()), ask).await {
            Ok(Ok(answer)) if answer.result.is_ok() && answer.state == State::Open => {
                return Ok(Pinned {
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
        peer.avoid();
        last = call.busy(&why, COME_BACK);
    }
    Err(last)
}

/// How long another proxy may take for what it answers by itself: fifty times a round trip between data
/// centres and the time that its processor share may make it wait.
const PEER_ANSWERS: std::time::Duration = std::time::Duration::from_millis(250);

//! Runs the statements of a transaction on one connection, which it takes with the first of them.

use std::{rc::Rc, time::Duration};

use dandelionpitch_engine::{
    admission::Obstacle,
    catalog::Consistency,
    refusal::{Code, Refusal},
    session::{Effect, Phase, Session, Transaction},
};
use dandelionpitch_platform::backend::{Condition, Query, State, Success};

use crate::line::{
    backend::{pool::loan::Checkout, Backend},
    clock,
    group::Group,
    traffic::{
        call::{note_failure, Call, Failure},
        exchange::{checkout, exchange},
        run,
    },
};

/// How long a connection may take to roll back before it is closed instead.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// The pause before a statement of a transaction that was not run is sent again.
const SEND_AGAIN: Duration = Duration::from_millis(15);

/// How often it is sent again: a server that sheds work has a long queue before it.
const SENDS: usize = 5;

/// The connection of an open transaction.
pub struct Pinned {
    pub checkout: Checkout,
    pub backend: Rc<Backend>,
    pub holder: Holder,
}

/// Whose connection to the backend server a transaction has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// This proxy's, to a server that was known as the primary of `term` when the transaction began.
    Own { term: Option<u64> },
    /// That of another proxy, to which `Pinned` leads.
    Peer,
}

impl Pinned {
    fn term(&self) -> Option<u64> {
        match self.holder {
            Holder::Own { term } => term,
            Holder::Peer => None,
        }
    }

    /// Rolls back in the background and gives the connection back.
    pub fn roll_back(mut self) {
        tokio::task::spawn_local(async move {
            let ask = self.checkout.connection().link.query(Query::Rollback);
            if let Ok(Ok(answer)) = tokio::time::timeout(ROLLBACK_TIMEOUT, ask).await {
                if answer.state == State::Idle {
                    // Whether the server undoes values set inside is not known.
                    self.checkout.connection().unclear = true;
                    self.checkout.release();
                }
            }
        });
    }
}

/// Runs a statement of the open transaction. On a failure the transaction is over: it is rolled
/// back here, and the session is told.
pub async fn inside(
    group: &Rc<Group>,
    session: &mut Session,
    pinned: &mut Option<Pinned>,
    call: &Call<'_>,
) -> Result<Success, Refusal> {
    let Phase::Open(transaction) = session.phase() else {
        return Err(Refusal::new(Code::Aborted, "no transaction is open"));
    };
    let mut held = match pinned.take() {
        Some(held) => held,
        None => match begin(group, session, transaction, call).await {
            Ok(held) => held,
            Err(refusal) => {
                fail(session, call);
                return Err(refusal);
            }
        },
    };
    if call.effect == Effect::Write {
        session.sent_write();
    }
    let wrote = transaction.wrote || call.effect == Effect::Write;
    for send in 1.. {
        let commits = call.effect == Effect::Commit && wrote;
        let term = held.term();
        if commits && (term.is_none() || !group.can_confirm_commits()) {
            held.roll_back();
            fail(session, call);
            let why = "rolled back: no replica could confirm the commit";
            return Err(Refusal::new(Code::Aborted, why));
        }
        let Pinned {
            checkout,
            backend,
            holder,
        } = held;
        let asked = clock::now();
        let sent = exchange(checkout, &backend, call, Condition::Always);
        let (answer, checkout) = match commits {
            true => run::doubting(group, &backend, sent).await,
            false => sent.await,
        };
        let (answer, checkout) = match (answer, checkout) {
            (Ok(answer), Some(checkout)) => (answer, checkout),
            (answer, _) => {
                let why = answer.err().unwrap_or_default();
                note_failure(group, &backend, call, &why);
                fail(session, call);
                return Err(lost(call.effect, wrote, &why));
            }
        };
        held = Pinned {
            checkout,
            backend,
            holder,
        };
        if transaction.read_only || call.effect == Effect::Commit {
            group.note_position(&held.backend, asked, answer.position);
        }
        let refusal = match answer.result {
            Ok(success) => {
                match call.effect {
                    Effect::Commit => {
                        let backend = held.backend;
                        session.ended();
                        if answer.state == State::Idle {
                            held.checkout.release();
                        }
                        if wrote {
                            group.note_write_answered(&backend);
                            let (term, left) = (term.unwrap_or_default(), call.left());
                            if !group
                                .wait_until_durable(&backend, term, answer.position, left)
                                .await
                            {
                                return Err(call.not_kept(group, &backend));
                            }
                            session.committed(answer.position);
                        }
                    }
                    Effect::Read | Effect::Write => *pinned = Some(held),
                }
                return Ok(success);
            }
            Err(refusal) => refusal,
        };
        note_failure(group, &held.backend, call, &refusal.to_string());
        let again = refusal.code == Code::Busy && answer.state == State::Open;
        if again && send < SENDS && call.left() > call.route.timeout / 3 {
            tokio::time::sleep(SEND_AGAIN).await;
            continue;
        }
        if refusal.code == Code::ReadOnly {
            group.clear_leader(&held.backend);
        }
        held.roll_back();
        fail(session, call);
        return Err(failed(call.effect, wrote, refusal));
    }
    unreachable!("the loop ends with an answer")
}

/// The session after a statement failed: after a `COMMIT` no transaction is open.
pub fn fail(session: &mut Session, call: &Call<'_>) {
    match call.effect {
        Effect::Commit => session.ended(),
        Effect::Read | Effect::Write => session.failed(),
    }
}

/// What the caller is told when no answer came. Closing the connection rolls back whatever was not
/// committed, so only the `COMMIT` of a transaction that wrote is in doubt.
pub fn lost(effect: Effect, wrote: bool, why: &str) -> Refusal {
    match effect == Effect::Commit && wrote {
        true => Refusal::new(Code::Unknown, format!("outcome unknown: {why}")),
        false => Refusal::new(Code::Aborted, format!("rolled back: {why}")),
    }
}

/// What the caller is told when the server refused. The transaction is rolled back, so nothing of
/// it is kept, unless a `COMMIT` ran into its failure.
pub fn failed(effect: Effect, wrote: bool, refusal: Refusal) -> Refusal {
    let doubt = effect == Effect::Commit && wrote;
    match refusal.code {
        code if code.guarantees_not_applied() => refusal,
        Code::Syntax | Code::NoStatement => refusal,
        _ if doubt => refusal,
        _ => Refusal::new(Code::Aborted, format!("rolled back: {refusal}")),
    }
}

/// Opens the transaction on a server that holds what its reads must see.
async fn begin(
    group: &Rc<Group>,
    session: &Session,
    transaction: Transaction,
    call: &Call<'_>,
) -> Result<Pinned, Refusal> {
    let mut last = call.busy("no server can take the transaction", SEND_AGAIN);
    let mut obstacle = Obstacle::NoServer;
    let doubtful = call.isolated || group.is_leader_suspect();
    if doubtful && !transaction.read_only && !group.confirm_leader(transaction.started_at).await {
        return Err(call.unconfirmed());
    }
    loop {
        let after = match call.route.consistency {
            Consistency::Latest => group.newest_position(),
            Consistency::Bounded(_) | Consistency::Session(_) => {
                let since = call.since(transaction.started_at);
                match group.required_position(since, session.floor()).await {
                    Some(floor) => Some(floor),
                    None => return Err(call.busy("nothing proves what it must see", SEND_AGAIN)),
                }
            }
        };
        let latest = call.route.consistency == Consistency::Latest;
        let servers = match (latest, transaction.read_only) {
            (true, _) => run::confirmed_leader(group, call).await?,
            (false, true) => group.read_candidates(clock::now()),
            (false, false) => match run::wait_for_leader(group, call).await {
                Some(leader) => vec![leader.backend],
                None => return Err(call.busy("no primary is known", SEND_AGAIN)),
            },
        };
        for backend in servers {
            if call.late() {
                break;
            }
            let mut checkout = match checkout(group, &backend, session, call).await {
                Ok(checkout) => checkout,
                Err(Failure::Full(refusal)) => {
                    obstacle = Obstacle::QueueFull;
                    last = refusal;
                    continue;
                }
                Err(Failure::NotRun(refusal) | Failure::Ran(refusal)) => {
                    last = refusal;
                    continue;
                }
                Err(Failure::Lost(why)) => {
                    last = call.busy(&why, SEND_AGAIN);
                    continue;
                }
            };
            let begin = Query::Begin {
                read_only: transaction.read_only,
                condition: after.map_or(Condition::Always, Condition::After),
            };
            let asked = clock::now();
            let ask = checkout.connection().link.query(begin);
            match tokio::time::timeout(call.left(), ask).await {
                Ok(Ok(answer)) => {
                    let trusted = group.note_position(&backend, asked, answer.position);
                    match answer.result {
                        Ok(_) if latest && !trusted => {
                            last = call.busy("its server does not lead any more", SEND_AGAIN);
                        }
                        Ok(_) if answer.state == State::Open => {
                            let term = group.leader_term(&backend);
                            let holder = Holder::Own { term };
                            return Ok(Pinned {
                                checkout,
                                backend,
                                holder,
                            });
                        }
                        Ok(_) => last = call.busy("the server opened none", SEND_AGAIN),
                        Err(refusal) => {
                            note_failure(group, &backend, call, &refusal.to_string());
                            let lost_log = latest && refusal.code == Code::Lagging;
                            if lost_log || refusal.code == Code::ReadOnly {
                                group.clear_leader(&backend);
                            }
                            if answer.state == State::Idle {
                                checkout.release();
                            }
                            last = call.busy(&refusal.to_string(), SEND_AGAIN);
                        }
                    }
                }
                Ok(Err(error)) => {
                    backend.avoid();
                    last = call.busy(&error.to_string(), SEND_AGAIN);
                }
                Err(_) => {
                    backend.avoid();
                    last = call.busy("no answer in time", SEND_AGAIN);
                }
            }
        }
        if !call.offers_again(obstacle) {
            return Err(last);
        }
        tokio::time::sleep(SEND_AGAIN).await;
    }
}

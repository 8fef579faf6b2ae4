//! Runs the statements of a transaction on one connection, which is assigned with the first of them.

use std::{rc::Rc, time::Duration};

use dandelionpitch_engine::{
    admission::Obstacle,
    catalog::Consistency,
    refusal::{Code, Refusal},
    session::{Effect, Phase, Session, Transaction},
};
use dandelionpitch_platform::backend::{Condition, Query, State, Success};

use crate::line::{
    backend::{pool::checkout::Checkout, Backend},
    clock,
    group::Group,
    traffic::{
        autocommit,
        call::{note_failure, Call, Failure},
        exchange::{checkout, exchange, set_variables},
        lag::{lagging, note_lag, queue_full},
        latest,
    },
};

/// The timeout of a rollback, after which the connection is closed instead.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// The delay before a statement that was not run is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(15);

/// How often a statement is sent to a server that refuses it because of overload.
const MAX_ATTEMPTS: usize = 5;

/// The connection that is pinned to an open transaction.
pub struct Pinned {
    pub checkout: Checkout,
    pub backend: Rc<Backend>,
    pub endpoint: Endpoint,
}

/// What a pinned connection is connected to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// A backend server; `term` is set if it was known as the primary of that term when the transaction
    /// began.
    Server { term: Option<u64> },
    /// Another proxy, which holds the connection to the backend server.
    Peer,
}

impl Pinned {
    fn term(&self) -> Option<u64> {
        match self.endpoint {
            Endpoint::Server { term } => term,
            Endpoint::Peer => None,
        }
    }

    /// Rolls back in the background and returns the connection to the pool.
    pub fn roll_back(mut self) {
        self.checkout.resume();
        tokio::task::spawn_local(async move {
            let request = self.checkout.connection().link.query(Query::Rollback);
            if let Ok(Ok(answer)) = tokio::time::timeout(ROLLBACK_TIMEOUT, request).await {
                if answer.state == State::Idle {
                    // The server may have reverted variables that were set in the transaction.
                    self.checkout.connection().is_dirty = true;
                    self.checkout.release();
                }
            }
        });
    }
}

/// Runs a statement of the open transaction. If it fails, the transaction is rolled back and marked
/// as failed in `session`.
pub async fn run(
    group: &Rc<Group>,
    session: &mut Session,
    pinned: &mut Option<Pinned>,
    call: &Call<'_>,
) -> Result<Success, Refusal> {
    let Phase::Open(transaction) = session.phase() else {
        return Err(Refusal::new(Code::Aborted, "no transaction is open"));
    };
    let mut current = match pinned.take() {
        Some(mut current) => {
            current.checkout.resume();
            set_pinned_variables(current, session, call).await?
        }
        None => match begin(group, session, transaction, call).await {
            Ok(current) => current,
            Err(refusal) => {
                fail_transaction(session, call);
                return Err(refusal);
            }
        },
    };
    if call.effect == Effect::Write {
        session.sent_write();
    }
    let wrote = transaction.wrote || call.effect == Effect::Write;
    for attempt in 1.. {
        let commits = call.effect == Effect::Commit && wrote;
        let term = current.term();
        if commits && (term.is_none() || !group.can_confirm_commits()) {
            current.roll_back();
            fail_transaction(session, call);
            let why = "rolled back: no replica could confirm the commit";
            return Err(Refusal::new(Code::Aborted, why));
        }
        let Pinned {
            checkout,
            backend,
            endpoint,
        } = current;
        let asked = clock::now();
        let sent = exchange(checkout, &backend, call, Condition::Always);
        let (answer, checkout) = match commits {
            true => autocommit::suspect_if_overdue(group, &backend, sent).await,
            false => sent.await,
        };
        let (answer, checkout) = match (answer, checkout) {
            (Ok(answer), Some(checkout)) => (answer, checkout),
            (answer, _) => {
                let why = answer.err().unwrap_or_default();
                note_failure(group, &backend, call, &why);
                fail_transaction(session, call);
                return Err(refusal_without_answer(call.effect, wrote, &why));
            }
        };
        current = Pinned {
            checkout,
            backend,
            endpoint,
        };
        if transaction.read_only || call.effect == Effect::Commit {
            group.note_position(&current.backend, asked, answer.position);
        }
        let refusal = match answer.result {
            Ok(success) => {
                match call.effect {
                    Effect::Commit => {
                        let backend = current.backend;
                        session.ended();
                        if answer.state == State::Idle {
                            current.checkout.release();
                        }
                        if wrote {
                            group.note_write_answered(&backend);
                            let (term, left) = (term.unwrap_or_default(), call.remaining());
                            if !group
                                .wait_until_durable(&backend, term, answer.position, left)
                                .await
                            {
                                return Err(call.commit_unconfirmed(group, &backend));
                            }
                            session.committed(answer.position);
                        }
                    }
                    Effect::Read | Effect::Write => {
                        current.checkout.pause();
                        *pinned = Some(current);
                    }
                }
                return Ok(success);
            }
            Err(refusal) => refusal,
        };
        note_failure(group, &current.backend, call, &refusal.to_string());
        let retryable = refusal.code == Code::Busy && answer.state == State::Open;
        if retryable && attempt < MAX_ATTEMPTS && call.remaining() > call.route.timeout / 3 {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        if refusal.code == Code::ReadOnly {
            group.clear_leader(&current.backend);
        }
        current.roll_back();
        fail_transaction(session, call);
        return Err(refusal_for_failure(call.effect, wrote, refusal));
    }
    unreachable!("the loop ends with an answer")
}

/// Sets the variables that the caller has set since the transaction's last statement. If that fails, the
/// connection is closed, which rolls the transaction back.
pub async fn set_pinned_variables(
    mut current: Pinned,
    session: &mut Session,
    call: &Call<'_>,
) -> Result<Pinned, Refusal> {
    match set_variables(&mut current.checkout, &current.backend, session, call).await {
        Ok(()) => Ok(current),
        Err(why) => {
            fail_transaction(session, call);
            let why = format!("rolled back: {why}");
            Err(Refusal::new(Code::Aborted, why))
        }
    }
}

/// Updates the session after a statement failed. After a failed `COMMIT` no transaction is open.
pub fn fail_transaction(session: &mut Session, call: &Call<'_>) {
    match call.effect {
        Effect::Commit => session.ended(),
        Effect::Read | Effect::Write => session.failed(),
    }
}

/// Returns the refusal for a statement without an answer. Closing the connection rolls back an
/// uncommitted transaction, so the outcome is unknown only for the `COMMIT` of a transaction that
/// wrote.
pub fn refusal_without_answer(effect: Effect, wrote: bool, why: &str) -> Refusal {
    match effect == Effect::Commit && wrote {
        true => Refusal::new(Code::Unknown, format!("outcome unknown: {why}")),
        false => Refusal::new(Code::Aborted, format!("rolled back: {why}")),
    }
}

/// Returns the refusal for a statement that the server refused. The transaction is rolled back and
/// has no effect, unless a `COMMIT` of writes failed while it ran; that refusal is passed on.
pub fn refusal_for_failure(effect: Effect, wrote: bool, refusal: Refusal) -> Refusal {
    let may_be_committed = effect == Effect::Commit && wrote;
    match refusal.code {
        code if code.guarantees_not_applied() => refusal,
        Code::Syntax | Code::NoStatement => refusal,
        _ if may_be_committed => refusal,
        _ => Refusal::new(Code::Aborted, format!("rolled back: {refusal}")),
    }
}

/// Opens the transaction on a server that is fresh enough for its reads.
async fn begin(
    group: &Rc<Group>,
    session: &Session,
    transaction: Transaction,
    call: &Call<'_>,
) -> Result<Pinned, Refusal> {
    let mut last = call.busy("no server is available for the transaction", RETRY_DELAY);
    let mut obstacle = Obstacle::NoServer;
    let needs_confirmation = call.isolated || group.is_leader_suspect();
    if needs_confirmation
        && !transaction.read_only
        && !group.confirm_leader(transaction.started_at).await
    {
        return Err(call.primary_unconfirmed());
    }
    loop {
        let latest = call.route.consistency == Consistency::Latest;
        let (servers, after) = match call.route.consistency {
            Consistency::Latest if transaction.read_only => {
                latest::find(group, call, session.floor()).await?
            }
            Consistency::Latest => {
                let leader = autocommit::confirmed_leader(group, call).await?;
                (leader, group.newest_position())
            }
            Consistency::Bounded(_) | Consistency::Session(_) => {
                let since = call.freshness_bound(transaction.started_at);
                let floor = group.required_position(since, session.floor()).await;
                if floor.is_none() {
                    return Err(call.unavailable("required log position is unknown", RETRY_DELAY));
                }
                let servers = match transaction.read_only {
                    true => group.read_candidates(call.account, floor, clock::now()),
                    false => match autocommit::wait_for_leader(group, call).await {
                        Some(leader) => vec![leader.backend],
                        None => return Err(call.unavailable("no primary is known", RETRY_DELAY)),
                    },
                };
                (servers, floor)
            }
        };
        for backend in servers {
            if call.is_expired() {
                break;
            }
            let Some(_permit) = group.read_permit(&backend, after, call.due()).await else {
                if obstacle == Obstacle::NoServer {
                    last = lagging(group, call, after);
                }
                continue;
            };
            let mut checkout = match checkout(group, &backend, session, call).await {
                Ok(checkout) => checkout,
                Err(Failure::QueueFull(refusal)) => {
                    obstacle = Obstacle::QueueFull;
                    last = queue_full(group, call, after, refusal);
                    continue;
                }
                Err(Failure::NotRun(refusal) | Failure::Failed(refusal)) => {
                    last = refusal;
                    continue;
                }
                Err(Failure::NoAnswer(why)) => {
                    last = call.busy(&why, RETRY_DELAY);
                    continue;
                }
            };
            let begin = Query::Begin {
                read_only: transaction.read_only,
                condition: after.map_or(Condition::Always, Condition::After),
            };
            let asked = clock::now();
            let request = checkout.connection().link.query(begin);
            match tokio::time::timeout(call.remaining(), request).await {
                Ok(Ok(answer)) => {
                    let trusted = group.note_position(&backend, asked, answer.position);
                    note_lag(group, &backend, after, asked, &answer);
                    match answer.result {
                        Ok(_) if latest && !trusted => {
                            last = call.busy("the server is no longer the primary", RETRY_DELAY);
                        }
                        Ok(_) if answer.state == State::Open => {
                            let term = group.leader_term(&backend);
                            let endpoint = Endpoint::Server { term };
                            return Ok(Pinned {
                                checkout,
                                backend,
                                endpoint,
                            });
                        }
                        Ok(_) => last = call.busy("the server opened no transaction", RETRY_DELAY),
                        Err(refusal) => {
                            note_failure(group, &backend, call, &refusal.to_string());
                            let lost_log = latest && refusal.code == Code::Lagging;
                            if lost_log || refusal.code == Code::ReadOnly {
                                group.clear_leader(&backend);
                            }
                            if answer.state == State::Idle {
                                checkout.release();
                            }
                            last = match refusal.code == Code::Lagging && group.predicts_lag() {
                                true => lagging(group, call, after),
                                false => call.busy(&refusal.to_string(), RETRY_DELAY),
                            };
                        }
                    }
                }
                Ok(Err(error)) => {
                    backend.avoid();
                    last = call.busy(&error.to_string(), RETRY_DELAY);
                }
                Err(_) => {
                    backend.avoid();
                    last = call.busy("no answer in time", RETRY_DELAY);
                }
            }
        }
        if !call.may_retry(obstacle) {
            return Err(last);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

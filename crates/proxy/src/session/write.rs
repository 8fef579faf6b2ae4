//! A session's writes and transactions, which run on the primary at most once.

use std::time::Instant;

use dandelionpitch_core::position::Position;
use pgwire::api::results::{Response, Tag};

use super::{
    answer,
    checkout::group,
    connection::{Failure, Pipelined},
    refusal::Refusal,
    Answer, Call, Pinned, Session, State, Transaction, RETRY_DELAY,
};
use crate::route::{Analysis, Kind};

impl Session {
    pub(super) async fn begin(&self, state: &mut State, call: Call<'_>) -> Answer {
        self.shared.metrics.write();
        let mut connection = self.checkout_primary(call).await?;
        let (answer, _) = connection
            .run(call.query, Pipelined::Nothing, call.deadline)
            .await;
        match answer {
            Ok(messages) => {
                state.transaction = Transaction::Open(Box::new(Pinned(connection)));
                Ok(answer::responses(messages, call.analysis))
            }
            Err(Failure::Server(info)) => Err(Refusal::Server(info)),
            Err(Failure::ReadOnly) => Err(not_primary(call.analysis)),
            Err(Failure::Lost(why)) => Err(Refusal::NotRun(why)),
        }
    }

    /// Runs a write outside a transaction. It is retried only if a server refused it because it is
    /// not the primary, and thus has not run it; a write that may have run is never sent again.
    pub(super) async fn write(&self, state: &mut State, call: Call<'_>) -> Answer {
        self.shared.metrics.write();
        let send_deadline = self.send_deadline(call);
        loop {
            let mut connection = self.checkout_primary(call).await?;
            let (answer, position) = connection
                .run(call.query, Pipelined::Position, call.deadline)
                .await;
            match call.analysis.kind {
                // It may have begun a transaction or set session variables.
                Kind::Unparsed => connection.close(),
                _ if !call.analysis.variables.is_empty() => connection.mark_variables_set(),
                _ => {}
            }
            connection.return_to_pool(call.deadline).await;
            state.floor = advance_floor(state.floor, position);
            match answer {
                Ok(messages) => {
                    state.record_variables(&call.analysis.variables);
                    return Ok(answer::responses(messages, call.analysis));
                }
                Err(Failure::Server(info)) => return Err(Refusal::Server(info)),
                Err(Failure::Lost(why)) => return Err(Refusal::Unknown(why)),
                Err(Failure::ReadOnly)
                    if call.analysis.tags.len() == 1 && Instant::now() < send_deadline =>
                {
                    let view = self.shared.view.borrow().clone();
                    self.find_primary(group(&view, call.caller)?, call).await;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                Err(Failure::ReadOnly) => return Err(not_primary(call.analysis)),
            }
        }
    }

    /// Runs a query string on the connection of an open transaction.
    pub(super) async fn run_in_transaction(
        &self,
        state: &mut State,
        mut pinned: Box<Pinned>,
        call: Call<'_>,
    ) -> Answer {
        let pipelined = match call.analysis.kind {
            Kind::Commit | Kind::Script { .. } => Pipelined::Position,
            _ => Pipelined::Nothing,
        };
        if !call.analysis.variables.is_empty() {
            pinned.0.mark_variables_set();
        }
        let (answer, position) = pinned.0.run(call.query, pipelined, call.deadline).await;
        let open_after = match call.analysis.kind {
            Kind::Commit | Kind::Rollback => false,
            Kind::Script { open_after } => open_after,
            _ => true,
        };
        if pipelined == Pipelined::Position {
            state.floor = advance_floor(state.floor, position);
        }
        let script = matches!(call.analysis.kind, Kind::Script { .. });
        let may_have_committed =
            script || matches!(call.analysis.kind, Kind::Commit | Kind::Unparsed);
        match answer {
            Ok(messages) => {
                state.record_variables(&call.analysis.variables);
                match open_after {
                    true => state.transaction = Transaction::Open(pinned),
                    false => pinned.release(call.deadline).await,
                }
                Ok(answer::responses(messages, call.analysis))
            }
            Err(Failure::Server(info)) if !script && open_after => {
                state.transaction = Transaction::Open(pinned);
                Err(Refusal::Server(info))
            }
            Err(Failure::Server(info)) => {
                // The connection's state after a failed script or COMMIT is unknown. Dropping
                // `pinned` closes the connection, and the server rolls back.
                state.transaction = state_after_failure(&call.analysis.kind);
                Err(Refusal::Server(info))
            }
            Err(Failure::ReadOnly) => {
                state.transaction = state_after_failure(&call.analysis.kind);
                Err(not_primary(call.analysis))
            }
            Err(Failure::Lost(why)) => {
                state.transaction = state_after_failure(&call.analysis.kind);
                Err(match may_have_committed {
                    true => Refusal::Unknown(why),
                    false => Refusal::NotRun(format!("{why}; the transaction is rolled back")),
                })
            }
        }
    }
}

/// Answers a query string in a failed transaction: `COMMIT` and `ROLLBACK` end it as a rollback,
/// everything else is refused.
pub(super) fn answer_aborted(state: &mut State, kind: &Kind) -> Answer {
    match kind {
        Kind::Commit | Kind::Rollback => Ok(vec![Response::TransactionEnd(Tag::new("ROLLBACK"))]),
        _ => {
            state.transaction = Transaction::Aborted;
            Err(Refusal::Aborted)
        }
    }
}

/// The transaction state after a query string of this kind failed and the connection was closed.
fn state_after_failure(kind: &Kind) -> Transaction {
    match kind {
        Kind::Commit | Kind::Rollback => Transaction::None,
        _ => Transaction::Aborted,
    }
}

/// The new floor after a write: the higher of the old floor and the write's position. `None` if the
/// position is unknown, so that the next read starts with a barrier.
fn advance_floor(floor: Option<Position>, written: Option<Position>) -> Option<Position> {
    written.map(|written| floor.map_or(written, |floor| floor.max(written)))
}

/// The refusal of a query string in which a server refused a statement because it is not the
/// primary. If there are several statements, those before it may have committed.
pub(super) fn not_primary(analysis: &Analysis) -> Refusal {
    let why = "the server is not the primary".to_owned();
    match analysis.tags.len() {
        1 => Refusal::NotRun(why),
        _ => Refusal::Unknown(why),
    }
}

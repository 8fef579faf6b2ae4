//! A session's writes and transactions: on the primary, at most once.

use std::time::Instant;

use dandelionpitch_core::position::Position;
use pgwire::api::results::{Response, Tag};

use super::{
    answer,
    checkout::group,
    connection::{Along, Failure},
    refusal::Refusal,
    Answer, Call, Pinned, Session, State, Transaction, RETRY_INTERVAL,
};
use crate::route::{Analysis, Kind};

impl Session {
    pub(super) async fn begin(&self, state: &mut State, call: Call<'_>) -> Answer {
        self.shared.metrics.write();
        let mut connection = self.primary(call).await?;
        let (answer, _) = connection
            .run(call.query, Along::Nothing, call.deadline)
            .await;
        match answer {
            Ok(messages) => {
                state.transaction = Transaction::Open(Box::new(Pinned(connection)));
                Ok(answer::responses(messages, call.analysis))
            }
            Err(Failure::Server(info)) => Err(Refusal::Server(info)),
            Err(Failure::ReadOnly) => Err(not_leading(call.analysis)),
            Err(Failure::Lost(why)) => Err(Refusal::NotRun(why)),
        }
    }

    /// Runs a write by itself. A server that does not lead has not run it, so it is offered to
    /// the next primary; once it may have run, it is never sent again.
    pub(super) async fn write(&self, state: &mut State, call: Call<'_>) -> Answer {
        self.shared.metrics.write();
        let give_up = self.give_up(call);
        loop {
            let mut connection = self.primary(call).await?;
            let (answer, position) = connection
                .run(call.query, Along::Position, call.deadline)
                .await;
            match call.analysis.kind {
                // It may have left a transaction or a value behind.
                Kind::Unparsed => connection.close(),
                _ if !call.analysis.variables.is_empty() => connection.mark_customized(),
                _ => {}
            }
            connection.finish(call.deadline).await;
            state.floor = advance(state.floor, position);
            match answer {
                Ok(messages) => {
                    state.keep(&call.analysis.variables);
                    return Ok(answer::responses(messages, call.analysis));
                }
                Err(Failure::Server(info)) => return Err(Refusal::Server(info)),
                Err(Failure::Lost(why)) => return Err(Refusal::Unknown(why)),
                Err(Failure::ReadOnly)
                    if call.analysis.tags.len() == 1 && Instant::now() < give_up =>
                {
                    let view = self.shared.view.borrow().clone();
                    self.search(group(&view, call.caller)?, call).await;
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
                Err(Failure::ReadOnly) => return Err(not_leading(call.analysis)),
            }
        }
    }

    /// Runs a query string on the connection of an open transaction.
    pub(super) async fn inside(
        &self,
        state: &mut State,
        mut pinned: Box<Pinned>,
        call: Call<'_>,
    ) -> Answer {
        let along = match call.analysis.kind {
            Kind::Commit | Kind::Script { .. } => Along::Position,
            _ => Along::Nothing,
        };
        if !call.analysis.variables.is_empty() {
            pinned.0.mark_customized();
        }
        let (answer, position) = pinned.0.run(call.query, along, call.deadline).await;
        let open_after = match call.analysis.kind {
            Kind::Commit | Kind::Rollback => false,
            Kind::Script { open_after } => open_after,
            _ => true,
        };
        if along == Along::Position {
            state.floor = advance(state.floor, position);
        }
        let script = matches!(call.analysis.kind, Kind::Script { .. });
        let may_have_committed =
            script || matches!(call.analysis.kind, Kind::Commit | Kind::Unparsed);
        match answer {
            Ok(messages) => {
                state.keep(&call.analysis.variables);
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
                // What a failed script or COMMIT left behind is not known: the connection is
                // closed with `pinned`, which rolls back.
                state.transaction = after_failure(&call.analysis.kind);
                Err(Refusal::Server(info))
            }
            Err(Failure::ReadOnly) => {
                state.transaction = after_failure(&call.analysis.kind);
                Err(not_leading(call.analysis))
            }
            Err(Failure::Lost(why)) => {
                state.transaction = after_failure(&call.analysis.kind);
                Err(match may_have_committed {
                    true => Refusal::Unknown(why),
                    false => Refusal::NotRun(format!("{why}; the transaction is rolled back")),
                })
            }
        }
    }
}

/// The answer in a transaction that has failed: only its end is accepted, as a rollback.
pub(super) fn aborted(state: &mut State, kind: &Kind) -> Answer {
    match kind {
        Kind::Commit | Kind::Rollback => Ok(vec![Response::TransactionEnd(Tag::new("ROLLBACK"))]),
        _ => {
            state.transaction = Transaction::Aborted;
            Err(Refusal::Aborted)
        }
    }
}

/// The state of a transaction in which a query string of this kind failed for good.
fn after_failure(kind: &Kind) -> Transaction {
    match kind {
        Kind::Commit | Kind::Rollback => Transaction::None,
        _ => Transaction::Aborted,
    }
}

/// The new floor after a write: the write's position, or a barrier when it is unknown.
fn advance(floor: Option<Position>, written: Option<Position>) -> Option<Position> {
    written.map(|written| floor.map_or(written, |floor| floor.max(written)))
}

/// The refusal for a query string of which a server that does not lead refused a statement.
/// Of several statements, those before it may have run and been kept.
pub(super) fn not_leading(analysis: &Analysis) -> Refusal {
    let why = "its server does not lead".to_owned();
    match analysis.tags.len() {
        1 => Refusal::NotRun(why),
        _ => Refusal::Unknown(why),
    }
}

//! A session's reads, which run on a replica that has applied the session's floor and is within the
//! caller's staleness bound, or else on the primary.

use std::time::Instant;

use dandelionpitch_core::position::Position;

use super::{
    answer,
    checkout::group,
    connection::{self, Connection, Failure, Outcome, Pipelined},
    refusal::Refusal,
    write::not_primary,
    Answer, Call, Session, State,
};
use crate::{
    metrics::Target,
    route::{self, Analysis, Criterion},
    view::{Group, Role, Status},
};

impl Session {
    pub(super) async fn read(&self, state: &mut State, call: Call<'_>) -> Answer {
        if !call.caller.max_staleness.is_zero() {
            let floor = self.floor(state, call).await?;
            if let Some(answer) = self.read_unwatched(floor, call).await? {
                return answer;
            }
            if let Some(mut replica) = self.checkout_replica(floor, call).await? {
                self.shared.metrics.read(Target::Replica);
                let (answer, _) = replica
                    .run(call.query, Pipelined::Nothing, call.deadline)
                    .await;
                replica.return_to_pool(call.deadline).await;
                return read_answer(answer, call.analysis);
            }
        }
        self.read_on_primary(state.floor, call).await
    }

    /// Reads on a replica of a group that this proxy does not watch, and requests the replica's
    /// status together with the read. `None` if there is no acceptable replica, or the group is
    /// watched.
    ///
    /// A server whose checkout or status takes longer than `status_timeout` gets no reads from any
    /// session for a cooldown period. Otherwise a frozen replica would block every read until the
    /// caller's timeout.
    async fn read_unwatched(
        &self,
        floor: Position,
        call: Call<'_>,
    ) -> Result<Option<Answer>, Refusal> {
        let view = self.shared.view.borrow().clone();
        let group = group(&view, call.caller)?;
        if group.watched {
            return Ok(None);
        }
        let valid = |status: &Status| {
            let age = status.age(Instant::now());
            let is_replica = status.role == Role::Replica;
            is_replica && status.position.covers(floor) && age <= call.caller.max_staleness
        };
        for index in route::unwatched_candidates(group, Instant::now()) {
            let server = &group.servers[index];
            let Some(mut replica) = self.try_checkout(server, call).await else {
                server.cooldown.start();
                continue;
            };
            let limit = self.shared.status_timeout;
            let checked = replica
                .run_checked(call.query, limit, call.deadline, valid)
                .await;
            replica.return_to_pool(call.deadline).await;
            match checked {
                Outcome::Valid(answer) => {
                    self.shared.metrics.read(Target::Replica);
                    return Ok(Some(read_answer(answer, call.analysis)));
                }
                Outcome::Invalid => {}
                Outcome::Unresponsive => server.cooldown.start(),
            }
        }
        Ok(None)
    }

    /// Reads on the primary, and returns the rows only if a barrier confirms that it is still
    /// primary: the rows of a partitioned one may lack writes that its successor acknowledged (see
    /// [`crate::backend::barrier`]).
    async fn read_on_primary(&self, floor: Option<Position>, call: Call<'_>) -> Answer {
        self.shared.metrics.read(Target::Primary);
        let mut connection = self.checkout_primary(call).await?;
        let (answer, barrier) = connection
            .run(call.query, Pipelined::Barrier, call.deadline)
            .await;
        match barrier {
            Some(position) if position.covers(floor.unwrap_or_default()) => {
                connection.return_to_pool(call.deadline).await;
                read_answer(answer, call.analysis)
            }
            _ => {
                connection.close();
                let why = "the server did not confirm that it is the primary".to_owned();
                Err(Refusal::Unknown(why))
            }
        }
    }

    /// The session's floor. If there is none yet, it is initialised with a barrier on the primary.
    async fn floor(&self, state: &mut State, call: Call<'_>) -> Result<Position, Refusal> {
        if let Some(floor) = state.floor {
            return Ok(floor);
        }
        let mut connection = self.checkout_primary(call).await?;
        let send_deadline = self.send_deadline(call);
        let barrier = connection.barrier(send_deadline).await;
        connection.return_to_pool(call.deadline).await;
        let floor = barrier.map_err(|why| {
            Refusal::NotRun(format!(
                "the server did not confirm that it is the primary: {why}"
            ))
        })?;
        state.floor = Some(floor);
        Ok(floor)
    }

    /// Checks out a connection to a replica that has applied `floor` and is within the caller's
    /// staleness bound, if there is one.
    async fn checkout_replica(
        &self,
        floor: Position,
        call: Call<'_>,
    ) -> Result<Option<Connection>, Refusal> {
        let view = self.shared.view.borrow().clone();
        let group = group(&view, call.caller)?;
        let staleness = call.caller.max_staleness;
        if let Some(index) = route::select_replica(group, Criterion::Floor(floor), staleness) {
            // If the checkout fails, another server may still serve the read.
            if let Ok(connection) = self.checkout(&group.servers[index], call).await {
                return Ok(Some(connection));
            }
        }
        Ok(self.checkout_verified_replica(group, floor, call).await)
    }

    /// Checks out a connection to a replica that confirms it has applied `floor`. It has usually
    /// done so before its polled status shows it, so the round trip saves a read on the primary.
    async fn checkout_verified_replica(
        &self,
        group: &Group,
        floor: Position,
        call: Call<'_>,
    ) -> Option<Connection> {
        let index = route::select_replica(group, Criterion::Staleness, call.caller.max_staleness)?;
        let mut connection = self.checkout(&group.servers[index], call).await.ok()?;
        let applied = connection.position(call.deadline).await?;
        if applied.covers(floor) {
            return Some(connection);
        }
        connection.return_to_pool(call.deadline).await;
        None
    }
}

fn read_answer(answer: connection::Answer, analysis: &Analysis) -> Answer {
    match answer {
        Ok(messages) => Ok(answer::responses(messages, analysis)),
        Err(Failure::Server(info)) => Err(Refusal::Server(info)),
        Err(Failure::ReadOnly) => Err(not_primary(analysis)),
        Err(Failure::Lost(why)) => Err(Refusal::Unknown(why)),
    }
}

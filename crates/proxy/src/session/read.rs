//! Where a session's reads go: to a replica that holds the session's floor and is fresh enough,
//! else to the primary.

use std::time::Instant;

use dandelionpitch_core::position::Position;

use super::{
    answer,
    checkout::group,
    connection::{self, Along, Checked, Connection, Failure},
    refusal::Refusal,
    write::not_leading,
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
            if let Some(mut replica) = self.replica(floor, call).await? {
                self.shared.metrics.read(Target::Replica);
                let (answer, _) = replica.run(call.query, Along::Nothing, call.deadline).await;
                replica.finish(call.deadline).await;
                return read_answer(answer, call.analysis);
            }
        }
        self.read_on_primary(state.floor, call).await
    }

    /// Reads on a replica of a group this proxy does not watch: each is asked for its status
    /// along with the read, and the next one is tried if that is not good enough. `None` when
    /// there is no such replica, or the group is watched.
    ///
    /// Failure: a frozen replica, of which this proxy has no status, would hold every read
    /// until the caller's timeout. Guard: a connection and the status must come within
    /// `status_timeout` each, and a server that did not give them is left alone for a while by
    /// all sessions.
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
        let fit = |status: &Status| {
            let age = status.age(Instant::now());
            let replica = status.role == Role::Replica;
            replica && status.position.covers(floor) && age <= call.caller.max_staleness
        };
        for index in route::unwatched_candidates(group, Instant::now()) {
            let server = &group.servers[index];
            let Some(mut replica) = self.checkout_soon(server, call).await else {
                server.cooldown.start();
                continue;
            };
            let limit = self.shared.status_timeout;
            let checked = replica
                .run_checked(call.query, limit, call.deadline, fit)
                .await;
            replica.finish(call.deadline).await;
            match checked {
                Checked::Fit(answer) => {
                    self.shared.metrics.read(Target::Replica);
                    return Ok(Some(read_answer(answer, call.analysis)));
                }
                Checked::Unfit => {}
                Checked::Silent => server.cooldown.start(),
            }
        }
        Ok(None)
    }

    /// Reads on the primary, and passes the rows on only if it was confirmed to lead.
    ///
    /// Failure: a primary cut off with its data centre still believes it leads, and its rows
    /// lack writes its successor acknowledged. Guard: see [`crate::backend::barrier`].
    async fn read_on_primary(&self, floor: Option<Position>, call: Call<'_>) -> Answer {
        self.shared.metrics.read(Target::Primary);
        let mut connection = self.primary(call).await?;
        let (answer, barrier) = connection
            .run(call.query, Along::Barrier, call.deadline)
            .await;
        match barrier {
            Some(position) if position.covers(floor.unwrap_or_default()) => {
                connection.finish(call.deadline).await;
                read_answer(answer, call.analysis)
            }
            _ => {
                connection.close();
                let why = "the server did not confirm that it leads".to_owned();
                Err(Refusal::Unknown(why))
            }
        }
    }

    /// The position the session's reads must see: its own, or a barrier on the primary.
    async fn floor(&self, state: &mut State, call: Call<'_>) -> Result<Position, Refusal> {
        if let Some(floor) = state.floor {
            return Ok(floor);
        }
        let mut connection = self.primary(call).await?;
        let give_up = self.give_up(call);
        let barrier = connection.barrier(give_up).await;
        connection.finish(call.deadline).await;
        let floor = barrier.map_err(|why| {
            Refusal::NotRun(format!("the primary did not confirm that it leads: {why}"))
        })?;
        state.floor = Some(floor);
        Ok(floor)
    }

    /// A connection to a replica that has applied `floor` and is within the caller's
    /// staleness, if there is one.
    async fn replica(
        &self,
        floor: Position,
        call: Call<'_>,
    ) -> Result<Option<Connection>, Refusal> {
        let view = self.shared.view.borrow().clone();
        let group = group(&view, call.caller)?;
        let staleness = call.caller.max_staleness;
        if let Some(index) = route::select_replica(group, Criterion::Floor(floor), staleness) {
            // A replica that has just gone is no reason to fail a read another server can run.
            if let Ok(connection) = self.checkout(&group.servers[index], call).await {
                return Ok(Some(connection));
            }
        }
        Ok(self.checked_replica(group, floor, call).await)
    }

    /// A replica connection whose own position, read just now, covers `floor`.
    ///
    /// The polled status lags the replicas by up to one status period, so a floor taken from
    /// the primary a moment ago is usually applied already though the view does not show it.
    /// Asking the replica costs one round trip there instead of a read on the primary.
    async fn checked_replica(
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
        connection.finish(call.deadline).await;
        None
    }
}

fn read_answer(answer: connection::Answer, analysis: &Analysis) -> Answer {
    match answer {
        Ok(messages) => Ok(answer::responses(messages, analysis)),
        Err(Failure::Server(info)) => Err(Refusal::Server(info)),
        Err(Failure::ReadOnly) => Err(not_leading(analysis)),
        Err(Failure::Lost(why)) => Err(Refusal::Unknown(why)),
    }
}

//! How a session gets a backend connection, and the group's primary.

use std::time::Instant;

use dandelionpitch_core::bundle::Caller;
use deadpool_postgres::Pool;
use futures::future::join_all;
use tokio_util::sync::CancellationToken;

use super::{connection::Connection, refusal::Refusal, Call, Session, RETRY_INTERVAL};
use crate::view::{Group, Role, Server, Status, View};

impl Session {
    pub(super) async fn checkout(
        &self,
        server: &Server,
        call: Call<'_>,
    ) -> Result<Connection, String> {
        self.take(&server.pool, &CancellationToken::new(), call)
            .await
    }

    /// As [`Session::checkout`], for a server that may not answer: within `status_timeout`.
    pub(super) async fn checkout_soon(
        &self,
        server: &Server,
        call: Call<'_>,
    ) -> Option<Connection> {
        let checkout = self.checkout(server, call);
        let limited = tokio::time::timeout(self.shared.status_timeout, checkout).await;
        limited.ok()?.ok()
    }

    async fn take(
        &self,
        pool: &Pool,
        superseded: &CancellationToken,
        call: Call<'_>,
    ) -> Result<Connection, String> {
        let started = Instant::now();
        let limit = self.give_up(call);
        let checkout = Connection::checkout(pool, superseded);
        let connection = tokio::time::timeout_at(limit.into(), checkout).await;
        self.shared
            .metrics
            .pool_wait(started.elapsed().as_secs_f64());
        let late = |_| Err("no backend connection in time".to_owned());
        let mut connection = connection.unwrap_or_else(late)?;
        connection.customize(call.variables, limit).await?;
        Ok(connection)
    }

    /// Asks the servers of a group that is not watched which of them leads.
    pub(super) async fn search(&self, group: &Group, call: Call<'_>) {
        if group.watched || !group.discovery.try_begin_search(Instant::now()) {
            return;
        }
        let asked = group.servers.iter().map(|server| async move {
            let status = self.ask(server, call).await?;
            (status.role == Role::Primary).then_some((server.address, status.term))
        });
        for (server, term) in join_all(asked).await.into_iter().flatten() {
            group.discovery.report(server, term);
        }
    }

    async fn ask(&self, server: &Server, call: Call<'_>) -> Option<Status> {
        let mut connection = self.checkout_soon(server, call).await?;
        let status = connection.status(self.shared.status_timeout).await;
        connection.finish(call.deadline).await;
        status
    }

    /// When a statement that has not been sent yet is refused.
    pub(super) fn give_up(&self, call: Call<'_>) -> Instant {
        call.deadline
            .min(Instant::now() + self.shared.acquire_timeout)
    }

    /// A connection to the group's primary; while there is none, waits for one to be promoted.
    pub(super) async fn primary(&self, call: Call<'_>) -> Result<Connection, Refusal> {
        let give_up = self.give_up(call);
        let mut views = self.shared.view.clone();
        loop {
            let view = views.borrow_and_update().clone();
            let group = group(&view, call.caller)?;
            let why = match group.primary(Instant::now()) {
                Some(index) => {
                    let server = &group.servers[index];
                    match self.take(&server.pool, &server.superseded, call).await {
                        Ok(connection) => return Ok(connection),
                        Err(why) => why,
                    }
                }
                None => format!("group {} has no primary", call.caller.group),
            };
            if Instant::now() >= give_up {
                return Err(Refusal::NotRun(why));
            }
            self.search(group, call).await;
            // A new view, or a while: a connection may be had later though nothing changed.
            let again = give_up.min(Instant::now() + RETRY_INTERVAL);
            let _ = tokio::time::timeout_at(again.into(), views.changed()).await;
        }
    }
}

/// The caller's group, as the view has it.
pub(super) fn group<'a>(view: &'a View, caller: &Caller) -> Result<&'a Group, Refusal> {
    view.groups
        .get(&caller.group)
        .ok_or_else(|| Refusal::NotRun(format!("group {} is not ready", caller.group)))
}

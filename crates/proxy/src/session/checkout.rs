//! Checkout of backend connections, and discovery of a group's primary.

use std::time::Instant;

use dandelionpitch_core::bundle::Caller;
use deadpool_postgres::Pool;
use futures::future::join_all;
use tokio_util::sync::CancellationToken;

use super::{connection::Connection, refusal::Refusal, Call, Session, RETRY_DELAY};
use crate::view::{Group, Role, Server, Status, View};

impl Session {
    /// Checks out a connection to `server`, with the session's variables set.
    pub(super) async fn checkout(
        &self,
        server: &Server,
        call: Call<'_>,
    ) -> Result<Connection, String> {
        self.checkout_from(&server.pool, &CancellationToken::new(), call)
            .await
    }

    /// Like [`Session::checkout`], but waits at most `status_timeout`, for a server that may be
    /// unresponsive.
    pub(super) async fn try_checkout(&self, server: &Server, call: Call<'_>) -> Option<Connection> {
        let checkout = self.checkout(server, call);
        let limited = tokio::time::timeout(self.shared.status_timeout, checkout).await;
        limited.ok()?.ok()
    }

    async fn checkout_from(
        &self,
        pool: &Pool,
        superseded: &CancellationToken,
        call: Call<'_>,
    ) -> Result<Connection, String> {
        let started = Instant::now();
        let limit = self.send_deadline(call);
        let checkout = Connection::checkout(pool, superseded);
        let connection = tokio::time::timeout_at(limit.into(), checkout).await;
        self.shared
            .metrics
            .pool_wait(started.elapsed().as_secs_f64());
        let timed_out = |_| Err("timed out waiting for a backend connection".to_owned());
        let mut connection = connection.unwrap_or_else(timed_out)?;
        connection.set_variables(call.variables, limit).await?;
        Ok(connection)
    }

    /// Asks the servers of a group that this proxy does not watch which of them is primary, unless
    /// another session has done so recently.
    pub(super) async fn find_primary(&self, group: &Group, call: Call<'_>) {
        if group.watched || !group.discovery.try_begin_search(Instant::now()) {
            return;
        }
        let primaries = group.servers.iter().map(|server| async move {
            let status = self.request_status(server, call).await?;
            (status.role == Role::Primary).then_some((server.address, status.term))
        });
        for (server, term) in join_all(primaries).await.into_iter().flatten() {
            group.discovery.report(server, term);
        }
    }

    async fn request_status(&self, server: &Server, call: Call<'_>) -> Option<Status> {
        let mut connection = self.try_checkout(server, call).await?;
        let status = connection.status(self.shared.status_timeout).await;
        connection.return_to_pool(call.deadline).await;
        status
    }

    /// The time at which a statement that has not been sent to a server is refused.
    pub(super) fn send_deadline(&self, call: Call<'_>) -> Instant {
        call.deadline
            .min(Instant::now() + self.shared.acquire_timeout)
    }

    /// Checks out a connection to the group's primary, retrying until there is a primary with a
    /// free connection or the send deadline has passed.
    pub(super) async fn checkout_primary(&self, call: Call<'_>) -> Result<Connection, Refusal> {
        let send_deadline = self.send_deadline(call);
        let mut views = self.shared.view.clone();
        loop {
            let view = views.borrow_and_update().clone();
            let group = group(&view, call.caller)?;
            let why = match group.primary(Instant::now()) {
                Some(index) => {
                    let server = &group.servers[index];
                    match self
                        .checkout_from(&server.pool, &server.superseded, call)
                        .await
                    {
                        Ok(connection) => return Ok(connection),
                        Err(why) => why,
                    }
                }
                None => format!("group {} has no primary", call.caller.group),
            };
            if Instant::now() >= send_deadline {
                return Err(Refusal::NotRun(why));
            }
            self.find_primary(group, call).await;
            // Retry periodically: a connection may become available without a new view.
            let next_try = send_deadline.min(Instant::now() + RETRY_DELAY);
            let _ = tokio::time::timeout_at(next_try.into(), views.changed()).await;
        }
    }
}

/// Looks up the caller's group in the view.
pub(super) fn group<'a>(view: &'a View, caller: &Caller) -> Result<&'a Group, Refusal> {
    view.groups
        .get(&caller.group)
        .ok_or_else(|| Refusal::NotRun(format!("group {} is not ready", caller.group)))
}

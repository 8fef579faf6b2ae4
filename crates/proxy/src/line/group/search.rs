//! Finds the leader of a group by requesting the statuses of all its servers.

use std::{rc::Rc, time::Duration};

use dandelionpitch_engine::{registry::Role, takeover::Status};
use futures::{stream::FuturesUnordered, StreamExt};
use serde_json::json;
use tokio::time::timeout;

use super::{Group, Leader};

use crate::line::{backend::Backend, clock, journal};

/// The least time between the starts of two searches.
const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(150);

/// The timeout for each answer but the last, longer than that of a status request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// The timeout for the last answer. Covers a status request in a queue of typical length.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

impl Group {
    /// Searches for the leader, at most once per `MIN_SEARCH_INTERVAL`, and waits for the result.
    pub async fn find_leader(self: &Rc<Self>) {
        self.spawn_search();
        self.search.finished.notified().await;
    }

    /// Starts a search in the background unless one is running.
    pub(super) fn spawn_search(self: &Rc<Self>) {
        if !self.search.try_start() {
            return;
        }
        let group = self.clone();
        tokio::task::spawn_local(async move {
            let delay = clock::now().until(group.last_search.get() + MIN_SEARCH_INTERVAL);
            tokio::time::sleep(delay).await;
            let asked = clock::now();
            group.last_search.set(asked);
            group.start_round(asked);
            let statuses = group.request_statuses().await;
            group.apply_statuses(&statuses);
            group.search.finish();
            group.quorum.changed.notify_waiters();
        });
    }

    /// Requests the statuses of all servers, and returns those that arrive in time. The timeout for the
    /// last one is short, as a server that does not answer is often the reason for the search.
    async fn request_statuses(&self) -> Vec<(Rc<Backend>, Status)> {
        let servers = self.servers();
        let all_but_one = servers.len().saturating_sub(1);
        let ask = |backend: Rc<Backend>| async move {
            let status = backend.status().await;
            (backend, status)
        };
        let mut answers: FuturesUnordered<_> = servers.into_iter().map(ask).collect();
        let mut found = Vec::new();
        loop {
            let answer_timeout = match found.len() >= all_but_one {
                true => LAST_ANSWER_TIMEOUT,
                false => ANSWER_TIMEOUT,
            };
            match timeout(answer_timeout, answers.next()).await {
                Ok(Some((backend, Ok(status)))) => {
                    self.note_answer(&backend, &status);
                    found.push((backend, status));
                }
                // `Backend::status` has already handled the error.
                Ok(Some((_, Err(_)))) => {}
                Ok(None) | Err(_) => return found,
            }
        }
    }

    /// Forgets the leader if it reports that it is a replica. No server has a higher term until
    /// another one is promoted, so a replica that was not paused could still renew the old leader's
    /// lease, and reads on the old leader would miss the commits of its successor.
    fn clear_demoted_leader(&self, statuses: &[(Rc<Backend>, Status)]) {
        for (backend, status) in statuses {
            if status.role != Role::Primary {
                self.clear_leader(backend);
            }
        }
    }

    /// Makes the primary with the highest term the known leader, if its term is higher than that of the
    /// leader known before.
    fn apply_statuses(&self, statuses: &[(Rc<Backend>, Status)]) {
        let best = statuses
            .iter()
            .filter(|(_, status)| status.role == Role::Primary)
            .max_by_key(|(_, status)| status.term);
        self.clear_demoted_leader(statuses);
        let known = self.leader.borrow().clone();
        let Some((backend, status)) = best else {
            return;
        };
        let newer = match &known {
            Some(leader) => status.term > leader.term,
            None => true,
        };
        if !newer {
            return;
        }
        journal::write(
            "leader",
            json!({ "service": self.name, "server": backend.server.id(), "term": status.term,
                "asked": statuses.len(), "before": known.map(|l| l.backend.server.incarnation.clone()) }),
        );
        self.revoke_lease();
        self.leader_suspect.set(false);
        self.watermarks
            .borrow_mut()
            .note_leader_position(status.received);
        *self.leader.borrow_mut() = Some(Leader {
            backend: backend.clone(),
            term: status.term,
        });
    }
}

//! Asks a group's servers which of them leads.

use std::{rc::Rc, time::Duration};

use dandelionpitch_engine::{registry::Role, takeover::Status};
use futures::{stream::FuturesUnordered, StreamExt};
use serde_json::json;
use tokio::time::timeout;

use super::{Group, Leader};

use crate::line::{backend::Backend, clock, journal};

/// The least time between two searches for the primary.
const SEARCH_GAP: Duration = Duration::from_millis(150);

/// How long a search waits for the next of several answers: longer than a status may take.
const STATUS_LIMIT: Duration = Duration::from_millis(500);

/// How long a search waits for the last answer: a status behind a queue of usual length.
const LAST_STATUS: Duration = Duration::from_millis(100);

impl Group {
    /// Asks all servers which of them leads, at most every [`SEARCH_GAP`].
    pub async fn find_leader(self: &Rc<Self>) {
        self.search_ahead();
        self.search.finished.notified().await;
    }

    pub(super) fn search_ahead(self: &Rc<Self>) {
        if !self.search.try_start() {
            return;
        }
        let group = self.clone();
        tokio::task::spawn_local(async move {
            let wait = clock::now().until(group.searched.get() + SEARCH_GAP);
            tokio::time::sleep(wait).await;
            let asked = clock::now();
            let statuses = group.statuses().await;
            group.searched.set(clock::now());
            group.adopt(&statuses);
            group.note_survey(asked, &statuses);
            group.search.finish();
        });
    }

    /// The statuses of all servers that answer. The last one is not waited for long: it is the one
    /// that the search is about, or one that is out of reach.
    async fn statuses(&self) -> Vec<(Rc<Backend>, Status)> {
        let servers = self.servers();
        let all_but_one = servers.len().saturating_sub(1);
        let ask = |backend: Rc<Backend>| async move {
            let status = backend.status().await;
            (backend, status)
        };
        let mut asked: FuturesUnordered<_> = servers.into_iter().map(ask).collect();
        let mut found = Vec::new();
        loop {
            let patience = match found.len() >= all_but_one {
                true => LAST_STATUS,
                false => STATUS_LIMIT,
            };
            match timeout(patience, asked.next()).await {
                Ok(Some((backend, Ok(status)))) => found.push((backend, status)),
                // Its reason was noted where it was asked.
                Ok(Some((_, Err(_)))) => {}
                Ok(None) | Err(_) => return found,
            }
        }
    }

    /// Takes the known primary's own word that it does not lead.
    ///
    /// Failure: it has stepped down and nobody is promoted yet, so none has a higher term; it stays the
    /// known primary, a replica that was not held renews its lease, and reads there miss what its
    /// successor acknowledges. Guard: whoever says that it is a replica is none.
    fn depose_deniers(&self, statuses: &[(Rc<Backend>, Status)]) {
        for (backend, status) in statuses {
            if status.role != Role::Primary {
                self.clear_leader(backend);
            }
        }
    }

    fn adopt(&self, statuses: &[(Rc<Backend>, Status)]) {
        let best = statuses
            .iter()
            .filter(|(_, status)| status.role == Role::Primary)
            .max_by_key(|(_, status)| status.term);
        self.depose_deniers(statuses);
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
        self.revoke();
        self.doubted.set(false);
        self.marks
            .borrow_mut()
            .note_leader_position(status.received);
        *self.leader.borrow_mut() = Some(Leader {
            backend: backend.clone(),
            term: status.term,
        });
    }
}

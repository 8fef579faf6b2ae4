//! Writes the answers to a caller or another proxy.

use dandelionpitch_engine::{refusal::Refusal, time::Moment};
use dandelionpitch_platform::{
    backend::Success,
    caller::{self, Ready},
    line, quota,
};
use serde_json::json;
use tokio::io::AsyncWriteExt;

use super::{Origin, Session, WRITE_TIMEOUT};
use crate::line::{clock, journal, traffic::feed};

impl Session {
    /// The session state that is reported with each answer.
    pub(super) fn ready(&self) -> Ready {
        let position = match self.origin {
            Origin::Caller => None,
            Origin::Peer => self.state.floor(),
        };
        Ready {
            phase: self.state.phase(),
            position,
        }
    }

    /// Appends the answer to a statement to the output; counts it, and logs refusals and answers that
    /// exceed the route's target.
    pub(super) fn write_answer(
        &mut self,
        id: &str,
        arrived: Moment,
        result: Result<Option<Success>, Refusal>,
    ) {
        let ready = self.ready();
        let metrics = &self.shared.metrics;
        match &result {
            Ok(Some(success)) => caller::write_success(&mut self.out, success, ready),
            Ok(None) => caller::write_done(&mut self.out, ready),
            Err(refusal) => {
                match self.origin {
                    Origin::Caller => caller::write_refusal(&mut self.out, refusal, ready),
                    Origin::Peer => {
                        let told = self.shared.breakers.for_forwarding_proxy(refusal.clone());
                        caller::write_refusal(&mut self.out, &told, ready);
                    }
                }
                journal::write(
                    "refused",
                    json!({ "id": id, "database": self.database, "code": refusal.code.to_string(),
                        "why": refusal.reason, "version": self.shared.view.borrow().version(),
                        "after_ms": clock::now().since(arrived).as_millis() as u64 }),
                );
            }
        }
        if self.origin == Origin::Peer {
            // Counted by the proxy that forwarded it.
            return;
        }
        metrics.statement(result.is_ok());
        let outcome = match &result {
            Ok(_) => "ok".to_owned(),
            Err(refusal) => refusal.code.to_string(),
        };
        let route = self.route.as_ref().map_or("none", |route| &route.name);
        let seconds = clock::now().since(arrived).as_secs_f64();
        metrics.answer(route, &outcome, seconds);
        let target = self.route.as_ref().map(|route| route.target);
        if result.is_ok() && target.is_some_and(|target| seconds > target.as_secs_f64()) {
            journal::write(
                "late",
                json!({ "id": id, "route": route, "database": self.database,
                    "after_ms": clock::now().since(arrived).as_millis() as u64 }),
            );
        }
    }

    /// Answers a request for changes of the store. Returns `false` during a graceful shutdown, so that
    /// the other proxy uses another source.
    pub(super) async fn answer_feed(&mut self, line: &[u8]) -> bool {
        if self.shared.stop.shutdown_token().is_cancelled() {
            return false;
        }
        let ready = self.ready();
        feed::respond(&self.shared.mirror, line, ready, &mut self.out).await;
        self.flush().await
    }

    /// Answers a request for quota permits; returns whether the session goes on, or `None` if the
    /// message is not such a request.
    pub(super) async fn answer_quota(&mut self, message: &[u8]) -> Option<bool> {
        let request = line::to_str(message).ok().and_then(quota::Request::parse)?;
        let rows = self.shared.quota.respond(request);
        self.out.extend_from_slice(rows.as_bytes());
        let ready = self.ready();
        caller::write_done(&mut self.out, ready);
        Some(self.flush().await)
    }

    /// Sends the output; returns `false` if that fails or times out.
    pub(super) async fn flush(&mut self) -> bool {
        let write = self.writer.write_all(&self.out);
        let written = matches!(tokio::time::timeout(WRITE_TIMEOUT, write).await, Ok(Ok(())));
        self.out.clear();
        self.out.shrink_to(line::MAX_LINE_BYTES / 64);
        written
    }
}

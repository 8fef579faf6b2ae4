//! What a caller, or another proxy, is told.

use dandelionpitch_engine::{refusal::Refusal, time::Moment};
use dandelionpitch_platform::{
    backend::Success,
    caller::{self, Ready},
    line,
};
use serde_json::json;
use tokio::io::AsyncWriteExt;

use super::{Origin, Session, WRITE_TIMEOUT};
use crate::line::{clock, journal, traffic::feed};

impl Session {
    /// Where the session stands, as the other end is told.
    pub(super) fn stand(&self) -> Ready {
        let position = match self.origin {
            Origin::Caller => None,
            Origin::Peer => self.state.floor(),
        };
        Ready {
            phase: self.state.phase(),
            position,
        }
    }

    /// Writes the answer to a statement, counts it and notes what went wrong.
    pub(super) fn answer(
        &mut self,
        id: &str,
        arrived: Moment,
        result: Result<Option<Success>, Refusal>,
    ) {
        let stand = self.stand();
        let metrics = &self.shared.metrics;
        match &result {
            Ok(Some(success)) => caller::write_success(&mut self.out, success, stand),
            Ok(None) => caller::write_done(&mut self.out, stand),
            Err(refusal) => {
                caller::write_refusal(&mut self.out, refusal, stand);
                journal::write(
                    "refused",
                    json!({ "id": id, "database": self.database, "code": refusal.code.to_string(),
                        "why": refusal.reason, "version": self.shared.view.borrow().version(),
                        "after_ms": clock::now().since(arrived).as_millis() as u64 }),
                );
            }
        }
        if self.origin == Origin::Peer {
            // The proxy that has the caller counts it.
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

    /// Answers another proxy that asks what changed in the store. A process that stops sends it elsewhere.
    pub(super) async fn tell_changes(&mut self, line: &[u8]) -> bool {
        if self.shared.stop.shutdown_token().is_cancelled() {
            return false;
        }
        let stand = self.stand();
        feed::answer(&self.shared.mirror, line, stand, &mut self.out).await;
        self.flush().await
    }

    /// Writes what is ready; `false` when the caller does not take it.
    pub(super) async fn flush(&mut self) -> bool {
        let write = self.writer.write_all(&self.out);
        let written = matches!(tokio::time::timeout(WRITE_TIMEOUT, write).await, Ok(Ok(())));
        self.out.clear();
        self.out.shrink_to(line::MAX_LINE_BYTES / 64);
        written
    }
}

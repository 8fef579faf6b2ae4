//! Sends reads to the servers that are expected to have the required log position. The engine's
//! [`replication`] estimates when a replica has it; the server itself checks the position.

use std::{rc::Rc, time::Duration};

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    refusal::Code,
    replication::{self, Change, Turn},
    time::Moment,
};
use dandelionpitch_platform::backend::Answer;
use serde_json::json;
use tokio::time::timeout;

use super::Group;

use crate::{
    config::ReplicaLag,
    line::{backend::Backend, clock, journal},
};

/// The permission to send a read to a server. It ends the probe of the server when dropped, if the read
/// is one.
pub struct Permit {
    probed: Option<Rc<Backend>>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(backend) = self.probed.take() {
            backend.end_probe();
        }
    }
}

impl Group {
    /// Whether replicas are chosen by when they are expected to have a position.
    pub fn predicts_lag(&self) -> bool {
        self.replica_lag == ReplicaLag::Predicted
    }

    /// Whether, and when, a read that requires `required` may be sent to `backend`. The primary has every
    /// position of its log.
    fn turn(&self, backend: &Rc<Backend>, required: Option<Position>, now: Moment) -> Turn {
        match required {
            Some(position) if self.predicts_lag() && !self.is_leader(backend) => {
                backend.replication.get().turn(position, now)
            }
            _ => Turn::Send,
        }
    }

    /// How long a read that requires `required` has to wait for `backend`.
    pub(super) fn read_delay(
        &self,
        backend: &Rc<Backend>,
        required: Option<Position>,
        now: Moment,
    ) -> Duration {
        self.turn(backend, required, now).delay(now)
    }

    /// Waits until `backend` is expected to have `required`, if a read that is due at `due` can then be
    /// answered in time. Returns `None` if the read must not be sent to it.
    pub async fn read_permit(
        &self,
        backend: &Rc<Backend>,
        required: Option<Position>,
        due: Moment,
    ) -> Option<Permit> {
        let latest = due - backend.latency();
        loop {
            let now = clock::now();
            match self.turn(backend, required, now) {
                Turn::Send => return Some(Permit { probed: None }),
                Turn::Probe => {
                    backend.start_probe();
                    let probed = Some(backend.clone());
                    return Some(Permit { probed });
                }
                Turn::AfterProbe => {
                    let ended = backend.probe_ended.notified();
                    timeout(now.until(latest), ended).await.ok()?;
                }
                Turn::Wait(at) if at <= latest => tokio::time::sleep(now.until(at)).await,
                Turn::Wait(_) | Turn::Skip => return None,
            }
        }
    }

    /// The time after which a refused read may come back, if a replica is expected to have `required` then.
    pub fn expected_wait(&self, required: Option<Position>, now: Moment) -> Option<Duration> {
        let position = required.filter(|_| self.predicts_lag())?;
        let mut replicas = self.servers();
        replicas.retain(|backend| !self.is_leader(backend) && !backend.is_avoided(now));
        let expectations = replicas
            .iter()
            .map(|backend| backend.replication.get().expected_at(position, now));
        replication::retry_after(expectations, now)
    }

    /// Records how far `backend` has applied the log, from its answer to a read that requires `required`
    /// and was sent at `asked`.
    pub fn note_replication(
        &self,
        backend: &Rc<Backend>,
        required: Option<Position>,
        asked: Moment,
        answer: &Answer,
    ) {
        if !self.predicts_lag() {
            return;
        }
        let now = clock::now();
        let mut replica = backend.replication.get();
        if let Some(position) = answer.position {
            replica.note(position, asked, now);
        }
        if let Some(required) = required {
            match &answer.result {
                Ok(_) => replica.note_read(required, answer.position, false, now),
                Err(refusal) if refusal.code == Code::Lagging => {
                    replica.note_read(required, answer.position, true, now);
                }
                Err(_) => {}
            }
        }
        let delay = answer
            .position
            .filter(|_| !self.is_leader(backend))
            .map(|position| self.watermarks.borrow().delay(position, now));
        let change = delay.and_then(|delay| Some((delay, replica.note_delay(delay)?)));
        backend.replication.set(replica);
        if let Some((delay, change)) = change {
            self.log_delay(backend, delay, change);
        }
    }

    fn log_delay(&self, backend: &Backend, delay: Duration, change: Change) {
        let behind = change == Change::FellBehind;
        journal::write(
            "replica lag",
            json!({ "service": self.name, "server": backend.server.id(), "behind": behind,
                "by_ms": delay.as_millis() as u64 }),
        );
    }
}

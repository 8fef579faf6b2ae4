//! Where the statements of a session run: on this proxy's connections to the servers, or on another proxy.

use std::{rc::Rc, sync::Arc};

use dandelionpitch_engine::{
    breaker::Need,
    catalog::{Consistency, Route},
    forwarding::{self, Requirements},
    refusal::Refusal,
    session::{Effect, Phase},
    statement::Statement,
};
use serde_json::json;

use super::{Origin, Session};
use crate::line::{
    backend::Backend,
    journal,
    traffic::{call::Call, transaction::Endpoint},
};

impl Session {
    /// The proxies to which the statement may be forwarded; `None` if this proxy runs it. The list is
    /// empty for a transaction that is open on another proxy, as it stays there. An owner that cannot reach
    /// the servers forwards to the other owners.
    pub(super) fn forwarding_targets(&self, route: &Route, need: Need) -> Option<Vec<Rc<Backend>>> {
        let service = route.service.as_str();
        match (&self.pinned, self.origin) {
            (Some(pinned), _) if pinned.endpoint == Endpoint::Peer => Some(Vec::new()),
            (None, Origin::Caller) => {
                let targets = self.shared.forwarding_targets(service);
                targets.or_else(|| self.other_owners(service, need))
            }
            _ => None,
        }
    }

    /// The other owners of the group, if this one cannot reach its servers.
    fn other_owners(&self, service: &str, need: Need) -> Option<Vec<Rc<Backend>>> {
        if self.shared.breakers.admit(service, need) {
            return None;
        }
        let others = self.shared.peers.other_owners(service);
        (!others.is_empty()).then_some(others)
    }

    /// Uses the requirements of a forwarded statement instead of a configured route. Outside a
    /// transaction each statement may be of another session, so its floor is replaced too.
    ///
    /// # Errors
    ///
    /// If this process knows no servers yet, or cannot reach those of the group.
    pub(super) fn accept_forwarded(
        &mut self,
        requirements: Option<Requirements>,
        statement: &Statement<'_>,
    ) -> Result<(), Refusal> {
        let Some(requirements) = requirements else {
            return Ok(());
        };
        if self.state.phase() == Phase::Idle {
            if self.shared.catalog().is_none() {
                return Err(forwarding::starting());
            }
            if let Statement::Begin { read_only } = statement {
                let need = transaction_need(*read_only, requirements.consistency);
                self.check_breaker(&requirements.service, need)?;
            }
            self.state.set_floor(requirements.floor);
        }
        self.account_name = requirements.account.clone();
        self.route = Some(Arc::new(Route::from(requirements)));
        Ok(())
    }

    /// What the current statement needs from the servers; the first of a transaction needs what the whole
    /// transaction may need.
    pub(super) fn need(&self, effect: Effect, consistency: Consistency) -> Need {
        match self.state.phase() {
            Phase::Open(transaction) => transaction_need(transaction.read_only, consistency),
            Phase::Idle | Phase::TimedOut | Phase::Failed => Need::new(effect, consistency),
        }
    }

    /// Refuses a forwarded statement if this proxy cannot reach the servers of its group.
    pub(super) fn check_breaker(&self, service: &str, need: Need) -> Result<(), Refusal> {
        match self.shared.breakers.admit(service, need) {
            true => Ok(()),
            false => Err(forwarding::no_server()),
        }
    }
}

/// What a transaction needs from the servers.
fn transaction_need(read_only: bool, consistency: Consistency) -> Need {
    let effect = match read_only {
        true => Effect::Read,
        false => Effect::Write,
    };
    Need::new(effect, consistency)
}

/// Logs that no owner of the statement's group could be reached.
pub(super) fn log_no_owner(call: &Call<'_>) {
    journal::write(
        "no owner reached",
        json!({ "id": call.id, "service": call.route.service,
            "after_ms": call.waited().as_millis() as u64 }),
    );
}

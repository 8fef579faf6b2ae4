//! The circuit breakers of all groups on this proxy; see [`engine::breaker`].
//!
//! [`engine::breaker`]: dandelionpitch_engine::breaker

use std::cell::RefCell;

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{
    breaker::{Breaker, Need},
    forwarding,
    refusal::{Code, Refusal},
};
use serde_json::json;

use crate::line::{clock, journal};

/// The breakers, which are all closed if `is_enabled` is not set.
pub struct Breakers {
    is_enabled: bool,
    by_group: RefCell<Map<String, Map<Need, Breaker>>>,
}

impl Breakers {
    pub fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            by_group: RefCell::default(),
        }
    }

    /// Whether a statement of the group is tried on the servers from here; see [`Breaker::admit`].
    pub fn admit(&self, service: &str, need: Need) -> bool {
        let admitted = self.update(service, need, |breaker| breaker.admit(clock::now()));
        admitted.unwrap_or(true)
    }

    /// Records the result of a statement for which a server was searched.
    pub fn note<T>(&self, service: &str, need: Need, result: &Result<T, Refusal>) {
        match result {
            Ok(_) => self.note_found(service, need),
            Err(refusal) if refusal.code == Code::Unavailable => {
                self.note_none_found(service, need, &refusal.reason);
            }
            Err(_) => {}
        }
    }

    fn note_found(&self, service: &str, need: Need) {
        if self.update(service, need, Breaker::note_found) == Some(true) {
            log(service, need, false, "");
        }
    }

    /// Applies `change` to a breaker; `None` if no statement has failed to find a server yet.
    fn update<T>(
        &self,
        service: &str,
        need: Need,
        change: impl FnOnce(&mut Breaker) -> T,
    ) -> Option<T> {
        let mut by_group = self.by_group.borrow_mut();
        by_group.get_mut(service)?.get_mut(&need).map(change)
    }

    fn note_none_found(&self, service: &str, need: Need, why: &str) {
        if !self.is_enabled {
            return;
        }
        let mut by_group = self.by_group.borrow_mut();
        let needs = by_group.entry(service.to_owned()).or_default();
        let breaker = needs.entry(need).or_default();
        if breaker.note_none_found(clock::now()) {
            log(service, need, true, why);
        }
    }

    /// The refusal as another proxy is told, so that it tries the next owner.
    pub fn for_forwarding_proxy(&self, refusal: Refusal) -> Refusal {
        match self.is_enabled {
            true => forwarding::to_forwarding_proxy(refusal),
            false => refusal,
        }
    }
}

fn log(service: &str, need: Need, is_open: bool, why: &str) {
    journal::write(
        "breaker",
        json!({ "service": service, "need": format!("{need:?}"), "open": is_open, "why": why }),
    );
}

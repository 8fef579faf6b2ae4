//! Follows the store: one list at the start, then one watch over everything, which the store counts
//! as one call for as long as it waits.

use std::{rc::Rc, time::Duration};

use dandelionpitch_platform::{store::Watched, Error};

use super::{clock, control::Control, journal};
use crate::control::backoff::{self, Backoff};

/// How long a watch waits. A watch that hangs for good is noticed within it, which keeps a new
/// configuration inside its bound of 3 s; at rest it costs a call in two seconds.
const WAIT: Duration = Duration::from_millis(2_000);

/// The same while an entry is missing and may have to be dropped.
const WAIT_MISSING: Duration = Duration::from_millis(500);

/// The pause after a first failed call, and the longest one: short enough for the bound of a
/// configuration after an outage, and spread so that the proxies do not come back as one.
const RETRY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Every key: the configuration, the servers and the proxies' own.
const EVERYTHING: &str = "";

/// Follows the store until the process ends.
pub async fn run(control: Rc<Control>) {
    let mut backoff = Backoff::new(RETRY.0, RETRY.1, backoff::salt(&control.id));
    let mut next = None;
    loop {
        match step(&control, next).await {
            Ok(revision) => {
                backoff.reset();
                next = revision;
                if !control.store_answers.replace(true) {
                    journal::dependency("store", "answers", "");
                    control.registry.borrow_mut().forgive(clock::now());
                }
                control.expire();
                let mut registry = control.registry.borrow_mut();
                registry.known_until(clock::now());
            }
            Err(error) => {
                control.metrics.store_error();
                if control.store_answers.replace(false) {
                    journal::dependency("store", "lost", &error.to_string());
                }
                if let Err(error) = control.store.borrow_mut().reconnect() {
                    journal::trouble("store client", &error.to_string());
                }
                tokio::time::sleep(backoff.pause()).await;
            }
        }
    }
}

/// One call; returns the revision to go on from, or `None` when everything has to be read again.
async fn step(control: &Control, next: Option<u64>) -> Result<Option<u64>, Error> {
    let store = control.store();
    let Some(after) = next else {
        let (items, revision) = store.list(EVERYTHING).await?;
        control.replace(&items);
        return Ok(Some(revision));
    };
    let wait = match control.registry.borrow().has_missing() {
        true => WAIT_MISSING,
        false => WAIT,
    };
    match store.watch(EVERYTHING, after, wait).await? {
        Watched::Changes { events, next } => {
            control.apply(&events);
            Ok(Some(next))
        }
        Watched::HistoryGone => Ok(None),
    }
}

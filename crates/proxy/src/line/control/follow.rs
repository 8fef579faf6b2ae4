//! Follows the store: one list at the start, then one watch over everything, which the store counts
//! as one call for as long as it waits.

use std::{rc::Rc, time::Duration};

use dandelionpitch_engine::time::Moment;
use dandelionpitch_platform::{store::Watched, Error};

use crate::{
    control::backoff::{self, Backoff},
    line::{clock, control::state::Control, journal, records},
};

/// The part of the time within which a configuration has to be in force that a watch waits. One that
/// hangs for good is noticed within it and its slack, which leaves time to read everything again.
const WAIT_PART: f64 = 0.66;

/// The least time between two watches that bring changes, but for the first after a quiet time.
///
/// Load pattern: 75 proxies start within 0.3 s or are restarted in turn, each writes its entry, and each
/// entry wakes all others: a call for each pair of proxies. Changes that come together are taken
/// together; none needs to be known sooner. Calls of 75 proxies in a calm day of 52 s: 5,975 before.
const GATHER: Duration = Duration::from_millis(500);

/// The shortest wait, while an entry is missing and is about to be dropped.
const SHORTEST_WAIT: Duration = Duration::from_millis(100);

/// The pause after a first failed call, and the longest one: short enough for the bound of a
/// configuration after an outage, and spread so that the proxies do not come back as one.
const RETRY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Every key: the configuration, the servers and the proxies' own.
const EVERYTHING: &str = "";

/// Follows the store until the process ends.
pub async fn run(control: Rc<Control>) {
    let mut backoff = Backoff::new(RETRY.0, RETRY.1, backoff::salt(&control.id));
    let mut next = None;
    let mut changed_at = Moment::default();
    loop {
        match step(&control, next).await {
            Ok(step) => {
                backoff.reset();
                next = step.next;
                if !control.store_answers.replace(true) {
                    journal::dependency("store", "answers", "");
                    control.registry.borrow_mut().forgive(clock::now());
                }
                control.expire();
                let now = clock::now();
                control.registry.borrow_mut().known_until(now);
                records::note_followed(&control.followed, now);
                if step.changed {
                    tokio::time::sleep(now.until(changed_at + GATHER)).await;
                    changed_at = clock::now();
                }
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

/// What one call came to.
#[derive(Default)]
struct Step {
    /// The revision to go on from; `None` when everything has to be read again.
    next: Option<u64>,
    changed: bool,
}

/// One call.
async fn step(control: &Control, next: Option<u64>) -> Result<Step, Error> {
    let store = control.store();
    let Some(after) = next else {
        let (items, revision) = store.list(EVERYTHING).await?;
        control.replace(&items);
        return Ok(Step {
            next: Some(revision),
            changed: true,
        });
    };
    let mut wait = control.config_within.mul_f64(WAIT_PART);
    if let Some(expiry) = control.registry.borrow().next_expiry() {
        wait = wait.min(clock::now().until(expiry).max(SHORTEST_WAIT));
    }
    match store.watch(EVERYTHING, after, wait).await? {
        Watched::Changes { events, next } => {
            control.apply(&events);
            Ok(Step {
                next: Some(next),
                changed: !events.is_empty(),
            })
        }
        Watched::HistoryGone => Ok(Step::default()),
    }
}

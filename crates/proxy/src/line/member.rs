//! This process's lease in the store: by it the other proxies know that it is there, and under it
//! lies the failover duty while this process holds it.

use std::{rc::Rc, time::Duration};

use dandelionpitch_engine::duty::{LEASE_TTL, RENEW_EVERY};
use dandelionpitch_platform::{
    store::{Change, Write},
    Error,
};
use serde_json::json;

use super::{clock, control::Control, journal};
use crate::control::backoff;

/// The key of the failover duty; its value is the holder's name.
pub const DUTY: &str = "dandelionpitch/duty";

/// The prefix of the keys by which proxies show that they are there.
const MEMBERS: &str = "dandelionpitch/member/";

/// The pause before another try after a call failed.
const RETRY: Duration = Duration::from_millis(400);

/// How often a process looks whether the duty is free.
const LOOK: Duration = Duration::from_millis(200);

/// Processes that see the duty free claim it up to this much apart, so that one call does.
const SPREAD: Duration = Duration::from_millis(300);

/// The proxy that a key names.
pub fn name(key: &str) -> Option<&str> {
    key.strip_prefix(MEMBERS)
}

/// Keeps the lease, and takes the duty whenever it is free, until the process stops.
pub async fn run(control: Rc<Control>) {
    let mut lease = None;
    let mut renew_at = clock::now();
    while !control.stopping.is_cancelled() {
        if clock::now() >= renew_at {
            let pause = match renew(&control, &mut lease).await {
                Ok(()) => RENEW_EVERY,
                Err(error) => {
                    control.metrics.store_error();
                    journal::trouble("lease", &error.to_string());
                    RETRY
                }
            };
            renew_at = clock::now() + pause;
        }
        let free = control.duty.borrow().is_free(clock::now());
        if let (Some(lease), true) = (lease, free) {
            let share = backoff::share(&(&control.name, clock::now().millis()));
            tokio::time::sleep(SPREAD.mul_f64(share)).await;
            if let Err(error) = claim(&control, lease).await {
                journal::trouble("duty", &error.to_string());
            }
        }
        tokio::select! {
            () = tokio::time::sleep(LOOK) => {}
            () = control.stopping.cancelled() => {}
        }
    }
    resign(&control, lease).await;
}

async fn renew(control: &Control, lease: &mut Option<u64>) -> Result<(), Error> {
    let store = control.store();
    let sent = clock::now();
    if let Some(held) = *lease {
        if store.renew(held).await? {
            control.duty.borrow_mut().renewed(sent);
            return Ok(());
        }
        journal::write("lease", json!({ "lapsed": held }));
        control.duty.borrow_mut().lapsed();
        *lease = None;
    }
    let granted = store.grant(LEASE_TTL).await?;
    let key = format!("{MEMBERS}{}", control.id);
    let write = Write {
        key: &key,
        value: control.name.as_bytes(),
        lease: granted,
    };
    store.change(&[], &[write], &[]).await?;
    control.duty.borrow_mut().renewed(sent);
    *lease = Some(granted);
    Ok(())
}

/// Claims the duty by writing its key if it is not there.
///
/// Failure: the store applies the claim and its answer is lost. Guard: the key is read back, and
/// only one that names this very process is its own.
async fn claim(control: &Control, lease: u64) -> Result<(), Error> {
    if !control.duty.borrow().is_free(clock::now()) {
        return Ok(());
    }
    let store = control.store();
    let write = Write {
        key: DUTY,
        value: control.name.as_bytes(),
        lease,
    };
    let token = match store.change(&[(DUTY, 0)], &[write], &[]).await {
        Ok(Change::Done { revision }) => Some(revision),
        Ok(Change::Conflict | Change::LeaseGone) => None,
        Err(_) => {
            let found = store.get(DUTY).await?;
            let own = found.filter(|item| item.value == control.name.as_bytes());
            own.map(|item| item.revision)
        }
    };
    if let Some(token) = token {
        journal::write("duty", json!({ "taken": true, "token": token }));
        control.duty.borrow_mut().won(&control.name, token);
    }
    Ok(())
}

/// Ends the lease, so that the others take over at once.
async fn resign(control: &Control, lease: Option<u64>) {
    control.duty.borrow_mut().lapsed();
    if let Some(lease) = lease {
        if let Err(error) = control.store().end_lease(lease).await {
            journal::trouble("lease", &error.to_string());
        }
    }
}

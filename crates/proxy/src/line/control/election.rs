//! Keeps the failover duty: claims it when it is free and renews its lease while it is held. Whether
//! it is held is decided by [`engine::election`].
//!
//! [`engine::election`]: dandelionpitch_engine::election

use std::{rc::Rc, time::Duration};

use dandelionpitch_engine::election::{claim_delay, LEASE_TTL, RENEW_INTERVAL};
use dandelionpitch_platform::{
    store::{Lease, Outcome, Write},
    Error,
};
use serde_json::json;

use crate::{
    control::backoff,
    line::{
        clock,
        control::{keys::LEADER, state::Control},
        journal,
    },
};

/// The pause before another try after a call failed: three of them fit into a lease.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How long a renewal may take. The store answers in 4 ms, in 240 ms when it is slow; a longer
/// wait for a lost answer would use up the lease.
const RENEW_TIMEOUT: Duration = Duration::from_millis(500);

/// How often a process looks whether the duty is free: a fifth of what a failover takes.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Processes that see the duty free claim it up to this much apart, so that mostly one call does:
/// a claim takes some 10 ms.
const MAX_CLAIM_JITTER: Duration = Duration::from_millis(150);

/// How long a stopping process keeps the duty for an attempt under way: five times what one takes
/// (0.6 s), for calls whose answers are lost, and within the grace period.
const STOP_GRACE: Duration = Duration::from_millis(3_000);

/// Keeps the duty or waits for it, until the process stops.
///
/// Failure: proxies are stopped in turn while a primary is replaced; each gives the duty up between
/// holding the replicas and the promotion, and the group has no primary until the series ends.
/// Guard: an attempt under way is finished first.
pub async fn run(control: Rc<Control>) {
    let mut lease = None;
    let mut stop_at = None;
    loop {
        if control.stopping.is_cancelled() {
            let stop_at = *stop_at.get_or_insert(clock::now() + STOP_GRACE);
            if control.active_attempts.get() == 0 || clock::now() >= stop_at {
                break;
            }
        }
        let pause = match step(&control, &mut lease).await {
            Ok(()) if lease.is_some() => RENEW_INTERVAL,
            Ok(()) => CHECK_INTERVAL,
            Err(error) => {
                control.metrics.store_error();
                journal::trouble("duty", &error.to_string());
                RETRY_DELAY
            }
        };
        let stopping = control.stopping.is_cancelled();
        tokio::select! {
            () = tokio::time::sleep(pause.min(CHECK_INTERVAL)), if stopping => {}
            () = tokio::time::sleep(pause), if !stopping => {}
            () = control.stopping.cancelled(), if !stopping => {}
        }
    }
    control.election.borrow_mut().note_expiry();
    if let Some(lease) = lease {
        if let Err(error) = control.store().end_lease(lease).await {
            journal::trouble("duty", &error.to_string());
        }
    }
}

async fn step(control: &Control, lease: &mut Option<Lease>) -> Result<(), Error> {
    match *lease {
        Some(held) => {
            if !renew(control, held).await? {
                journal::write("duty", json!({ "taken": false, "lease": held.id() }));
                control.election.borrow_mut().note_expiry();
                *lease = None;
            }
            Ok(())
        }
        None if control.election.borrow().may_claim(clock::now())
            && !control.stopping.is_cancelled() =>
        {
            let fraction = backoff::stable_fraction(&(&control.name, clock::now().millis()));
            let age = clock::now().since(control.started);
            let is_relay = control.subscription.borrow().is_relay;
            tokio::time::sleep(MAX_CLAIM_JITTER.mul_f64(fraction) + claim_delay(age, is_relay))
                .await;
            *lease = claim(control).await?;
            Ok(())
        }
        None => Ok(()),
    }
}

/// Renews the lease; `false` when it has ended or its key is another's.
async fn renew(control: &Control, lease: Lease) -> Result<bool, Error> {
    if !control.election.borrow().is_elected() {
        return Ok(false);
    }
    let sent = clock::now();
    let renewed = control.store().renew(lease, RENEW_TIMEOUT).await?;
    if renewed {
        control.election.borrow_mut().note_renewal(sent);
    }
    Ok(renewed)
}

/// Claims the duty by writing its key if it is not there; returns the lease it lies under.
///
/// Failure: the store applies the claim and its answer is lost. Guard: the key is read back, and
/// only one that names this very process is its own.
async fn claim(control: &Control) -> Result<Option<Lease>, Error> {
    if !control.election.borrow().may_claim(clock::now()) {
        return Ok(None);
    }
    let store = control.store();
    let sent = clock::now();
    let lease = store.grant(LEASE_TTL).await?;
    control.election.borrow_mut().note_renewal(sent);
    if !control.election.borrow().can_acquire(clock::now()) {
        return Ok(None);
    }
    let write = Write {
        key: LEADER,
        value: control.name.as_bytes(),
        lease: Some(lease),
    };
    let token = match store.change(&[(LEADER, 0)], &[write], &[]).await {
        Ok(Outcome::Done { revision }) => Some(revision),
        Ok(Outcome::Conflict | Outcome::LeaseNotFound) => None,
        Err(_) => {
            let found = store.get(LEADER).await?;
            let own = found.filter(|item| item.value.as_slice() == control.name.as_bytes());
            own.map(|item| item.revision)
        }
    };
    let Some(token) = token else { return Ok(None) };
    journal::write("duty", json!({ "taken": true, "token": token }));
    control.election.borrow_mut().note_won(&control.name, token);
    Ok(Some(lease))
}

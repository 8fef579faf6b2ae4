//! Claims the failover leadership when it is vacant, and renews its lease while this process is the
//! leader. Whether it is the leader is decided by [`engine::election`].
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

/// The delay after a failed call, short enough for several retries before the lease expires.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The timeout of a renewal. The store answers in 4 ms, and in 240 ms when it is slow; a longer wait for a
/// lost answer would use up the lease.
const RENEW_TIMEOUT: Duration = Duration::from_millis(500);

/// How often a process checks whether it may claim a vacant leadership.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The interval while another process is the leader. The end of its leadership is notified, so this only
/// covers a notification that came just before it was waited for.
const LED_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// The longest jitter before a claim, so that usually only one process sends a claim.
const MAX_CLAIM_JITTER: Duration = Duration::from_millis(150);

/// How long a stopping process stays the leader to finish active failover attempts. Covers retries of
/// calls whose answers are lost, and fits into the grace period for stopping.
const STOP_GRACE: Duration = Duration::from_millis(3_000);

/// Takes part in the election until the process stops.
///
/// A stopping leader first finishes active failover attempts. Otherwise each proxy of a rolling
/// restart could release the leadership between pausing the replicas and the promotion, and the
/// group would have no primary until the restart is complete.
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
        let delay = match step(&control, &mut lease).await {
            Ok(()) if lease.is_some() => RENEW_INTERVAL,
            Ok(()) if control.election.borrow().is_vacant() => CHECK_INTERVAL,
            Ok(()) => LED_CHECK_INTERVAL,
            Err(error) => {
                control.metrics.store_error();
                journal::trouble("duty", &error.to_string());
                RETRY_DELAY
            }
        };
        let stopping = control.stopping.is_cancelled();
        tokio::select! {
            () = tokio::time::sleep(delay.min(CHECK_INTERVAL)), if stopping => {}
            () = tokio::time::sleep(delay), if !stopping => {}
            () = control.vacated.notified(), if !stopping && lease.is_none() => {}
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
        // Before the first list, it is unknown whether there is a leader.
        None if control.is_following.get()
            && control.election.borrow().may_claim(clock::now())
            && !control.stopping.is_cancelled() =>
        {
            let fraction = backoff::stable_fraction(&(&control.name, clock::now().millis()));
            let age = clock::now().since(control.started_at);
            let is_relay = control.subscription.borrow().is_relay;
            tokio::time::sleep(MAX_CLAIM_JITTER.mul_f64(fraction) + claim_delay(age, is_relay))
                .await;
            *lease = claim(control).await?;
            Ok(())
        }
        None => Ok(()),
    }
}

/// Renews the lease; returns `false` if it has expired or this process is no longer the leader.
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

/// Claims the leadership by creating the leader's key; returns the key's lease if this succeeds.
///
/// If the store's answer is lost, the key is read back. The claim succeeded if the key contains the
/// name of this process, which no other process has.
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
    control.elected.notify_one();
    Ok(Some(lease))
}

//! This proxy's entry in the store, by which the other proxies know that it is alive.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use dandelionpitch_platform::{
    store::{Lease, Write, CALL_TIMEOUT},
    Error,
};
use serde_json::json;

use crate::{
    control::backoff::{self, Backoff},
    line::{
        control::{keys, state::Control},
        journal,
    },
};

/// How long the entry stays after its last renewal: several renewal intervals, so that one lost answer
/// does not remove it.
const LEASE_TTL: Duration = Duration::from_millis(6_000);

const RENEW_INTERVAL: Duration = Duration::from_millis(1_900);

/// The first and the longest delay after failed calls, so that the retries of hundreds of proxies do
/// not add to the load of a store that refuses them.
const RETRY_DELAYS: (Duration, Duration) =
    (Duration::from_millis(400), Duration::from_millis(1_600));

/// Renews the entry until the process stops.
pub async fn run(control: Rc<Control>) {
    let mut backoff = Backoff::new(
        RETRY_DELAYS.0,
        RETRY_DELAYS.1,
        backoff::stable_hash(&control.name),
    );
    while !control.stopping.is_cancelled() {
        let renewed = match renew(&control).await {
            Ok(()) => update_relay_key(&control).await,
            Err(error) => Err(error),
        };
        let delay = match renewed {
            Ok(()) => {
                backoff.reset();
                RENEW_INTERVAL
            }
            Err(error) => {
                control.metrics.store_error();
                journal::trouble("lease", &error.to_string());
                backoff.next_delay()
            }
        };
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = control.stopping.cancelled() => {}
        }
    }
    if let Some(lease) = control.lease.get() {
        if let Err(error) = withdraw_entry(&control, lease).await {
            journal::trouble("lease", &error.to_string());
        }
    }
}

/// Rewrites the entry without an address in a planned stop, so that no more statements are
/// forwarded to this proxy.
///
/// A deleted entry looks like one that expired in a store outage: other proxies would forward for
/// seconds more, and statements in flight at the end of the process would have an unknown outcome.
/// It stays until its lease expires, as the others may see only the latest state of a key and miss
/// a rewrite just before a deletion.
async fn withdraw_entry(control: &Control, lease: Lease) -> Result<(), Error> {
    write_entry(control, lease, None).await
}

fn encode_entry(control: &Control, peer: Option<SocketAddr>) -> Result<Vec<u8>, Error> {
    keys::encode_member(&control.name, &control.dc, peer, control.peer.capacity)
        .map_err(|error| Error::Protocol(error.to_string()))
}

/// Writes the entry, with the address where statements are accepted.
async fn write_entry(
    control: &Control,
    lease: Lease,
    peer: Option<SocketAddr>,
) -> Result<(), Error> {
    let key = keys::member_key(&control.id);
    let value = encode_entry(control, peer)?;
    let write = Write {
        key: &key,
        value: &value,
        lease: Some(lease),
    };
    control.store().change(&[], &[write], &[]).await?;
    Ok(())
}

/// Announces this proxy to starting ones if it has become a relay, or withdraws that if it is one no
/// longer. Nothing is known before the first list of proxies.
async fn update_relay_key(control: &Control) -> Result<(), Error> {
    let is_registered = control.is_registered();
    let is_relay = control.subscription.borrow().is_relay;
    match (is_registered, is_relay, control.is_announced.get()) {
        (true, true, false) => announce_relay(control).await,
        (true, false, true) => withdraw_relay(control).await,
        _ => Ok(()),
    }
}

/// Writes the key by which starting proxies find this one as a relay. Does nothing without a lease, which
/// removes the key when the process ends.
pub async fn announce_relay(control: &Control) -> Result<(), Error> {
    let lease = control.lease.get();
    if lease.is_none() {
        return Ok(());
    }
    let key = keys::relay_key(&control.id);
    let value = encode_entry(control, control.peer.address)?;
    let write = Write {
        key: &key,
        value: &value,
        lease,
    };
    control.store().change(&[], &[write], &[]).await?;
    control.is_announced.set(true);
    Ok(())
}

async fn withdraw_relay(control: &Control) -> Result<(), Error> {
    let key = keys::relay_key(&control.id);
    control.store().change(&[], &[], &[&key]).await?;
    control.is_announced.set(false);
    Ok(())
}

/// Renews the lease, or writes the entry under a new one.
async fn renew(control: &Control) -> Result<(), Error> {
    let store = control.store();
    if let Some(held) = control.lease.get() {
        if store.renew(held, CALL_TIMEOUT).await? {
            return Ok(());
        }
        journal::write("lease", json!({ "lapsed": held.id() }));
        control.lease.set(None);
        control.is_announced.set(false);
    }
    let granted = store.grant(LEASE_TTL).await?;
    if control.has_quotas && control.predecessor.get().is_none() {
        find_predecessor(control).await?;
    }
    write_entry(control, granted, control.peer.address).await?;
    control.lease.set(Some(granted));
    Ok(())
}

/// Reads whether an earlier process of this proxy is registered, before its entry is replaced. The others
/// count this proxy as one that issues quota permits then, so it need not wait until they do. The first list
/// may not show it, as it can be copied from a relay that has this process's entry already.
async fn find_predecessor(control: &Control) -> Result<(), Error> {
    let found = control.store().get(&keys::member_key(&control.id)).await?;
    let is_predecessor = found.is_some_and(|item| control.is_predecessor(&item.value));
    journal::write("predecessor", json!({ "registered": is_predecessor }));
    if control.predecessor.get().is_none() {
        control.predecessor.set(Some(is_predecessor));
    }
    Ok(())
}

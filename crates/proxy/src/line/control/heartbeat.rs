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
    let mut lease = None;
    let mut is_announced = false;
    let mut backoff = Backoff::new(
        RETRY_DELAYS.0,
        RETRY_DELAYS.1,
        backoff::stable_hash(&control.name),
    );
    while !control.stopping.is_cancelled() {
        let renewed = match renew(&control, &mut lease).await {
            Ok(true) => announce_relay(&control, lease, &mut is_announced).await,
            Ok(false) => {
                is_announced = false;
                Ok(())
            }
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
    if let Some(lease) = lease {
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

/// Writes or removes the key by which starting proxies find relays, if this proxy has become one or is
/// one no longer.
async fn announce_relay(
    control: &Control,
    lease: Option<Lease>,
    is_announced: &mut bool,
) -> Result<(), Error> {
    let is_relay = control.subscription.borrow().is_relay;
    if is_relay == *is_announced {
        return Ok(());
    }
    let key = keys::relay_key(&control.id);
    let value = encode_entry(control, control.peer.address)?;
    let write = Write {
        key: &key,
        value: &value,
        lease,
    };
    match is_relay {
        true => control.store().change(&[], &[write], &[]).await?,
        false => control.store().change(&[], &[], &[&key]).await?,
    };
    *is_announced = is_relay;
    Ok(())
}

/// Renews the lease; returns `false` if it was granted anew.
async fn renew(control: &Control, lease: &mut Option<Lease>) -> Result<bool, Error> {
    let store = control.store();
    if let Some(held) = *lease {
        if store.renew(held, CALL_TIMEOUT).await? {
            return Ok(true);
        }
        journal::write("lease", json!({ "lapsed": held.id() }));
        *lease = None;
    }
    let granted = store.grant(LEASE_TTL).await?;
    write_entry(control, granted, control.peer.address).await?;
    *lease = Some(granted);
    Ok(false)
}

//! This process's entry in the store, by which the other proxies know that it is there.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use dandelionpitch_engine::ownership::Peer;
use dandelionpitch_platform::{
    store::{Write, CALL_TIMEOUT},
    Error,
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{control::Control, journal};

/// The prefix of the keys by which proxies show that they are there.
const MEMBERS: &str = "dandelionpitch/member/";

/// How long the entry stays after its last renewal. Three renewals fit in, so one lost answer does
/// not remove it.
const TTL: Duration = Duration::from_millis(4_000);

/// How often the entry is renewed; a renewal costs a tenth of a read.
const RENEW_EVERY: Duration = Duration::from_millis(1_200);

/// The pause before another try after a call failed.
const RETRY: Duration = Duration::from_millis(400);

/// What an entry says.
#[derive(Deserialize, Serialize)]
struct Wire<'a> {
    /// The process, unique among all that ever ran.
    name: &'a str,
    dc: &'a str,
    /// Where it takes statements of other proxies, if it does.
    peer: Option<SocketAddr>,
    capacity: f64,
}

/// The proxy that a key names.
pub fn name(key: &str) -> Option<&str> {
    key.strip_prefix(MEMBERS)
}

/// How the proxy `id` is reached for statements, by its entry.
pub fn peer(id: &str, value: &[u8]) -> Result<Option<Peer>, serde_json::Error> {
    let wire: Wire<'_> = serde_json::from_slice(value)?;
    let capacity = wire.capacity.max(1.0);
    Ok(wire.peer.map(|address| Peer {
        id: id.to_owned(),
        dc: wire.dc.to_owned(),
        address,
        capacity,
    }))
}

/// Keeps the entry until the process stops.
pub async fn run(control: Rc<Control>) {
    let mut lease = None;
    while !control.stopping.is_cancelled() {
        let pause = match renew(&control, &mut lease).await {
            Ok(()) => RENEW_EVERY,
            Err(error) => {
                control.metrics.store_error();
                journal::trouble("lease", &error.to_string());
                RETRY
            }
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = control.stopping.cancelled() => {}
        }
    }
    if let Some(lease) = lease {
        if let Err(error) = withdraw(&control, lease).await {
            journal::trouble("lease", &error.to_string());
        }
    }
}

/// Takes the entry back in a planned stop.
///
/// Failure: an entry that is just gone may have lapsed with the store, so the others go on handing
/// statements to this proxy for seconds, and those under way when it ends have an unknown outcome.
/// Guard: it first says that it takes none any more, which the others see at once.
async fn withdraw(control: &Control, lease: u64) -> Result<(), Error> {
    write(control, lease, None).await?;
    control.store().end_lease(lease).await
}

/// Writes the entry, with the address at which statements are taken.
async fn write(control: &Control, lease: u64, peer: Option<SocketAddr>) -> Result<(), Error> {
    let key = format!("{MEMBERS}{}", control.id);
    let wire = Wire {
        name: &control.name,
        dc: &control.dc,
        peer,
        capacity: control.peer.capacity,
    };
    let value = serde_json::to_vec(&wire).map_err(|error| Error::Protocol(error.to_string()))?;
    let write = Write {
        key: &key,
        value: &value,
        lease,
    };
    control.store().change(&[], &[write], &[]).await?;
    Ok(())
}

async fn renew(control: &Control, lease: &mut Option<u64>) -> Result<(), Error> {
    let store = control.store();
    if let Some(held) = *lease {
        if store.renew(held, CALL_TIMEOUT).await? {
            return Ok(());
        }
        journal::write("lease", json!({ "lapsed": held }));
        *lease = None;
    }
    let granted = store.grant(TTL).await?;
    write(control, granted, control.peer.address).await?;
    *lease = Some(granted);
    Ok(())
}

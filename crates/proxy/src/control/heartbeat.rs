//! This proxy's heartbeat record in the key-value store (KV), by which operators and other proxies
//! find it.
//!
//! It has no bundle version, for which `dpctl status` asks the proxy itself, so a new bundle causes
//! no KV writes by the proxies (`docs/CAPACITY.md`).

use std::{net::SocketAddr, time::Duration};

use dandelionpitch_core::{keys, kv, Error};
use serde::Serialize;

/// Short enough for a failover within the recovery objective when a group's primary and all its
/// watchers fail together, as it starts only after the watchers' leases expire. Long enough that
/// one failed renewal does not lose the lease.
pub const LEASE_TTL_SECS: u64 = 9;
/// Each renewal loads the KV like a read (`docs/CAPACITY.md`).
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The heartbeat record, read by `dpctl status`.
#[derive(Debug, Serialize)]
pub struct Record {
    pub id: String,
    pub dc: String,
    pub listen: SocketAddr,
    pub operator: SocketAddr,
}

/// Keeps the record in the KV as long as the process runs.
pub async fn run(kv: kv::Client, record: Record) {
    let mut lease = None;
    loop {
        let pause = match renew(&kv, &record, &mut lease).await {
            Ok(()) => RENEW_INTERVAL,
            Err(error) => {
                log::warn!(target: "control", "Could not renew the heartbeat record: {error}.");
                RETRY_DELAY
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Renews the lease. If there is none or it has expired, acquires a new one and writes the record
/// under it.
async fn renew(
    kv: &kv::Client,
    record: &Record,
    lease: &mut Option<kv::Lease>,
) -> Result<(), Error> {
    if let Some(current) = *lease {
        if kv.keepalive(current).await? > 0 {
            return Ok(());
        }
        *lease = None;
    }
    let granted = kv.grant(LEASE_TTL_SECS).await?;
    let value = serde_json::to_vec(record).unwrap_or_default();
    kv.put(&keys::proxy(&record.dc, &record.id), &value, Some(granted))
        .await?;
    *lease = Some(granted);
    Ok(())
}

//! This proxy's heartbeat record in the platform KV, by which operators find it.
//!
//! The record says only where the proxy is; what it runs, `dpctl status` asks the proxy
//! itself. So a new bundle makes no proxy write to the KV (`docs/CAPACITY.md`).

use std::{net::SocketAddr, time::Duration};

use dandelionpitch_core::{keys, kv, Error};
use serde::Serialize;

/// The lease of the heartbeat record, in seconds.
///
/// Failure: all watchers of a group die together, and their records are all that says so; with the
/// primary dead as well there are no writes until the leases have run out. 9 s leave three for the
/// failover of the 12 s in which service must be back, and three renewals fit in.
pub const LEASE_TTL_SECS: u64 = 9;
/// How often the lease is renewed; each renewal is a read of the KV (`docs/CAPACITY.md`).
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);
/// Pause before another try after the KV failed.
const RETRY: Duration = Duration::from_secs(1);

/// The record, read by `dpctl status`.
#[derive(Debug, Serialize)]
pub struct Record {
    pub id: String,
    pub dc: String,
    pub listen: SocketAddr,
    pub operator: SocketAddr,
}

/// Keeps the record in the KV for as long as the process runs.
pub async fn run(kv: kv::Client, record: Record) {
    let mut lease = None;
    loop {
        let pause = match renew(&kv, &record, &mut lease).await {
            Ok(()) => RENEW_INTERVAL,
            Err(error) => {
                log::warn!(target: "control", "Heartbeat failed: {error}.");
                RETRY
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Renews the lease, or takes a new one and writes the record under it.
async fn renew(
    kv: &kv::Client,
    record: &Record,
    lease: &mut Option<kv::Lease>,
) -> Result<(), Error> {
    if let Some(held) = *lease {
        if kv.keepalive(held).await? > 0 {
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

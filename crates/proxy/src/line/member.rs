//! This process's entry in the store, by which the other proxies know that it is there.

use std::{rc::Rc, time::Duration};

use dandelionpitch_platform::{
    store::{Write, CALL_TIMEOUT},
    Error,
};
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

/// The proxy that a key names.
pub fn name(key: &str) -> Option<&str> {
    key.strip_prefix(MEMBERS)
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
        if let Err(error) = control.store().end_lease(lease).await {
            journal::trouble("lease", &error.to_string());
        }
    }
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
    let key = format!("{MEMBERS}{}", control.id);
    let write = Write {
        key: &key,
        value: control.name.as_bytes(),
        lease: granted,
    };
    store.change(&[], &[write], &[]).await?;
    *lease = Some(granted);
    Ok(())
}

//! Watches the key-value store (KV) for the bundle, the groups' primary records and the
//! heartbeat records of the proxies. A single watch covers all of them to keep the number of open
//! watches at the KV low.

use std::time::{Duration, Instant};

use dandelionpitch_core::{
    bundle::Bundle,
    keys,
    kv::{self, EventType, KeyValue},
    primary::Record,
    Error,
};
use tokio::sync::mpsc;

use super::{assignment::Member, backoff::Backoff, Message};
use crate::view::StoredRecord;

/// The first and the longest backoff. Simultaneous retries of all proxies would overload a
/// recovering KV.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(4));

/// Sends the current and all later bundles, primary records and proxy changes until the receiver
/// closes. After a restore of the KV from a backup, sends [`Message::Restored`] first.
///
/// `salt` determines the jitter of this proxy's retries.
pub async fn run(kv: kv::Client, salt: u64, tx: mpsc::Sender<Message>) {
    let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1, salt);
    let mut next = None;
    let mut era = None;
    while !tx.is_closed() {
        match list_and_watch(&kv, &mut next, &mut era, &tx).await {
            Ok(()) => backoff.reset(),
            Err(error) => {
                // The KV may have compacted the revisions missed meanwhile: list everything again.
                next = None;
                if backoff.failures() == 0 {
                    log::warn!(target: "control", "Could not read or watch the KV: {error}.");
                }
                tokio::time::sleep(backoff.next_delay()).await;
            }
        }
    }
}

/// Lists all keys, unless `next` is the revision to resume from, then watches until the watch ends.
/// The watch starts after the newest revision listed, so no change in between is missed.
async fn list_and_watch(
    kv: &kv::Client,
    next: &mut Option<u64>,
    era: &mut Option<u64>,
    tx: &mpsc::Sender<Message>,
) -> Result<(), Error> {
    let start = match *next {
        Some(revision) => revision,
        None => {
            let current = kv.list(keys::SITE_PREFIX).await?;
            let now = kv.era();
            if era.replace(now).is_some_and(|before| before < now) {
                let _ = tx.send(Message::Restored { era: now }).await;
            }
            // Sent before the bundle, so that a starting proxy does not begin to watch every group.
            let members = current
                .iter()
                .filter_map(|kv| parse_member(&kv.key))
                .collect();
            let _ = tx.send(Message::Members(members)).await;
            send(&current, tx).await;
            current
                .iter()
                .map(|kv| kv.mod_revision + 1)
                .max()
                .unwrap_or_default()
        }
    };
    let mut watch = kv.watch_prefix(keys::SITE_PREFIX, start).await?;
    *next = Some(start);
    while let Some(events) = watch.next().await? {
        let seen = events.iter().map(|event| event.kv.mod_revision + 1).max();
        for event in events {
            let present = event.kind == EventType::Put;
            if let Some(member) = parse_member(&event.kv.key) {
                let _ = tx.send(Message::Member { member, present }).await;
            } else if present {
                send(&[event.kv], tx).await;
            }
        }
        *next = (*next).max(seen);
    }
    Ok(())
}

/// Returns the proxy that the key of a heartbeat record names, `None` for other keys.
fn parse_member(key: &str) -> Option<Member> {
    let (dc, id) = keys::parse_proxy_key(key)?;
    Some(Member {
        dc: dc.to_owned(),
        id: id.to_owned(),
    })
}

async fn send(values: &[KeyValue], tx: &mpsc::Sender<Message>) {
    for message in values.iter().filter_map(parse_message) {
        let _ = tx.send(message).await;
    }
}

/// Parses a bundle or primary record; logs a value that cannot be parsed.
fn parse_message(kv: &KeyValue) -> Option<Message> {
    let log_ignored = |error: &Error| log::error!(target: "control", "Ignored the invalid value of key {} in the KV: {error}.", kv.key);
    if let Some(group) = kv.key.strip_prefix(keys::PRIMARY_PREFIX) {
        let group = group.to_owned();
        let parsed = Record::parse(&kv.value).inspect_err(log_ignored);
        return Some(match parsed {
            Ok(record) => Message::Record {
                group,
                stored: StoredRecord {
                    record,
                    revision: kv.mod_revision,
                    seen_at: Instant::now(),
                    lost_in_restore: false,
                },
            },
            Err(_) => Message::UnreadableRecord { group },
        });
    }
    if kv.key != keys::BUNDLE {
        return None;
    }
    let bundle = Bundle::parse(&String::from_utf8_lossy(&kv.value));
    bundle.inspect_err(log_ignored).ok().map(Message::Bundle)
}

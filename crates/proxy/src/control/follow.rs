//! Follows what the platform KV says to all proxies: the bundle, the record of each group's
//! primary, and who is there. One watch carries all, because the KV counts every waiting watch.

use std::time::{Duration, Instant};

use dandelionpitch_core::{
    bundle::Bundle,
    keys,
    kv::{self, EventType, KeyValue},
    primary::Record,
    Error,
};
use tokio::sync::mpsc;

use super::{backoff::Backoff, duty::Member, Message};
use crate::view::Held;

/// The pause after the first failure, and the longest one. A fleet that all asked again at
/// once would keep a recovering KV down.
const RETRY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(4));

/// Sends every bundle and record that is in the KV or comes into it, until nobody listens; says before it
/// when the KV has come back from a copy.
///
/// `salt` tells this proxy's retries apart from others'.
pub async fn run(kv: kv::Client, salt: u64, out: mpsc::Sender<Message>) {
    let mut backoff = Backoff::new(RETRY.0, RETRY.1, salt);
    let mut next = None;
    let mut era = None;
    while !out.is_closed() {
        match follow(&kv, &mut next, &mut era, &out).await {
            Ok(()) => backoff.reset(),
            Err(error) => {
                // What was missed meanwhile may be gone from the KV's history: read it all.
                next = None;
                if backoff.failures() == 0 {
                    log::warn!(target: "control", "Lost the platform KV: {error}.");
                }
                tokio::time::sleep(backoff.pause()).await;
            }
        }
    }
}

/// Reads what is there, unless `next` says from which revision to go on, then watches until
/// the watch ends.
///
/// The watch starts after the newest revision read, so a change between the two calls is not
/// missed.
async fn follow(
    kv: &kv::Client,
    next: &mut Option<u64>,
    era: &mut Option<u64>,
    out: &mpsc::Sender<Message>,
) -> Result<(), Error> {
    let start = match *next {
        Some(revision) => revision,
        None => {
            let current = kv.list(keys::SITE_PREFIX).await?;
            let now = kv.era();
            if era.replace(now).is_some_and(|before| before < now) {
                let _ = out.send(Message::Restored { era: now }).await;
            }
            // Before the bundle, so that a proxy that starts watches only what is its to watch.
            let members = current.iter().filter_map(|kv| member(&kv.key)).collect();
            let _ = out.send(Message::Members(members)).await;
            send(&current, out).await;
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
            if let Some(member) = member(&event.kv.key) {
                let _ = out.send(Message::Member { member, present }).await;
            } else if present {
                send(&[event.kv], out).await;
            }
        }
        *next = (*next).max(seen);
    }
    Ok(())
}

/// The proxy a heartbeat record's key names.
fn member(key: &str) -> Option<Member> {
    let (dc, id) = keys::parse_proxy_key(key)?;
    Some(Member {
        dc: dc.to_owned(),
        id: id.to_owned(),
    })
}

async fn send(values: &[KeyValue], out: &mpsc::Sender<Message>) {
    for message in values.iter().filter_map(message) {
        let _ = out.send(message).await;
    }
}

/// What a key says; a value that cannot be read is said so in the log.
fn message(kv: &KeyValue) -> Option<Message> {
    let ignored =
        |error: &Error| log::error!(target: "control", "Ignored {} in the KV: {error}.", kv.key);
    if let Some(group) = kv.key.strip_prefix(keys::PRIMARY_PREFIX) {
        let group = group.to_owned();
        let read = Record::parse(&kv.value).inspect_err(ignored);
        return Some(match read {
            Ok(record) => Message::Record {
                group,
                held: Held {
                    record,
                    revision: kv.mod_revision,
                    seen_at: Instant::now(),
                    forgotten: false,
                },
            },
            Err(_) => Message::Unreadable { group },
        });
    }
    if kv.key != keys::BUNDLE {
        return None;
    }
    let bundle = Bundle::parse(&String::from_utf8_lossy(&kv.value));
    bundle.inspect_err(ignored).ok().map(Message::Bundle)
}

//! Copies the store's content from a relay when the process starts.
//!
//! The content of a large deployment takes many calls to list, and megabytes of the store's network link
//! for each proxy that starts. A relay has it already, so the store is only asked for the relays and for
//! its revision, which a complete copy has reached. Asking it for what has changed since the relay's copy
//! would be as much as listing it, as all proxies register at once.

use std::{rc::Rc, time::Duration};

use dandelionpitch_engine::{
    feed::{Source, Start},
    mirror::Progress,
    ownership::Peer,
    seed,
    time::Moment,
};
use dandelionpitch_platform::{feed::Request, store::Item, Error};

use crate::line::{
    clock,
    control::{
        heartbeat,
        keys::{self, RELAY_PREFIX},
        relay::Relay,
        state::Control,
    },
    journal,
};

/// How long relays that have no content yet are asked again: longer than they need to list the store when
/// all proxies start at once. Listing the store instead would delay them.
const MAX_WAIT: Duration = Duration::from_millis(5_000);

/// The delay until a relay without content is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long a proxy waits for its lease, which takes two calls, before it lists the store unannounced.
const MAX_LEASE_WAIT: Duration = Duration::from_millis(1_000);
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The number of relays that are tried.
const MAX_RELAYS_TRIED: usize = 3;

/// Fills the mirror from a relay and returns it; `None` if the store has to be listed instead.
pub async fn run(control: &Rc<Control>) -> Option<Peer> {
    let relays = match choose_relays(control).await {
        Ok(relays) => relays,
        Err(error) => {
            control.store_state.send_replace(seed::Store::Failed);
            journal::trouble("bootstrap", &error.to_string());
            return None;
        }
    };
    let until = clock::now() + MAX_WAIT;
    let mut progress = Progress::default();
    for peer in relays.iter().take(MAX_RELAYS_TRIED) {
        match copy_content(control, peer, &mut progress, until).await {
            Ok(()) => return Some(peer.clone()),
            Err(error) => journal::trouble("bootstrap", &format!("{}: {error}", peer.id)),
        }
    }
    None
}

/// The relays from which to copy the content, in order; empty if this proxy has to list the store. In that
/// case it is announced as a relay, so that the proxies of its data centre wait for its content.
async fn choose_relays(control: &Control) -> Result<Vec<Peer>, Error> {
    let start = |relays| {
        let (id, dc) = (&control.id, &control.dc);
        Start::new(relays, id, dc, control.peer.capacity)
    };
    let items = control.store().list_stale(RELAY_PREFIX).await?;
    control.store_state.send_replace(seed::Store::Answered);
    let delay = match start(decode_relays(&items)) {
        Start::Copy(relays) => return Ok(relays),
        Start::List => return Ok(Vec::new()),
        Start::Wait(delay) => delay,
    };
    tokio::time::sleep(delay).await;
    wait_for_lease(control).await;
    let (items, _) = control.store().list(RELAY_PREFIX).await?;
    match start(decode_relays(&items)) {
        Start::Copy(relays) => Ok(relays),
        Start::List => Ok(Vec::new()),
        Start::Wait(_) => {
            heartbeat::announce_relay(control).await?;
            Ok(Vec::new())
        }
    }
}

/// Waits until this proxy can be announced, as the proxies that wait longer would list the store as well.
async fn wait_for_lease(control: &Control) {
    let until = clock::now() + MAX_LEASE_WAIT;
    while control.lease.get().is_none() && clock::now() < until {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
    }
}

fn decode_relays(items: &[Item]) -> Vec<Peer> {
    let relays = items.iter().filter_map(|item| {
        let id = item.key.strip_prefix(RELAY_PREFIX)?;
        keys::decode_member(id, &item.value).ok().flatten()
    });
    relays.collect()
}

/// Copies a relay's content into the mirror until it has everything that the store had when the copy
/// began, and publishes it. Continues from `progress` if another relay sent the first parts.
async fn copy_content(
    control: &Control,
    peer: &Peer,
    progress: &mut Progress,
    until: Moment,
) -> Result<(), Error> {
    let source = Source::Peer(peer.id.clone());
    let mut relay = Relay::at(&peer.id, peer.address);
    let asked = clock::now();
    let revision = control.store().revision().await;
    if revision.is_err() {
        control.store_state.send_replace(seed::Store::Failed);
    }
    let target = revision?;
    let mut wait = Duration::ZERO;
    while control.mirror.revision() < target {
        let request = Request {
            progress: *progress,
            wait,
        };
        match relay.poll(&control.mirror, request).await {
            Ok(answer) => {
                control
                    .mirror
                    .apply(&source, &answer.part.update, Moment::default());
                progress.advance(&answer.part);
                wait = match answer.part.has_more {
                    true => Duration::ZERO,
                    // The relay has not received the latest changes itself.
                    false => control.budget.relay_poll,
                };
            }
            Err(Error::Refused(_)) if clock::now() < until => {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Err(error) => return Err(error),
        }
        if clock::now() >= until {
            return Err(Error::Timeout);
        }
    }
    control.mirror.note_copied(&source, asked);
    control.apply_snapshot(&control.mirror.content());
    Ok(())
}

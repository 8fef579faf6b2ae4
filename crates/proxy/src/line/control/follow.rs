//! Keeps the copy of the store's content current: lists the store once, then polls for changes, at the
//! store or at a relay. The source is chosen by [`engine::feed`]. If the store does not answer a process that
//! starts, the first copy may be a seed's ([`seeds`]).
//!
//! [`engine::feed`]: dandelionpitch_engine::feed

use std::{rc::Rc, time::Duration};

use dandelionpitch_engine::{
    era,
    feed::{self, Failures, Source, STORE_GRACE},
    mirror::{Change, Update},
    ownership::Peer,
    seed::{self, Search},
    time::Moment,
};
use dandelionpitch_platform::{
    feed::Request,
    store::{Value, WatchResult},
    Error,
};
use serde_json::json;

use crate::{
    control::backoff::{self, Backoff},
    line::{
        clock,
        control::{
            bootstrap,
            relay::Relay,
            seeds::{self, Copied},
            state::Control,
        },
        journal, records,
    },
};

/// The minimum timeout of a poll that is shortened because a missing server is due to be dropped.
const MIN_POLL_TIMEOUT: Duration = Duration::from_millis(100);

/// The first and the longest delay after failed polls, short enough for a new configuration to take
/// effect in time after an outage. Jitter keeps proxies from retrying at the same time.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// The prefix of all keys.
const ALL_KEYS: &str = "";

/// Polls for changes until the process ends. `seeds` may have the first copy.
pub async fn run(control: Rc<Control>, seeds: Search<Value>) {
    let mut follower = Follower::new(control);
    if !seeds.is_empty() {
        follower.start(seeds).await;
    }
    loop {
        follower.step().await;
    }
}

struct Follower {
    control: Rc<Control>,
    backoff: Backoff,
    failures: Failures,
    /// The source that answered the last poll, if it succeeded.
    source: Option<Source>,
    relay: Option<Relay>,
    /// The relay from which the first list was copied, if it was.
    copied_from: Option<Peer>,
    /// Whether the store must be listed before it is watched.
    needs_list: bool,
    /// When changes from the store were last processed.
    changed_at: Moment,
}

impl Follower {
    fn new(control: Rc<Control>) -> Self {
        let salt = backoff::stable_hash(&control.id);
        Self {
            control,
            backoff: Backoff::new(RETRY_DELAYS.0, RETRY_DELAYS.1, salt),
            failures: Failures::default(),
            source: None,
            relay: None,
            copied_from: None,
            needs_list: true,
            changed_at: Moment::default(),
        }
    }

    /// Polls until there is a complete copy, which the seeds may send first.
    async fn start(&mut self, seeds: Search<Value>) {
        let control = self.control.clone();
        let polls = async {
            while !control.mirror.is_complete() {
                self.step().await;
            }
        };
        let copied = tokio::select! {
            biased;
            () = polls => None,
            copied = seeds::copy(&control, seeds) => Some(copied),
        };
        if let Some(copied) = copied {
            self.adopt(copied);
        }
    }

    /// Puts a seed's copy in force. The store and the relays are then asked for what has changed since, as
    /// by a process that has lost its source.
    fn adopt(&mut self, copied: Copied) {
        let control = &self.control;
        let (revision, synced_until) = (copied.mirror.revision(), copied.synced_until);
        if !control.mirror.adopt(copied.mirror, synced_until) {
            return;
        }
        self.needs_list = false;
        control.store().note_era_of(revision);
        control.apply_seed_copy(&control.mirror.content());
        control.registry.borrow_mut().note_synced(synced_until);
        records::note_synced(&control.synced_until_ms, synced_until);
        control.metrics.seed_copy();
        journal::write(
            "seed",
            json!({ "copied_from": copied.seed.to_string(), "revision": revision,
                "age_ms": control.mirror.report().age_ms, "parts": copied.parts }),
        );
    }

    /// Polls one source and handles the outcome.
    async fn step(&mut self) {
        let source = self.choose_source();
        match self.poll(&source).await {
            Ok(changed) => self.on_success(&source, changed).await,
            Err(error) => self.on_failure(&source, &error).await,
        }
    }

    /// The source of the next poll. A process that has just started asks the store itself, as a relay
    /// may not have the latest configuration.
    fn choose_source(&self) -> Source {
        if self.control.mirror.revision() == 0 {
            return Source::Store;
        }
        if self.is_store_due() {
            return Source::Store;
        }
        let subscription = self.control.subscription.borrow();
        let chosen = self.failures.choose(&subscription, clock::now());
        match (&self.copied_from, &chosen) {
            // While all proxies start, the list may not name a relay yet.
            (Some(peer), Source::Store) if !self.control.is_registered() => {
                let copied_from = Source::Peer(peer.id.clone());
                let now = clock::now();
                match self
                    .failures
                    .is_backing_off(&copied_from, &subscription, now)
                {
                    true => chosen,
                    false => copied_from,
                }
            }
            _ => chosen,
        }
    }

    /// Whether the store must be asked before another relay. A proxy that is not registered has just
    /// started, as others may have, and the calls of all of them would overload the store.
    fn is_store_due(&self) -> bool {
        let control = &self.control;
        let synced_until = control.mirror.synced_until();
        let is_due = self
            .failures
            .is_store_due(&control.budget, synced_until, clock::now());
        is_due && control.is_registered()
    }

    /// Polls the source once; returns whether anything has changed.
    async fn poll(&mut self, source: &Source) -> Result<bool, Error> {
        match source {
            Source::Store if self.needs_list => self.list_store().await,
            Source::Store => self.watch_store().await,
            Source::Peer(id) => self.poll_relay(source, id).await,
        }
    }

    async fn list_store(&mut self) -> Result<bool, Error> {
        if self.control.mirror.revision() == 0 {
            self.copied_from = bootstrap::run(&self.control).await;
            if self.copied_from.is_some() {
                self.needs_list = false;
                return Ok(true);
            }
        }
        let asked = clock::now();
        let (items, revision) = self.control.store().list(ALL_KEYS).await?;
        let update = Update {
            revision,
            is_snapshot: true,
            changes: items.into_iter().map(Change::Written).collect(),
        };
        self.apply(&Source::Store, &update, asked);
        self.needs_list = false;
        Ok(true)
    }

    async fn watch_store(&mut self) -> Result<bool, Error> {
        let asked = clock::now();
        let (store, after) = (self.control.store(), self.control.mirror.revision());
        let store_poll = self.control.budget.store_poll;
        let wait = match self.source {
            Some(Source::Store) => self.poll_timeout(store_poll),
            // A response at once proves that the copy is current.
            _ => Duration::ZERO,
        };
        let limit = store_poll + STORE_GRACE;
        let result = store.watch(ALL_KEYS, after, wait, limit).await?;
        let WatchResult::Changes { events, next } = result else {
            self.needs_list = true;
            return Ok(true);
        };
        let update = Update {
            revision: next,
            is_snapshot: false,
            changes: events,
        };
        Ok(self.apply(&Source::Store, &update, asked))
    }

    fn connect_relay(&self, id: &str) -> Result<Relay, Error> {
        match &self.copied_from {
            Some(peer) if peer.id == id => Ok(Relay::at(id, peer.address)),
            _ => Relay::new(&self.control, id),
        }
    }

    async fn poll_relay(&mut self, source: &Source, id: &str) -> Result<bool, Error> {
        let connected = self.relay.take().filter(|relay| relay.id() == id);
        let (mut relay, wait) = match connected {
            Some(relay) => (relay, self.poll_timeout(self.control.budget.relay_poll)),
            // A new relay has to answer at once, so that an unresponsive one is noticed early.
            None => (self.connect_relay(id)?, Duration::ZERO),
        };
        let after = self.control.mirror.revision();
        let asked = clock::now();
        let answer = relay
            .poll(
                &self.control.mirror,
                Request {
                    progress: after.into(),
                    wait,
                },
            )
            .await?;
        self.relay = Some(relay);
        let synced_until = match answer.part.has_more {
            // Later changes are still to come, however recent the relay is.
            true => Moment::default(),
            false => feed::synced_until(asked, answer.timing.waited, answer.timing.age),
        };
        let changed = self.apply(source, &answer.part.update, synced_until);
        // The relay's response includes changes that are no longer available from the store.
        self.needs_list = false;
        Ok(changed)
    }

    /// Applies an update that has all changes up to `synced_until`; returns whether anything has
    /// changed.
    fn apply(&self, source: &Source, update: &Update<Value>, synced_until: Moment) -> bool {
        let control = &self.control;
        let before = control.mirror.revision();
        if !control.mirror.apply(source, update, synced_until) {
            return false;
        }
        let restored = before != 0 && era::of(before) < era::of(update.revision);
        match (restored, update.is_snapshot) {
            (true, _) => control.apply_restored(update),
            (false, true) => control.apply_snapshot(&update.changes),
            (false, false) => control.apply_changes(&update.changes),
        }
        !update.changes.is_empty()
    }

    /// How long a poll waits for changes: up to `wait`, less if a missing server is due to be dropped or a
    /// failover waits for a current list.
    fn poll_timeout(&self, wait: Duration) -> Duration {
        let expiry = self.control.registry.borrow().next_expiry();
        let needed_at = self.control.list_needed_at.get();
        match expiry.into_iter().chain(needed_at).min() {
            Some(expiry) => wait.min(clock::now().until(expiry).max(MIN_POLL_TIMEOUT)),
            None => wait,
        }
    }

    async fn on_success(&mut self, source: &Source, changed: bool) {
        let control = &self.control;
        self.backoff.reset();
        self.failures.clear(source);
        if !control.is_following.replace(true) {
            journal::dependency("store", "followed", "");
            control.registry.borrow_mut().restart_expiry(clock::now());
        }
        let synced_until = control.mirror.synced_until();
        control.expire(synced_until);
        control.registry.borrow_mut().note_synced(synced_until);
        records::note_synced(&control.synced_until_ms, synced_until);
        if self.source.as_ref() != Some(source) {
            let report = control.mirror.report();
            journal::write(
                "source",
                json!({ "of_changes": format!("{source:?}"), "revision": control.mirror.revision(),
                    "age_ms": report.age_ms }),
            );
            self.source = Some(source.clone());
        }
        // Relays already batch the changes for their followers.
        if changed && *source == Source::Store {
            let now = clock::now();
            let interval = feed::batch_interval(now.since(control.started_at));
            tokio::time::sleep(now.until(self.changed_at + interval)).await;
            self.changed_at = clock::now();
        }
    }

    async fn on_failure(&mut self, source: &Source, error: &Error) {
        let control = &self.control;
        self.failures.record(source, clock::now());
        if *source == Source::Store {
            control.metrics.store_error();
            control.store_state.send_replace(seed::Store::Failed);
            if let Err(error) = control.store.borrow_mut().reconnect() {
                journal::trouble("store client", &error.to_string());
            }
        }
        if self.source.as_ref() == Some(source) {
            self.source = None;
            control.mirror.note_source_lost();
            journal::dependency("source", "lost", &format!("{source:?}: {error}"));
        }
        let next = self.choose_source();
        if self
            .failures
            .is_backing_off(&next, &control.subscription.borrow(), clock::now())
        {
            if control.is_following.replace(false) {
                journal::dependency("store", "lost", &error.to_string());
            }
            tokio::time::sleep(self.backoff.next_delay()).await;
        }
    }
}

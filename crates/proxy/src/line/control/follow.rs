//! Follows the store: one list at the start, then what changed, from the store itself or from another
//! proxy that follows it. Whom to ask is decided by [`engine::feed`].
//!
//! [`engine::feed`]: dandelionpitch_engine::feed

use std::{rc::Rc, time::Duration};

use dandelionpitch_engine::{
    era,
    feed::{self, Failures, Source},
    mirror::{Change, Update},
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
        control::{feeder::Feeder, state::Control},
        journal, records,
    },
};

/// The part of the time within which a configuration has to be in force that a watch waits. One that
/// hangs for good is noticed within it and its slack, which leaves time to read everything again.
const WAIT_PART: f64 = 0.66;

/// The least time between two watches that bring changes, but for the first after a quiet time.
///
/// Load pattern: all proxies start at once or are restarted in turn, each writes its entry, and each
/// entry wakes all who watch. Changes that come together are taken together; none needs to be known
/// sooner.
const GATHER: Duration = Duration::from_millis(500);

/// The shortest wait, while an entry is missing and is about to be dropped.
const SHORTEST_WAIT: Duration = Duration::from_millis(100);

/// The pause after a first failed call, and the longest one: short enough for the bound of a
/// configuration after an outage, and spread so that the proxies do not come back as one.
const RETRY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Every key: the configuration, the servers and the proxies' own.
const EVERYTHING: &str = "";

/// Follows the store until the process ends.
pub async fn run(control: Rc<Control>) {
    let mut follower = Follower::new(control);
    loop {
        let source = follower.choose();
        match follower.step(&source).await {
            Ok(changed) => follower.heard(&source, changed).await,
            Err(error) => follower.missed(&source, &error).await,
        }
    }
}

struct Follower {
    control: Rc<Control>,
    backoff: Backoff,
    failures: Failures,
    /// The source that answered last.
    source: Option<Source>,
    feeder: Option<Feeder>,
    /// Whether everything has to be read again.
    anew: bool,
    changed_at: Moment,
}

impl Follower {
    fn new(control: Rc<Control>) -> Self {
        let salt = backoff::stable_hash(&control.id);
        Self {
            control,
            backoff: Backoff::new(RETRY.0, RETRY.1, salt),
            failures: Failures::default(),
            source: None,
            feeder: None,
            anew: true,
            changed_at: Moment::default(),
        }
    }

    /// A process that has just started asks the store itself: it must know the newest configuration.
    fn choose(&self) -> Source {
        match self.control.mirror.revision() {
            0 => Source::Store,
            _ => self
                .failures
                .choose(&self.control.place.borrow(), clock::now()),
        }
    }

    /// Asks once; whether anything has changed.
    async fn step(&mut self, source: &Source) -> Result<bool, Error> {
        match source {
            Source::Store if self.anew => self.list().await,
            Source::Store => self.watch().await,
            Source::Peer(id) => self.ask(source, id).await,
        }
    }

    async fn list(&mut self) -> Result<bool, Error> {
        let asked = clock::now();
        let (items, revision) = self.control.store().list(EVERYTHING).await?;
        let update = Update {
            revision,
            is_snapshot: true,
            changes: items.into_iter().map(Change::Written).collect(),
        };
        self.take(&Source::Store, &update, asked);
        self.anew = false;
        Ok(true)
    }

    async fn watch(&mut self) -> Result<bool, Error> {
        let asked = clock::now();
        let (after, wait) = (self.control.mirror.revision(), self.wait());
        let watched = self.control.store().watch(EVERYTHING, after, wait).await?;
        let WatchResult::Changes { events, next } = watched else {
            self.anew = true;
            return Ok(true);
        };
        let update = Update {
            revision: next,
            is_snapshot: false,
            changes: events,
        };
        Ok(self.take(&Source::Store, &update, asked))
    }

    async fn ask(&mut self, source: &Source, id: &str) -> Result<bool, Error> {
        let known = self.feeder.take().filter(|feeder| feeder.id() == id);
        let (mut feeder, wait) = match known {
            Some(feeder) => (feeder, self.wait()),
            // The first answer of a new source comes at once, so that one that hangs costs little.
            None => (Feeder::new(&self.control, id)?, Duration::ZERO),
        };
        let after = self.control.mirror.revision();
        let asked = clock::now();
        let answer = feeder
            .ask(&self.control.mirror, Request { after, wait })
            .await?;
        self.feeder = Some(feeder);
        let known = feed::known_until(asked, answer.waited, answer.age);
        let changed = self.take(source, &answer.update, known);
        // Whatever the store has forgotten, the other proxy has told.
        self.anew = false;
        Ok(changed)
    }

    /// Takes an update that is complete up to `known`; whether anything has changed.
    fn take(&self, source: &Source, update: &Update<Value>, known: Moment) -> bool {
        let control = &self.control;
        let before = control.mirror.revision();
        if !control.mirror.apply(source, update, known) {
            return false;
        }
        let restored = before != 0 && era::of(before) < era::of(update.revision);
        match (restored, update.is_snapshot) {
            (true, _) => control.restore(update),
            (false, true) => control.replace(&update.changes),
            (false, false) => control.apply(&update.changes),
        }
        !update.changes.is_empty()
    }

    /// How long a question waits for changes.
    fn wait(&self) -> Duration {
        let wait = self
            .control
            .config_within
            .mul_f64(WAIT_PART)
            .min(feed::POLL_TIMEOUT);
        match self.control.registry.borrow().next_expiry() {
            Some(expiry) => wait.min(clock::now().until(expiry).max(SHORTEST_WAIT)),
            None => wait,
        }
    }

    async fn heard(&mut self, source: &Source, changed: bool) {
        let control = &self.control;
        self.backoff.reset();
        self.failures.clear(source);
        if !control.followed_lately.replace(true) {
            journal::dependency("store", "followed", "");
            control.registry.borrow_mut().restart_expiry(clock::now());
        }
        let known = control.mirror.known_until();
        control.expire(known);
        control.registry.borrow_mut().note_synced(known);
        records::note_synced(&control.followed, known);
        if self.source.as_ref() != Some(source) {
            journal::write("source", json!({ "of_changes": format!("{source:?}") }));
            self.source = Some(source.clone());
        }
        // Feeders gather for those who hear from them.
        if changed && *source == Source::Store {
            tokio::time::sleep(clock::now().until(self.changed_at + GATHER)).await;
            self.changed_at = clock::now();
        }
    }

    async fn missed(&mut self, source: &Source, error: &Error) {
        let control = &self.control;
        self.failures.record(source, clock::now());
        if *source == Source::Store {
            control.metrics.store_error();
            if let Err(error) = control.store.borrow_mut().reconnect() {
                journal::trouble("store client", &error.to_string());
            }
        }
        if self.source.as_ref() == Some(source) {
            self.source = None;
            control.mirror.note_source_lost();
            journal::dependency("source", "lost", &format!("{source:?}: {error}"));
        }
        let next = self.choose();
        if self
            .failures
            .is_backing_off(&next, &control.place.borrow(), clock::now())
        {
            if control.followed_lately.replace(false) {
                journal::dependency("store", "lost", &error.to_string());
            }
            tokio::time::sleep(self.backoff.next_delay()).await;
        }
    }
}

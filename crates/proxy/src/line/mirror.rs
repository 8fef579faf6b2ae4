//! The process's copy of the store's content, and how stale it is. The control thread updates it, and the
//! traffic thread serves it to other proxies.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{
    delta::Delta,
    era,
    feed::Source,
    history,
    mirror::{Mirror, Progress, Update},
    time::Moment,
};
use dandelionpitch_platform::{
    feed::{self, Encoded, Request, Timing, Version},
    store::{Event, Value},
    Error,
};
use serde::Serialize;
use tokio::sync::watch;

use crate::line::clock;

/// The size from which changes of a value are sent as deltas.
const DELTA_MIN_BYTES: usize = 4 * 1024;

/// The maximum size of a response. A follower that is further behind gets several: a larger one would
/// occupy a slow network link for longer than the follower waits for it.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// The number of revisions after which the changes are kept encoded. Most followers have reached the same
/// revision, those that are behind a few others.
const MAX_ENCODED: usize = 16;

/// The mirror of the process, shared by both threads.
#[derive(Clone, Debug)]
pub struct Handle {
    content: Arc<Mutex<Content>>,
    /// Notified of each change, and when the source is lost.
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct Content {
    mirror: Mirror<Value>,
    /// The age up to which followers are served.
    max_age: Duration,
    /// Earlier versions of large values, by key.
    history: Map<String, History>,
    /// The time up to which every change of the store has been applied.
    synced_until: Moment,
    /// The source of the last update, until it fails.
    source: Option<Source>,
    /// Whether it has everything that the store had at some time. It has not while the first copy is made in
    /// parts.
    is_complete: bool,
    /// The missed changes as sent to followers, by their progress; `None` if they cannot be sent in parts.
    /// Dropped when the content changes.
    encoded: Map<Progress, Option<Arc<Encoded>>>,
}

/// A response to a follower.
pub struct Response {
    pub changes: Arc<Encoded>,
    pub timing: Timing,
}

/// What can be done about a follower's request at this moment.
enum Attempt {
    Respond(Response),
    /// There is no change yet.
    Wait,
    Refuse,
}

/// The earlier versions of a key.
#[derive(Debug, Default)]
struct History {
    versions: history::History<Value>,
    /// The delta computed last and the revision of the value that it produces. Cached, as most followers
    /// have the same version.
    last_delta: Option<(u64, Arc<Delta>)>,
}

/// The state of the mirror, for operators.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The proxy from which changes are received, or `store`; `None` if the source was lost.
    pub from: Option<String>,
    /// How often the store was restored from a backup, and the revision reached since then.
    pub era: u64,
    pub revision: u64,
    /// How stale the mirror may be: every change older than this has been applied.
    pub age_ms: u64,
}

impl Handle {
    /// An empty mirror, which serves followers while it is at most `max_age` old.
    pub fn new(max_age: Duration) -> Self {
        let content = Content {
            max_age,
            ..Content::default()
        };
        Self {
            content: Arc::new(Mutex::new(content)),
            changed: watch::channel(()).0,
        }
    }

    /// Applies an update from `source` that has every change up to `synced_until`. Returns whether
    /// it was applied; see [`Mirror::apply`].
    pub fn apply(&self, source: &Source, update: &Update<Value>, synced_until: Moment) -> bool {
        let mut content = self.lock();
        let before = content.mirror.revision();
        content.record_history(update);
        let applied = content.mirror.apply(update);
        content.is_complete |= applied && update.is_snapshot;
        content.synced_until = content.synced_until.max(synced_until);
        content.source = Some(source.clone());
        let changed = content.mirror.revision() != before;
        if changed {
            content.encoded.clear();
        }
        drop(content);
        if changed {
            self.changed.send_replace(());
        }
        applied
    }

    /// Records that the source failed, and ends the waiting requests: [`Self::respond`] returns `None`.
    pub fn note_source_lost(&self) {
        if self.lock().source.take().is_some() {
            self.changed.send_replace(());
        }
    }

    /// Whether the content is everything that the store had at some time.
    pub fn is_complete(&self) -> bool {
        self.lock().is_complete
    }

    /// The time up to which every change of the store has been applied.
    pub fn synced_until(&self) -> Moment {
        self.lock().synced_until
    }

    /// The revision that the mirror has reached.
    pub fn revision(&self) -> u64 {
        self.lock().mirror.revision()
    }

    /// The state of the mirror, for operators.
    pub fn report(&self) -> Report {
        let content = self.lock();
        let age = clock::now().since(content.synced_until);
        let from = content.source.as_ref().map(|source| match source {
            Source::Store => "store".to_owned(),
            Source::Peer(id) => id.clone(),
        });
        let reached = content.mirror.revision();
        Report {
            from,
            era: era::of(reached),
            revision: era::revision(reached),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Responds to a long poll as soon as there are changes, or when its wait has passed. `None` if the
    /// mirror has no source, is too old or has changes that cannot be sent in parts.
    pub async fn respond(&self, request: Request) -> Result<Option<Response>, Error> {
        let requested_at = clock::now();
        let mut changed = self.changed.subscribe();
        loop {
            let waited = clock::now().since(requested_at);
            let left = request.wait.saturating_sub(waited);
            match self.lock().try_respond(request.progress, waited, left)? {
                Attempt::Respond(response) => return Ok(Some(response)),
                Attempt::Refuse => return Ok(None),
                Attempt::Wait => {}
            }
            // The channel stays open, as the sender is in `self`. The loop handles a timeout.
            let _ = tokio::time::timeout(left, changed.changed()).await;
        }
    }

    /// Responds to a proxy that copies the content while the store does not answer. The content may be of any
    /// age, which is told. `None` if it is incomplete or has changes that cannot be sent in parts.
    pub fn respond_with_copy(&self, progress: Progress) -> Result<Option<Response>, Error> {
        let mut content = self.lock();
        if !content.is_complete {
            return Ok(None);
        }
        let timing = Timing {
            waited: Duration::ZERO,
            age: clock::now().since(content.synced_until),
        };
        let changes = content.encoded(progress)?;
        Ok(changes.map(|changes| Response { changes, timing }))
    }

    /// Everything that the store contains.
    pub fn content(&self) -> Vec<Event> {
        self.lock().mirror.since(0).changes
    }

    /// Records that the content was copied from `source`, with every change up to `synced_until`. Removals
    /// from before the copy may have been missed.
    pub fn note_copied(&self, source: &Source, synced_until: Moment) {
        let mut content = self.lock();
        content.mirror.note_history_unknown();
        content.encoded.clear();
        content.is_complete = true;
        content.synced_until = content.synced_until.max(synced_until);
        content.source = Some(source.clone());
    }

    /// Replaces incomplete content by a complete copy, which has every change up to `synced_until`. Returns
    /// `false`, and changes nothing, if the content is complete.
    ///
    /// There is no source: what another proxy had proves nothing about the time after it was sent, so
    /// followers are not served before the store or a relay has answered.
    pub fn adopt(&self, mirror: Mirror<Value>, synced_until: Moment) -> bool {
        let mut content = self.lock();
        if content.is_complete {
            return false;
        }
        *content = Content {
            mirror,
            max_age: content.max_age,
            synced_until,
            is_complete: true,
            ..Content::default()
        };
        drop(content);
        self.changed.send_replace(());
        true
    }

    /// The current value of a key and the revision at which it was written.
    pub fn current(&self, key: &str) -> Option<Version> {
        let content = self.lock();
        let (at, value) = content.mirror.get(key)?;
        Some((at, value.clone()))
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Content {
    /// The response to a request, which has `waited` and has time `left`.
    fn try_respond(
        &mut self,
        progress: Progress,
        waited: Duration,
        left: Duration,
    ) -> Result<Attempt, Error> {
        let age = clock::now().since(self.synced_until);
        if self.source.is_none() || age > self.max_age {
            return Ok(Attempt::Refuse);
        }
        if self.mirror.revision() <= progress.after && !left.is_zero() {
            return Ok(Attempt::Wait);
        }
        let changes = self.encoded(progress)?;
        Ok(changes.map_or(Attempt::Refuse, |changes| {
            let timing = Timing { waited, age };
            Attempt::Respond(Response { changes, timing })
        }))
    }

    /// The earliest missed changes that fit into a response; `None` if they cannot be split.
    fn encoded(&mut self, progress: Progress) -> Result<Option<Arc<Encoded>>, Error> {
        if let Some(known) = self.encoded.get(&progress) {
            return Ok(known.clone());
        }
        let Self {
            mirror, history, ..
        } = self;
        let mut delta_of = |key: &str| match progress.copy_start {
            // A follower that copies the content has no earlier versions.
            Some(_) => None,
            None => delta(mirror, history, key, progress.after),
        };
        let part = mirror.part_since(progress, MAX_RESPONSE_BYTES, |key, value| {
            feed::encoded_bytes(key, value, delta_of(key).as_deref())
        });
        let encoded = match part {
            Some(part) => Some(Arc::new(Encoded::new(&part, delta_of)?)),
            None => None,
        };
        if self.encoded.len() >= MAX_ENCODED {
            self.encoded.clear();
        }
        self.encoded.insert(progress, encoded.clone());
        Ok(encoded)
    }

    /// Keeps the large values that an update replaces, as the base of deltas.
    fn record_history(&mut self, update: &Update<Value>) {
        let reached = self.mirror.revision();
        for change in &update.changes {
            let Some((at, old)) = self.mirror.get(change.key()) else {
                continue;
            };
            if old.len() < DELTA_MIN_BYTES || change.revision() <= at {
                continue;
            }
            let history = self.history.entry(change.key().to_owned()).or_default();
            history.versions.record(at, reached, old.clone());
        }
    }
}

/// The delta to a key's current value from the version that a follower at revision `reached` has.
/// `None` if that version is not known, as for small values.
fn delta(
    mirror: &Mirror<Value>,
    history: &mut Map<String, History>,
    key: &str,
    reached: u64,
) -> Option<Arc<Delta>> {
    let history = history.get_mut(key)?;
    let (base, old) = history.versions.version_at(reached)?;
    let (to, value) = mirror.get(key)?;
    match &history.last_delta {
        Some((at, last)) if *at == to && last.base_revision == base => Some(last.clone()),
        _ => {
            let delta = Arc::new(Delta::new(base, old, value));
            history.last_delta = Some((to, delta.clone()));
            Some(delta)
        }
    }
}

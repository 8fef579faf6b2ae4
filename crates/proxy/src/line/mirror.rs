//! This process's copy of the store's content, with how old it is: filled by the control thread, told to
//! other proxies by the traffic thread.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{
    delta::Delta,
    era,
    feed::{Source, MAX_RELAY_AGE},
    mirror::{Mirror, Update},
    time::Moment,
};
use dandelionpitch_platform::{
    feed::{Request, Response, Version},
    store::Value,
};
use serde::Serialize;
use tokio::sync::watch;

use crate::line::clock;

/// From how many bytes on a value is told by what of it is new.
const LONG: usize = 4 * 1024;

/// How many earlier values of a key are remembered: configurations may come in quick succession.
const EARLIER: usize = 8;

/// The mirror of the process, shared by both threads.
#[derive(Clone, Debug)]
pub struct Handle {
    content: Arc<Mutex<Content>>,
    /// Told with each change, and when it feeds no longer.
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct Content {
    mirror: Mirror<Value>,
    /// The earlier values of keys that are long.
    earlier: Map<String, Earlier>,
    /// Up to when no change of the store was missed.
    known_until: Moment,
    /// Who told it last, as long as they still answer.
    source: Option<Source>,
}

/// What a key was before.
#[derive(Debug, Default)]
struct Earlier {
    /// The oldest first.
    versions: VecDeque<Version>,
    /// What was last told of the key, and the revision of the value that it makes: most followers have
    /// the same version.
    told: Option<(u64, Arc<Delta>)>,
}

/// What operators are told of the mirror.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The proxy that tells of changes, or `store`; nothing if nobody does.
    pub from: Option<String>,
    /// How often the store has come back from a copy, and its revision since that was reached.
    pub era: u64,
    pub revision: u64,
    /// How long ago, at most, a change may have been missed.
    pub age_ms: u64,
}

impl Default for Handle {
    fn default() -> Self {
        Self {
            content: Arc::default(),
            changed: watch::channel(()).0,
        }
    }
}

impl Handle {
    /// Takes an update of `source` that is complete up to `known`; whether it followed what was there.
    pub fn apply(&self, source: &Source, update: &Update<Value>, known: Moment) -> bool {
        let mut content = self.lock();
        let before = content.mirror.revision();
        content.keep_earlier(update);
        let taken = content.mirror.apply(update);
        content.known_until = content.known_until.max(known);
        content.source = Some(source.clone());
        let changed = content.mirror.revision() != before;
        drop(content);
        if changed {
            self.changed.send_replace(());
        }
        taken
    }

    /// Notes that the source was lost, which those who wait for changes are told at once.
    pub fn note_source_lost(&self) {
        if self.lock().source.take().is_some() {
            self.changed.send_replace(());
        }
    }

    /// Up to when no change of the store was missed.
    pub fn known_until(&self) -> Moment {
        self.lock().known_until
    }

    /// The revision that the mirror has reached.
    pub fn revision(&self) -> u64 {
        self.lock().mirror.revision()
    }

    /// What operators are told.
    pub fn report(&self) -> Report {
        let content = self.lock();
        let age = clock::now().since(content.known_until);
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

    /// Answers a question, as soon as there is something new; `None` if this process has nothing to go by.
    pub async fn respond(&self, question: Request) -> Option<Response> {
        let asked = clock::now();
        let mut changed = self.changed.subscribe();
        loop {
            let waited = clock::now().since(asked);
            let left = question.wait.saturating_sub(waited);
            if let Some(answer) = self.now(question.after, waited, left)? {
                return Some(answer);
            }
            // The sender lives in `self`; a timeout is looked at above.
            let _ = tokio::time::timeout(left, changed.changed()).await;
        }
    }

    /// What there is to tell at this moment; nothing yet if nothing is new and some time is `left`.
    fn now(&self, after: u64, waited: Duration, left: Duration) -> Option<Option<Response>> {
        let content = self.lock();
        let age = clock::now().since(content.known_until);
        if content.source.is_none() || age > MAX_RELAY_AGE {
            return None;
        }
        if content.mirror.revision() <= after && !left.is_zero() {
            return Some(None);
        }
        let update = content.mirror.since(after);
        Some(Some(Response {
            update,
            waited,
            age,
        }))
    }

    /// What makes the present value of a key, if that is long, of the one that it had for somebody who has
    /// reached a revision; `None` if that one is not remembered.
    pub fn delta(&self, key: &str, reached: u64) -> Option<Arc<Delta>> {
        let mut content = self.lock();
        let Content {
            mirror, earlier, ..
        } = &mut *content;
        let earlier = earlier.get_mut(key)?;
        let (of, old) = earlier.versions.iter().rfind(|(at, _)| *at <= reached)?;
        let (to, value) = mirror.get(key)?;
        match &earlier.told {
            Some((made, told)) if *made == to && told.base_revision == *of => Some(told.clone()),
            _ => {
                let delta = Arc::new(Delta::new(*of, old, value));
                earlier.told = Some((to, delta.clone()));
                Some(delta)
            }
        }
    }

    /// The present value of a key.
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
    /// Remembers the long values that an update replaces, so that others can be told what is new of them.
    fn keep_earlier(&mut self, update: &Update<Value>) {
        for change in &update.changes {
            let Some((at, old)) = self.mirror.get(change.key()) else {
                continue;
            };
            if old.len() < LONG || change.revision() <= at {
                continue;
            }
            let earlier = self.earlier.entry(change.key().to_owned()).or_default();
            earlier.versions.push_back((at, old.clone()));
            if earlier.versions.len() > EARLIER {
                earlier.versions.pop_front();
            }
        }
    }
}

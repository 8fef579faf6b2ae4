//! This process's copy of the store's content, with how old it is: filled by the control thread, told to
//! other proxies by the traffic thread.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{
    feed::{Source, FRESH_ENOUGH},
    mirror::{Mirror, Update},
    time::Moment,
};
use dandelionpitch_platform::feed::{Answer, Question, Value, Version};
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
    /// Earlier values of keys that are long, the oldest first.
    earlier: Map<String, VecDeque<Version>>,
    /// Up to when no change of the store was missed.
    known_until: Moment,
    /// Who told it last, as long as they still answer.
    source: Option<Source>,
}

/// What operators are told of the mirror.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The proxy that tells of changes, or `store`; nothing if nobody does.
    pub from: Option<String>,
    /// The store's revision that was reached.
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
    pub fn take(&self, source: &Source, update: &Update<Value>, known: Moment) -> bool {
        let mut content = self.lock();
        let before = content.mirror.revision();
        content.keep_earlier(update);
        let taken = content.mirror.take(update);
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
    pub fn lost(&self) {
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
        Report {
            from,
            revision: content.mirror.revision(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Answers a question, as soon as there is something new; `None` if this process has nothing to go by.
    pub async fn answer(&self, question: Question) -> Option<Answer> {
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
    fn now(&self, after: u64, waited: Duration, left: Duration) -> Option<Option<Answer>> {
        let content = self.lock();
        let age = clock::now().since(content.known_until);
        if content.source.is_none() || age > FRESH_ENOUGH {
            return None;
        }
        if content.mirror.revision() <= after && !left.is_zero() {
            return Some(None);
        }
        let update = content.mirror.after(after);
        Some(Some(Answer {
            update,
            waited,
            age,
        }))
    }

    /// The value of a key at the revision that somebody has reached, if it was long and is remembered.
    pub fn version(&self, key: &str, reached: u64) -> Option<Version> {
        let content = self.lock();
        let earlier = content.earlier.get(key)?;
        earlier.iter().rfind(|(at, _)| *at <= reached).cloned()
    }

    /// The present value of a key.
    pub fn present(&self, key: &str) -> Option<Version> {
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
            let Some((at, old)) = self.mirror.get(&change.key) else {
                continue;
            };
            if old.len() < LONG || change.revision <= at {
                continue;
            }
            let earlier = self.earlier.entry(change.key.clone()).or_default();
            earlier.push_back((at, old.clone()));
            if earlier.len() > EARLIER {
                earlier.pop_front();
            }
        }
    }
}

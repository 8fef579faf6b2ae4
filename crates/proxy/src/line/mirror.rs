//! This process's copy of the store's content, with how old it is: filled by the control thread, told to
//! other proxies by the traffic thread.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dandelionpitch_engine::{feed::FRESH_ENOUGH, mirror::Mirror, time::Moment};
use dandelionpitch_platform::feed::{Answer, Question, Value};
use tokio::sync::watch;

use crate::line::clock;

/// The copy, shared by both threads.
#[derive(Clone, Debug)]
pub struct Copy {
    content: Arc<Mutex<Content>>,
    /// Told with each change, and when it feeds no longer.
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct Content {
    mirror: Mirror<Value>,
    /// Up to when no change of the store was missed.
    known_until: Moment,
    /// Whether the last source still answers.
    answered: bool,
}

impl Default for Copy {
    fn default() -> Self {
        Self {
            content: Arc::default(),
            changed: watch::channel(()).0,
        }
    }
}

impl Copy {
    /// Changes the copy, and says up to when nothing was missed.
    pub fn update<T>(&self, known: Moment, change: impl FnOnce(&mut Mirror<Value>) -> T) -> T {
        let mut content = self.lock();
        let before = content.mirror.revision();
        let result = change(&mut content.mirror);
        content.known_until = content.known_until.max(known);
        content.answered = true;
        let changed = content.mirror.revision() != before;
        drop(content);
        if changed {
            self.changed.send_replace(());
        }
        result
    }

    /// Notes that the source of news was lost, which those who wait for news are told at once.
    pub fn lost(&self) {
        let answered = std::mem::replace(&mut self.lock().answered, false);
        if answered {
            self.changed.send_replace(());
        }
    }

    /// Up to when no change of the store was missed.
    pub fn known_until(&self) -> Moment {
        self.lock().known_until
    }

    /// The revision that the copy has reached.
    pub fn revision(&self) -> u64 {
        self.lock().mirror.revision()
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
        if !content.answered || age > FRESH_ENOUGH {
            return None;
        }
        if content.mirror.revision() <= after && !left.is_zero() {
            return Some(None);
        }
        let news = content.mirror.after(after);
        Some(Some(Answer { news, waited, age }))
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

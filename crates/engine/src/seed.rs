//! Copying the store's content from another proxy, a seed, while the store does not answer a proxy that
//! starts: when a seed is asked, which one, and when its answers make a complete copy.
//!
//! The copy is kept apart from the process's own until it is complete. So nothing of it has to be undone if
//! the store answers first, or if the next seed cannot continue it.

use std::{net::SocketAddr, time::Duration};

use dandelionpitch_core::hash;

use crate::{
    mirror::{Mirror, Part, Progress},
    time::Moment,
};

/// How long a seed may take for one part of the copy, including the connection for the first one.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// The pause after every seed has failed.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// How long the first call to the store is waited for before the seeds are asked as well. A slow store
/// answers in 300 ms; the timeout of the call itself is 1.5 s.
const STORE_WAIT: Duration = Duration::from_millis(600);

/// What a starting process knows of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Store {
    /// The first call was sent then and has not ended.
    Asked(Moment),
    Answered,
    Failed,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask this seed for the part after [`Search::progress`].
    Ask(SocketAddr),
    /// Ask nobody for this time, unless the state of the store changes.
    Wait(Duration),
}

/// What a part adds to the copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The seed has more parts.
    Incomplete,
    Complete,
    /// The seed cannot continue the copy: it is behind the one that sent the first parts.
    Unusable,
}

/// The search for a seed that has the content, and the copy as far as it has come.
#[derive(Clone, Debug)]
pub struct Search<V> {
    /// In the order in which they are asked.
    seeds: Vec<SocketAddr>,
    /// The index of the seed that is asked.
    current: usize,
    mirror: Mirror<V>,
    progress: Progress,
    /// The latest revision that a seed had reached when it sent a part. A key that was written up to it may
    /// have been left out of an earlier part, since only its latest write is sent.
    required: u64,
    parts: usize,
}

/// The order differs by proxy, so that those that start together do not all ask the same seed.
fn order(seeds: &[SocketAddr], own: Option<SocketAddr>, id: &str) -> Vec<SocketAddr> {
    let others = seeds.iter().filter(|seed| Some(**seed) != own);
    let mut others: Vec<SocketAddr> = others.copied().collect();
    others.sort_by_cached_key(|seed| hash::stable_hash(&(id, seed)));
    others
}

impl<V: Clone> Search<V> {
    /// A search of the proxy with this `id`, which leaves out its `own` address.
    pub fn new(seeds: &[SocketAddr], own: Option<SocketAddr>, id: &str) -> Self {
        Self {
            seeds: order(seeds, own, id),
            current: 0,
            mirror: Mirror::default(),
            progress: Progress::default(),
            required: 0,
            parts: 0,
        }
    }

    /// Whether there is no seed to ask.
    pub fn is_empty(&self) -> bool {
        self.seeds.is_empty()
    }

    /// What to do now. While the store answers, its content is newer than any copy, so the search starts
    /// anew once the store fails.
    pub fn step(&mut self, store: Store, now: Moment) -> Step {
        match store {
            Store::Answered => self.restart(),
            Store::Asked(at) if now < at + STORE_WAIT => Step::Wait(now.until(at + STORE_WAIT)),
            Store::Asked(_) | Store::Failed => match self.seeds.get(self.current) {
                Some(seed) => Step::Ask(*seed),
                None => self.restart(),
            },
        }
    }

    /// Discards the copy: the seeds that are left may all be behind it.
    fn restart(&mut self) -> Step {
        *self = Self {
            seeds: std::mem::take(&mut self.seeds),
            ..Self::new(&[], None, "")
        };
        Step::Wait(ROUND_PAUSE)
    }

    /// How much of the content has been copied.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Adds a part that the current seed sent.
    pub fn apply(&mut self, part: &Part<V>) -> Verdict {
        let is_stuck = part.has_more && part.update.revision <= self.progress.after;
        if part.reached == 0 || part.reached < self.required || is_stuck {
            return Verdict::Unusable;
        }
        if !self.mirror.apply(&part.update) {
            return Verdict::Unusable;
        }
        self.required = part.reached;
        self.progress.advance(part);
        self.parts += 1;
        match part.has_more {
            true => Verdict::Incomplete,
            false => Verdict::Complete,
        }
    }

    /// Goes on to the next seed, which continues the copy if it can.
    pub fn note_failure(&mut self) {
        self.current += 1;
    }

    /// The number of parts of the copy.
    pub fn parts(&self) -> usize {
        self.parts
    }

    /// The copy, once it is complete.
    pub fn into_mirror(mut self) -> Mirror<V> {
        self.mirror.note_history_unknown();
        self.mirror
    }
}

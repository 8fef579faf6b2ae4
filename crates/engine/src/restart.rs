//! Whether a server's answers come from one life of it.

use crate::{
    takeover::{has_restarted, Status},
    time::Moment,
};

/// What one life of a server, as it is registered, has said last.
///
/// Failure: a replica confirms a commit and starts again with an empty log. Its first answer replaces
/// what was known of it, nothing later is shorter than that, and before its new registration is seen
/// its word proves what its earlier life knew, or it is held as one of a quorum that lacks the commit.
/// Guard: what the registered life said last is kept, and an answer of another life is none, until it is
/// registered as such.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    last: Option<(Status, Moment)>,
}

impl Detector {
    /// Takes an answer that came by `now` to a question sent at `asked`; whether it may be of this life.
    ///
    /// Answers to questions that were under way together say nothing of each other.
    pub fn accepts(&mut self, status: &Status, asked: Moment, now: Moment) -> bool {
        let before = self.last.filter(|(_, said)| *said <= asked);
        if before.is_some_and(|(before, _)| has_restarted(&before, status)) {
            return false;
        }
        self.last = Some((*status, now));
        true
    }
}

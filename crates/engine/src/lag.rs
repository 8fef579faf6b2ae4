//! Which replicas are too far behind for a read, as far as their last answers tell.

use std::time::Duration;

use dandelionpitch_core::position::Position;

use crate::time::Moment;

/// How long a replica that lacked a position is tried last for reads that require it. Short, as nothing
/// tells when it has caught up, but long enough for many reads to skip it.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// What a replica is known to lack.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// The lowest position that it lacked, and when it said so.
    lacked: Option<(Position, Moment)>,
}

impl Lag {
    /// Records that it refused a read, sent at `asked`, because it lacks `position`.
    pub fn note_lacking(&mut self, position: Position, asked: Moment) {
        let lowest = match self.lacked {
            Some((known, at)) if asked.since(at) < RETRY_INTERVAL => known.min(position),
            _ => position,
        };
        self.lacked = Some((lowest, asked));
    }

    /// Records that it served a read that required `position`.
    pub fn note_served(&mut self, position: Position) {
        self.lacked = self.lacked.filter(|(lacked, _)| *lacked > position);
    }

    /// Whether it probably lacks `position`.
    pub fn lacks(&self, position: Position, now: Moment) -> bool {
        let lacked = self.lacked;
        lacked.is_some_and(|(lacked, at)| lacked <= position && now.since(at) < RETRY_INTERVAL)
    }
}

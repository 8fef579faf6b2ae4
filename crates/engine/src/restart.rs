//! Detects statuses that come from another incarnation of a server than the registered one.

use crate::{
    takeover::{has_restarted, Status},
    time::Moment,
};

/// The last status of a server's registered incarnation.
///
/// A replica may confirm a commit, restart with an empty log, and answer before its new
/// registration is seen. If the answer were attributed to the earlier incarnation, it would count
/// as proof of commits that the server has lost, or the server would be held as part of a quorum
/// that lacks the commit. So a status that shows a restart is rejected, and the last one before it
/// is kept, which also rejects all later statuses with a shorter log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    last: Option<(Status, Moment)>,
}

impl Detector {
    /// Whether a status, requested at `asked` and received by `now`, may be from the registered
    /// incarnation. Records it if so.
    ///
    /// Statuses of overlapping requests are not compared, as their order is unknown.
    pub fn accepts(&mut self, status: &Status, asked: Moment, now: Moment) -> bool {
        let before = self.last.filter(|(_, received)| *received <= asked);
        if before.is_some_and(|(before, _)| has_restarted(&before, status)) {
            return false;
        }
        self.last = Some((*status, now));
        true
    }
}

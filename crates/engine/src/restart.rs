//! Detects statuses that come from another incarnation of a server than the registered one.

use crate::{
    registry::MISSING_TIMEOUT,
    takeover::{has_restarted, Status},
    time::Moment,
};

/// The last status of a server's registered incarnation.
///
/// A replica may confirm a commit, restart with an empty log, and answer before its new
/// registration is seen. Attributed to the earlier incarnation, the answer would prove commits that
/// the server has lost, or the server would count in a quorum that lacks them. So it is rejected,
/// and the last status is kept to reject all later ones with a shorter log as well.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    last: Option<(Status, Moment)>,
    /// When the first status was received.
    first: Option<Moment>,
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
        self.first = self.first.or(Some(now));
        true
    }

    /// Whether the first status was from the registered incarnation, given a list of registrations
    /// that has every change up to `synced_until`.
    ///
    /// Without an earlier status a restart cannot be detected. But a server registers within about
    /// two seconds of its start, so one that had restarted before the first status would be listed
    /// by then.
    pub fn is_established(&self, synced_until: Moment) -> bool {
        self.first
            .is_some_and(|first| first + MISSING_TIMEOUT <= synced_until)
    }
}

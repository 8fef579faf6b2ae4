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
    /// The order of overlapping requests is unknown, so a shorter log in one of them proves nothing. It is
    /// not recorded either: it may be of another incarnation, whose later statuses must be rejected.
    pub fn accepts(&mut self, status: &Status, asked: Moment, now: Moment) -> bool {
        if let Some((before, received)) = self.last {
            if has_restarted(&before, status) {
                return asked < received;
            }
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
        self.established_by()
            .is_some_and(|moment| moment <= synced_until)
    }

    /// How current a list of registrations must be for [`Self::is_established`]; `None` before the first
    /// status.
    pub fn established_by(&self) -> Option<Moment> {
        self.first.map(|first| first + MISSING_TIMEOUT)
    }
}

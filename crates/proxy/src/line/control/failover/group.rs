//! What the failover leader keeps of one group between its evaluations.

use std::time::Duration;

use dandelionpitch_engine::{
    pace::Waiting,
    roster::{self, Roster},
    takeover::{Cause, Member, Monitor, PROMOTION_COOLDOWN},
    time::Moment,
};

use serde_json::json;

use crate::line::{
    control::{attempt::Completion, record::StoredRecord, state::Control},
    journal,
};

/// How long a group is not evaluated after a promotion was requested. The promotion takes effect with
/// a delay, and statuses from before are obsolete.
const PROMOTION_SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// The delay after a failed attempt, or after a roster could not be saved.
pub const RETRY_DELAY: Duration = Duration::from_millis(400);

/// The state of one group.
pub struct Group {
    pub monitor: Monitor,
    pub roster: Roster,
    /// The record in the store that the roster is based on.
    pub recorded: Option<StoredRecord>,
    /// Whether the roster is being written to the store.
    pub is_writing: bool,
    /// The earliest time at which the group is evaluated again.
    pub not_before: Moment,
    /// Whether a failover attempt is active.
    pub is_attempting: bool,
    /// Whether it has been logged that an attempt waits for a list of registrations.
    is_wait_logged: bool,
    /// Since when its primary has to be replaced.
    waiting_since: Option<Moment>,
    /// The attempts that have failed since the last promotion.
    failed_attempts: u32,
}

impl Group {
    pub fn new(control: &Control, service: &str, is_attempting: bool, now: Moment) -> Self {
        let recorded = control.records.borrow().get(service).cloned();
        let members = recorded.as_ref().map(|stored| &stored.record.members[..]);
        let promoted = recorded
            .as_ref()
            .filter(|stored| stored.record.promotions > 0);
        let mut roster = Roster::new(members.unwrap_or_default(), now);
        if let Some(stored) = &recorded {
            roster.merge_addresses(&stored.record.addresses);
        }
        Self {
            monitor: Monitor::default(),
            roster,
            // A promotion that this process requested before it lost the leadership may still take effect.
            not_before: promoted
                .map_or(now, |stored| stored.promotion_seen_at + PROMOTION_COOLDOWN),
            recorded,
            is_writing: false,
            is_attempting,
            is_wait_logged: false,
            waiting_since: None,
            failed_attempts: 0,
        }
    }

    /// Notes that the primary has to be replaced.
    pub fn note_waiting(&mut self, now: Moment) -> Waiting {
        Waiting {
            since: *self.waiting_since.get_or_insert(now),
            failed_attempts: self.failed_attempts,
        }
    }

    /// Logs that the primary has to be replaced, but that too few members are known not to have restarted.
    pub fn note_awaiting_registrations(&mut self, service: &str, members: &[Member], cause: Cause) {
        if std::mem::replace(&mut self.is_wait_logged, true) {
            return;
        }
        journal::write(
            "failover waits",
            json!({ "service": service, "cause": format!("{cause:?}"),
                "members": format!("{members:?}") }),
        );
    }

    /// Notes that the primary need not be replaced.
    pub fn note_healthy(&mut self) {
        self.waiting_since = None;
        self.failed_attempts = 0;
    }

    /// Merges the group's record into the roster if it has changed in the store.
    ///
    /// The previous leader's record may list a server that confirms commits and is unknown here. A
    /// quorum computed without it might lack acknowledged commits, so every recorded server counts,
    /// and a promotion is recorded only as an update of the record that its roster is based on.
    pub fn merge_record(&mut self, control: &Control, service: &str, now: Moment) {
        let records = control.records.borrow();
        let Some(stored) = records.get(service) else {
            return;
        };
        let known_revision = self.recorded.as_ref().map(|recorded| recorded.revision);
        if known_revision != Some(stored.revision) {
            self.roster.merge(&stored.record.members, now);
            self.roster.merge_addresses(&stored.record.addresses);
            self.recorded = Some(stored.clone());
        }
    }

    pub fn update_roster(&mut self, members: &[Member], sync_replicas: u32, now: Moment) {
        let recorded = self.recorded.as_ref();
        let basis = roster::Basis {
            sync_replicas,
            promoted: recorded.and_then(|stored| stored.record.promoted()),
        };
        self.roster.update(members, basis, now);
    }

    pub fn finish_attempt(&mut self, completion: &Completion, now: Moment) {
        self.is_attempting = false;
        self.is_wait_logged = false;
        match completion {
            Completion::Requested { server, term } => {
                self.monitor.note_promotion(server, *term, now);
                self.not_before = now + PROMOTION_SETTLE_TIME;
                self.note_healthy();
            }
            Completion::NotRequested => {
                self.monitor.note_attempt();
                self.not_before = now + RETRY_DELAY;
                self.failed_attempts += 1;
            }
        }
    }
}

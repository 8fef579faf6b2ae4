//! Replaces primaries while this process is the failover leader. [`takeover`] decides what to do with
//! a group; this module polls its servers, starts failover attempts and saves its roster.

use std::{cell::RefCell, rc::Rc, time::Duration};

use dandelionpitch_core::hash::{Map, Set};
use dandelionpitch_engine::{
    registry::{Entry, Incarnation, Role},
    roster::{self, Roster},
    takeover::{self, Decision, Member, Monitor, Sight, Status, PROMOTION_COOLDOWN},
    time::Moment,
};
use dandelionpitch_platform::backend::Command;

use crate::line::{
    clock,
    control::{
        attempt::{Attempt, Completion},
        probe::Probe,
        record::{Record, StoredRecord},
        recorder::write_record,
        state::Control,
    },
    journal,
};

const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

/// How long a group is not evaluated after a promotion was requested. The promotion takes effect with
/// a delay, and statuses from before are obsolete.
const PROMOTION_SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// The delay after a failed attempt, or after a roster could not be saved.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// The state of one group.
struct Group {
    monitor: Monitor,
    roster: Roster,
    /// The record in the store that the roster is based on.
    recorded: Option<StoredRecord>,
    /// Whether the roster is being written to the store.
    is_writing: bool,
    /// The earliest time at which the group is evaluated again.
    not_before: Moment,
    /// Whether a failover attempt is active.
    is_attempting: bool,
}

type Probes = Map<Incarnation, Rc<Probe>>;

/// The state of the failover leader.
#[derive(Default)]
struct Coordinator {
    probes: RefCell<Probes>,
    groups: RefCell<Map<String, Group>>,
    /// The groups with an active attempt. Unlike `groups`, it is kept when the leadership is lost:
    /// if it is regained during an attempt, a second attempt could promote another server in quick
    /// succession, and commits acknowledged by the first would be lost.
    groups_in_failover: RefCell<Set<String>>,
}

/// Evaluates all groups periodically while this process is the failover leader.
pub async fn run(control: Rc<Control>) {
    let coordinator = Rc::new(Coordinator::default());
    loop {
        tokio::time::sleep(EVALUATION_INTERVAL).await;
        let now = clock::now();
        if control.election.borrow().token(now).is_none() {
            // Observations are obsolete by the time this process is the leader again.
            coordinator.probes.borrow_mut().clear();
            coordinator.groups.borrow_mut().clear();
            continue;
        }
        for service in control.services() {
            coordinator.clone().evaluate_group(&control, &service, now);
        }
        coordinator.drop_unregistered(&control);
    }
}

impl Coordinator {
    /// Drops the probes of servers that are no longer registered.
    fn drop_unregistered(&self, control: &Control) {
        let services = control.services();
        let entries = services
            .iter()
            .flat_map(|service| control.servers_of(service));
        let present = entries.map(|entry| entry.server.incarnation.clone());
        let present: Set<Incarnation> = present.collect();
        self.probes
            .borrow_mut()
            .retain(|id, _| present.contains(id));
    }

    fn probes_of(&self, entries: &[Entry]) -> Vec<Rc<Probe>> {
        let mut probes = self.probes.borrow_mut();
        entries
            .iter()
            .map(|entry| {
                probes
                    .entry(entry.server.incarnation.clone())
                    .or_insert_with(|| Probe::new(entry.server.clone()))
                    .clone()
            })
            .collect()
    }

    /// Polls the servers of a group, evaluates it and starts an attempt if its primary must be replaced.
    fn evaluate_group(self: Rc<Self>, control: &Rc<Control>, service: &str, now: Moment) {
        let entries = control.servers_of(service);
        if entries.is_empty() {
            return;
        }
        let probes = self.probes_of(&entries);
        let members: Vec<Member> = entries
            .iter()
            .zip(&probes)
            .map(|(entry, probe)| Member {
                id: entry.server.incarnation.clone(),
                leaving: entry.server.leaving,
                sight: probe.sight(),
                asked: probe.last_answered(),
            })
            .collect();
        let mut groups = self.groups.borrow_mut();
        let group = groups.entry(service.to_owned()).or_insert_with(|| Group {
            is_attempting: self.groups_in_failover.borrow().contains(service),
            ..Group::new(control, service, now)
        });
        group.merge_record(control, service, now);
        group.update_roster(&members, control.sync_replicas(service), now);
        self.save_roster(control, service, group);
        let is_healthy = takeover::leader(&members).is_some() && !group.monitor.is_suspect(now);
        probes
            .iter()
            .for_each(|probe| probe.poll_if_due(now, is_healthy));
        step_down_superseded(&members, &probes);
        if group.is_attempting || now < group.not_before || control.stopping.is_cancelled() {
            return;
        }
        let (old_primary, cause) = match group.monitor.evaluate(&members, now) {
            Decision::Replace { old, cause } => (old, cause),
            Decision::Resume => return resume_held(&members, &probes),
            Decision::Healthy | Decision::Undecided => return,
        };
        if !is_past_cooldown(control, service, now) {
            return;
        }
        let not_resuming = probes.iter().filter(|probe| probe.cancel_resume());
        if not_resuming.count() < probes.len() {
            return;
        }
        group.is_attempting = true;
        self.groups_in_failover
            .borrow_mut()
            .insert(service.to_owned());
        control
            .active_attempts
            .set(control.active_attempts.get() + 1);
        let attempt = Attempt {
            control: control.clone(),
            service: service.to_owned(),
            members,
            newest_term: group.monitor.newest_term(),
            roster: group.roster.clone(),
            recorded: group.recorded.clone(),
            probes,
            old_primary,
            cause,
        };
        drop(groups);
        let coordinator = self.clone();
        tokio::task::spawn_local(async move {
            let completion = attempt.run().await;
            let attempts = &attempt.control.active_attempts;
            attempts.set(attempts.get() - 1);
            coordinator
                .groups_in_failover
                .borrow_mut()
                .remove(&attempt.service);
            let mut groups = coordinator.groups.borrow_mut();
            if let Some(group) = groups.get_mut(&attempt.service) {
                group.finish_attempt(&completion, clock::now());
            }
        });
    }
}

impl Group {
    fn new(control: &Control, service: &str, now: Moment) -> Self {
        let recorded = control.records.borrow().get(service).cloned();
        let members = recorded.as_ref().map(|stored| &stored.record.members[..]);
        let promoted = recorded
            .as_ref()
            .filter(|stored| stored.record.promotions > 0);
        Self {
            monitor: Monitor::default(),
            roster: Roster::new(members.unwrap_or_default(), now),
            // A promotion that this process requested before it lost the leadership may still take effect.
            not_before: promoted
                .map_or(now, |stored| stored.promotion_seen_at + PROMOTION_COOLDOWN),
            recorded,
            is_writing: false,
            is_attempting: false,
        }
    }

    /// Merges the group's record into the roster if it has changed in the store.
    ///
    /// The previous leader's record may list a server that confirms commits and is unknown here. A
    /// quorum computed without it might lack acknowledged commits, so every recorded server counts,
    /// and a promotion is recorded only as an update of the record that its roster is based on.
    fn merge_record(&mut self, control: &Control, service: &str, now: Moment) {
        let records = control.records.borrow();
        let Some(stored) = records.get(service) else {
            return;
        };
        let known_revision = self.recorded.as_ref().map(|recorded| recorded.revision);
        if known_revision != Some(stored.revision) {
            self.roster.merge(&stored.record.members, now);
            self.recorded = Some(stored.clone());
        }
    }

    fn update_roster(&mut self, members: &[Member], sync_replicas: u32, now: Moment) {
        let recorded = self.recorded.as_ref();
        let basis = roster::Basis {
            sync_replicas,
            promoted: recorded.and_then(|stored| stored.record.promoted()),
        };
        self.roster.update(members, basis, now);
    }

    fn finish_attempt(&mut self, completion: &Completion, now: Moment) {
        self.is_attempting = false;
        match completion {
            Completion::Requested { server, term } => {
                self.monitor.note_promotion(server, *term, now);
                self.not_before = now + PROMOTION_SETTLE_TIME;
            }
            Completion::NotRequested => {
                self.monitor.note_attempt();
                self.not_before = now + RETRY_DELAY;
            }
        }
    }
}

impl Coordinator {
    /// Writes the roster to the store if it has changed, or if its record predates the last restore.
    fn save_roster(self: &Rc<Self>, control: &Rc<Control>, service: &str, group: &mut Group) {
        let members = group.roster.ids();
        let recorded = group.recorded.clone();
        let is_saved = recorded.as_ref().is_some_and(|stored| {
            stored.record.members == members && stored.record.is_in_era_of(stored.revision)
        });
        let Some(token) = control.election.borrow().token(clock::now()) else {
            return;
        };
        if is_saved || group.is_writing || group.is_attempting {
            return;
        }
        group.is_writing = true;
        let (coordinator, control, service) = (self.clone(), control.clone(), service.to_owned());
        tokio::task::spawn_local(async move {
            let record = Record {
                holder: control.name.clone(),
                token,
                server: recorded
                    .as_ref()
                    .map_or(String::new(), |stored| stored.record.server.clone()),
                promotions: recorded
                    .as_ref()
                    .map_or(0, |stored| stored.record.promotions),
                members,
            };
            let revision = recorded.map(|stored| stored.revision);
            if let Err(failure) = write_record(&control, &service, &record, revision).await {
                journal::trouble("roster", &failure.to_string());
                tokio::time::sleep(RETRY_DELAY).await;
            }
            if let Some(group) = coordinator.groups.borrow_mut().get_mut(&service) {
                group.is_writing = false;
            }
        });
    }
}

/// Schedules the release of held replicas for the next poll.
fn resume_held(members: &[Member], probes: &[Rc<Probe>]) {
    for (member, probe) in members.iter().zip(probes) {
        if matches!(member.sight, Sight::Answered(status) if status.held != 0) {
            probe.next_command.set(Some(Command::Resume));
        }
    }
}

/// Schedules a step-down of primaries of earlier terms for the next poll.
fn step_down_superseded(members: &[Member], probes: &[Rc<Probe>]) {
    let newest = takeover::newest_term(members);
    for (member, probe) in members.iter().zip(probes) {
        let superseded = |status: Status| status.role == Role::Primary && status.term < newest;
        if matches!(member.sight, Sight::Answered(status) if superseded(status)) {
            probe.next_command.set(Some(Command::StepDown(newest)));
        }
    }
}

/// Whether at least [`PROMOTION_COOLDOWN`] has passed since another process's last promotion in the
/// group.
fn is_past_cooldown(control: &Control, service: &str, now: Moment) -> bool {
    let records = control.records.borrow();
    records.get(service).is_none_or(|stored| {
        let is_own = stored.record.holder == control.name;
        is_own
            || stored.record.promotions == 0
            || now.since(stored.promotion_seen_at) >= PROMOTION_COOLDOWN
    })
}

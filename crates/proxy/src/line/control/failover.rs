//! Replaces primaries while this process is the failover leader. [`takeover`] decides what to do with
//! a group; this module polls its servers, starts failover attempts and saves its roster.

mod group;
mod rosters;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use dandelionpitch_core::hash::{Map, Set};
use dandelionpitch_engine::{
    catalog::Catalog,
    fence,
    pace::{self, Pacer, Waiting},
    registry::{Entry, Groups, Incarnation, Role},
    takeover::{self, Cause, Decision, Member, Sight, Status, PROMOTION_COOLDOWN},
    time::Moment,
};
use dandelionpitch_platform::backend::Command;

use self::{
    group::Group,
    rosters::{Unsaved, MAX_RECORDS_PER_WRITE},
};
use crate::line::{
    clock,
    control::{attempt::Attempt, probe::Probe, state::Control},
};

const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

type Probes = Map<Incarnation, Rc<Probe>>;

/// The state of the failover leader.
struct Coordinator {
    probes: RefCell<Probes>,
    /// The registered servers for which the probes were last cleaned up.
    probed: RefCell<Arc<Groups>>,
    groups: RefCell<Map<String, Group>>,
    /// The groups with an active attempt. Unlike `groups`, it is kept when the leadership is lost:
    /// if it is regained during an attempt, a second attempt could promote another server in quick
    /// succession, and commits acknowledged by the first would be lost.
    groups_in_failover: RefCell<Set<String>>,
    pacer: RefCell<Pacer>,
    /// The time as of which a list of registrations is needed to establish all servers that answer.
    list_needed_at: Cell<Option<Moment>>,
    /// The rosters found in this evaluation that differ from their records.
    unsaved: RefCell<Vec<Unsaved>>,
}

/// A group whose primary has to be replaced.
struct Candidate {
    service: String,
    waiting: Waiting,
    members: Vec<Member>,
    probes: Vec<Rc<Probe>>,
    old_primary: Option<Incarnation>,
    cause: Cause,
}

/// Evaluates all groups periodically while this process is the failover leader. `promotions_per_second` is
/// the platform's limit.
pub async fn run(control: Rc<Control>, promotions_per_second: f64) {
    let coordinator = Rc::new(Coordinator {
        probes: RefCell::default(),
        probed: RefCell::default(),
        groups: RefCell::default(),
        groups_in_failover: RefCell::default(),
        pacer: RefCell::new(Pacer::new(promotions_per_second)),
        list_needed_at: Cell::default(),
        unsaved: RefCell::default(),
    });
    loop {
        tokio::time::sleep(EVALUATION_INTERVAL).await;
        let now = clock::now();
        if control.election.borrow().token(now).is_none() {
            // Observations are obsolete by the time this process is the leader again.
            coordinator.probes.borrow_mut().clear();
            coordinator.groups.borrow_mut().clear();
            control.list_needed_at.set(None);
            if !control.election.borrow().is_elected() {
                control.elected.notified().await;
            }
            continue;
        }
        coordinator.evaluate_all(&control, now);
    }
}

impl Coordinator {
    /// Evaluates all groups, and starts attempts for as many as the platform's limit allows.
    fn evaluate_all(self: &Rc<Self>, control: &Rc<Control>, now: Moment) {
        let Some(catalog) = control.catalog() else {
            return;
        };
        let services = catalog.services.keys();
        let candidates = services.filter_map(|service| self.evaluate_group(control, service, now));
        let mut candidates: Vec<Candidate> = candidates.collect();
        control.list_needed_at.set(self.list_needed_at.take());
        let unsaved = self.unsaved.take();
        for batch in unsaved.chunks(MAX_RECORDS_PER_WRITE) {
            let saving = rosters::save(self.clone(), control.clone(), batch.to_vec());
            tokio::task::spawn_local(saving);
        }
        pace::order(&mut candidates, |candidate| candidate.waiting);
        for candidate in candidates {
            if !self.pacer.borrow_mut().try_start(now) {
                break;
            }
            self.start_attempt(control, candidate);
        }
        self.drop_unregistered(control, &catalog);
    }

    /// Drops the probes of servers that are no longer registered.
    fn drop_unregistered(&self, control: &Control, catalog: &Catalog) {
        let current = control.registry.borrow().groups().clone();
        let checked = self.probed.replace(current.clone());
        if Arc::ptr_eq(&checked, &current) {
            return;
        }
        let configured = current
            .iter()
            .filter(|(service, _)| catalog.services.contains_key(&***service));
        let entries = configured.flat_map(|(_, entries)| entries.iter());
        let present: Set<&Incarnation> = entries.map(|entry| &entry.server.incarnation).collect();
        self.probes
            .borrow_mut()
            .retain(|id, _| present.contains(id));
    }

    fn probes_of(&self, control: &Control, entries: &[Entry]) -> Vec<Rc<Probe>> {
        let mut probes = self.probes.borrow_mut();
        let probe_of = |entry: &Entry| match probes.get(&entry.server.incarnation) {
            Some(probe) => probe.clone(),
            None => {
                let observer = control.observers.get(&entry.server.incarnation);
                let probe = Probe::new(entry.server.clone(), observer);
                probes.insert(entry.server.incarnation.clone(), probe.clone());
                probe
            }
        };
        entries.iter().map(probe_of).collect()
    }

    /// Polls the servers of a group and evaluates it. Returns the group if its primary must be replaced.
    fn evaluate_group(
        self: &Rc<Self>,
        control: &Rc<Control>,
        service: &str,
        now: Moment,
    ) -> Option<Candidate> {
        let entries = control.servers_of(service);
        if entries.is_empty() {
            return None;
        }
        let probes = self.probes_of(control, &entries);
        let synced_until = control.mirror.synced_until();
        let members: Vec<Member> = entries
            .iter()
            .zip(&probes)
            .map(|(entry, probe)| Member {
                id: entry.server.incarnation.clone(),
                address: Some(entry.server.address),
                leaving: entry.server.leaving,
                retiring_since: entry.leaving_seen,
                sight: probe.sight(),
                asked: probe.last_answered(),
                is_established: probe.is_established(synced_until),
            })
            .collect();
        let mut groups = self.groups.borrow_mut();
        if !groups.contains_key(service) {
            let is_attempting = self.groups_in_failover.borrow().contains(service);
            let group = Group::new(control, service, is_attempting, now);
            groups.insert(service.to_owned(), group);
        }
        let group = groups.get_mut(service)?;
        group.merge_record(control, service, now);
        group.update_roster(&members, control.sync_replicas(service), now);
        if let Some(unsaved) = Unsaved::new(control, service, group) {
            group.is_writing = true;
            self.unsaved.borrow_mut().push(unsaved);
        }
        let is_healthy = takeover::leader(&members).is_some() && !group.monitor.is_suspect(now);
        probes
            .iter()
            .for_each(|probe| probe.poll_if_due(now, is_healthy));
        step_down_superseded(&members, &probes);
        if group.is_attempting || now < group.not_before || control.stopping.is_cancelled() {
            return None;
        }
        let (old_primary, cause) = match group.monitor.evaluate(&members, now) {
            Decision::Replace { old, cause } => (old, cause),
            Decision::Resume => {
                resume_held(&members, &probes);
                return None;
            }
            Decision::Healthy => {
                group.note_healthy();
                return None;
            }
            Decision::Undecided => return None,
        };
        if !is_past_cooldown(control, service, now) {
            return None;
        }
        let quorum = group.roster.quorum(control.sync_replicas(service));
        if fence::awaits_registrations(&members, old_primary.as_ref(), quorum) {
            group.note_awaiting_registrations(service, &members, cause);
            self.require_list(&probes, synced_until);
            return None;
        }
        Some(Candidate {
            service: service.to_owned(),
            waiting: group.note_waiting(now),
            members,
            probes,
            old_primary,
            cause,
        })
    }

    /// Requires a list of registrations that establishes all servers that have answered.
    fn require_list(&self, probes: &[Rc<Probe>], synced_until: Moment) {
        let open = probes
            .iter()
            .filter(|probe| !probe.is_established(synced_until));
        let needed_at = open.filter_map(|probe| probe.established_by()).max();
        self.list_needed_at
            .set(self.list_needed_at.get().max(needed_at));
    }

    /// Starts an attempt, unless one of the members is just being released.
    fn start_attempt(self: &Rc<Self>, control: &Rc<Control>, candidate: Candidate) {
        let Candidate {
            service,
            members,
            probes,
            old_primary,
            cause,
            ..
        } = candidate;
        let mut groups = self.groups.borrow_mut();
        let Some(group) = groups.get_mut(&service) else {
            return;
        };
        let not_resuming = probes.iter().filter(|probe| probe.cancel_resume());
        if not_resuming.count() < probes.len() {
            return;
        }
        group.is_attempting = true;
        self.groups_in_failover.borrow_mut().insert(service.clone());
        control
            .active_attempts
            .set(control.active_attempts.get() + 1);
        let attempt = Attempt {
            control: control.clone(),
            service,
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

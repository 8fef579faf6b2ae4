//! Replaces primaries while this process holds the failover duty. What is to be done is decided by
//! [`takeover`]; this module asks, orders and records.

use std::{cell::RefCell, rc::Rc, time::Duration};

use dandelionpitch_core::hash::{Map, Set};
use dandelionpitch_engine::{
    registry::{Entry, Incarnation, Role},
    roster::Roster,
    takeover::{self, Decision, Member, Monitor, Sight, Status, PROMOTION_COOLDOWN},
    time::Moment,
};
use dandelionpitch_platform::backend::Command;

use crate::line::{
    clock,
    control::{
        attempt::{Attempt, Ended},
        observe::Watcher,
        record::{Noted, Record},
        recorder::write_record,
        state::Control,
    },
    journal,
};

/// How often the groups are judged.
const TICK: Duration = Duration::from_millis(100);

/// How long a group is left alone after a promotion: it takes effect some hundred milliseconds after
/// its call, and statuses from before it say nothing.
const SETTLE: Duration = Duration::from_millis(1_200);

/// The pause after an attempt that did not promote.
const RETRY: Duration = Duration::from_millis(400);

/// What is kept of one group.
struct Watched {
    memory: Monitor,
    roster: Roster,
    /// The record in the store on which the roster rests.
    recorded: Option<Noted>,
    /// The roster is being written to the store.
    writing: bool,
    not_before: Moment,
    trying: bool,
}

type Watchers = Map<Incarnation, Rc<Watcher>>;

/// The failover duty's own state.
#[derive(Default)]
struct Failover {
    watchers: RefCell<Watchers>,
    groups: RefCell<Map<String, Watched>>,
    /// The groups with an attempt under way, also one of an earlier term of duty.
    ///
    /// Failure: the holder loses the duty in the middle of an attempt and gets it back, a second attempt
    /// begins, and the end of the first lets a third begin beside it: two servers are promoted in one
    /// second, and what the first acknowledged is lost. Guard: this outlasts the term of duty.
    under_way: RefCell<Set<String>>,
}

/// Judges all groups again and again while the duty is held.
pub async fn run(control: Rc<Control>) {
    let failover = Rc::new(Failover::default());
    loop {
        tokio::time::sleep(TICK).await;
        let now = clock::now();
        if control.duty.borrow().token(now).is_none() {
            // What was seen in an earlier term of duty says nothing in the next.
            failover.watchers.borrow_mut().clear();
            failover.groups.borrow_mut().clear();
            continue;
        }
        for service in control.services() {
            failover.clone().look(&control, &service, now);
        }
        failover.forget(&control);
    }
}

impl Failover {
    /// Drops the watchers of servers that are gone.
    fn forget(&self, control: &Control) {
        let services = control.services();
        let entries = services
            .iter()
            .flat_map(|service| control.servers_of(service));
        let present = entries.map(|entry| entry.server.incarnation.clone());
        let present: Set<Incarnation> = present.collect();
        self.watchers
            .borrow_mut()
            .retain(|id, _| present.contains(id));
    }

    fn watchers_of(&self, entries: &[Entry]) -> Vec<Rc<Watcher>> {
        let mut watchers = self.watchers.borrow_mut();
        entries
            .iter()
            .map(|entry| {
                watchers
                    .entry(entry.server.incarnation.clone())
                    .or_insert_with(|| Watcher::new(entry.server.clone()))
                    .clone()
            })
            .collect()
    }

    /// Asks the servers of one group, judges it and starts an attempt if one is due.
    fn look(self: Rc<Self>, control: &Rc<Control>, service: &str, now: Moment) {
        let entries = control.servers_of(service);
        if entries.is_empty() {
            return;
        }
        let watchers = self.watchers_of(&entries);
        let members: Vec<Member> = entries
            .iter()
            .zip(&watchers)
            .map(|(entry, watcher)| Member {
                id: entry.server.incarnation.clone(),
                leaving: entry.server.leaving,
                sight: watcher.sight(),
                asked: watcher.answered(),
            })
            .collect();
        let mut groups = self.groups.borrow_mut();
        let watched = groups.entry(service.to_owned()).or_insert_with(|| Watched {
            trying: self.under_way.borrow().contains(service),
            ..Watched::new(control, service, now)
        });
        watched.follow_record(control, service, now);
        watched.roster.update(&members, now);
        self.keep_roster(control, service, watched);
        let calm = takeover::leader(&members).is_some() && !watched.memory.is_suspect(now);
        watchers.iter().for_each(|watcher| watcher.tick(now, calm));
        depose_old(&members, &watchers);
        if watched.trying || now < watched.not_before || control.stopping.is_cancelled() {
            return;
        }
        let (old, cause) = match watched.memory.evaluate(&members, now) {
            Decision::Replace { old, cause } => (old, cause),
            Decision::Resume => return resume_held(&members, &watchers),
            Decision::Healthy | Decision::Undecided => return,
        };
        if !turn_is_ours(control, service, now) {
            return;
        }
        let settled = watchers.iter().filter(|watcher| watcher.cancel_resume());
        if settled.count() < watchers.len() {
            return;
        }
        watched.trying = true;
        self.under_way.borrow_mut().insert(service.to_owned());
        control.attempts.set(control.attempts.get() + 1);
        let attempt = Attempt {
            control: control.clone(),
            service: service.to_owned(),
            members,
            newest: watched.memory.newest_term(),
            roster: watched.roster.clone(),
            recorded: watched.recorded.clone(),
            watchers,
            old,
            cause,
        };
        drop(groups);
        let failover = self.clone();
        tokio::task::spawn_local(async move {
            let ended = attempt.run().await;
            let attempts = &attempt.control.attempts;
            attempts.set(attempts.get() - 1);
            failover.under_way.borrow_mut().remove(&attempt.service);
            let mut groups = failover.groups.borrow_mut();
            if let Some(watched) = groups.get_mut(&attempt.service) {
                watched.ended(&ended, clock::now());
            }
        });
    }
}

impl Watched {
    fn new(control: &Control, service: &str, now: Moment) -> Self {
        let recorded = control.records.borrow().get(service).cloned();
        let members = recorded.as_ref().map(|noted| &noted.record.members[..]);
        let promoted = recorded
            .as_ref()
            .filter(|noted| noted.record.promotions > 0);
        Self {
            memory: Monitor::default(),
            roster: Roster::new(members.unwrap_or_default(), now),
            // A promotion of this process's own, before it lost the duty, may still take effect.
            not_before: promoted.map_or(now, |noted| noted.promoted + PROMOTION_COOLDOWN),
            recorded,
            writing: false,
            trying: false,
        }
    }

    /// Takes a record that has changed in the store since the roster was built on it.
    ///
    /// Failure: a new holder has not seen the last list of the one before, on which a server stands
    /// that confirms commits; it holds all but one of a list without it. Guard: what is recorded
    /// counts, and a promotion is written down only over the very record on which its roster rests.
    fn follow_record(&mut self, control: &Control, service: &str, now: Moment) {
        let records = control.records.borrow();
        let Some(noted) = records.get(service) else {
            return;
        };
        let known = self.recorded.as_ref().map(|known| known.revision);
        if known != Some(noted.revision) {
            self.roster.merge(&noted.record.members, now);
            self.recorded = Some(noted.clone());
        }
    }

    fn ended(&mut self, ended: &Ended, now: Moment) {
        self.trying = false;
        match ended {
            Ended::Called { server, term } => {
                self.memory.note_promotion(server, *term, now);
                self.not_before = now + SETTLE;
            }
            Ended::NotCalled => {
                self.memory.note_attempt();
                self.not_before = now + RETRY;
            }
        }
    }
}

impl Failover {
    /// Writes the roster to the store when it has changed.
    fn keep_roster(self: &Rc<Self>, control: &Rc<Control>, service: &str, watched: &mut Watched) {
        let members = watched.roster.ids();
        let known = watched.recorded.clone();
        let same = known.as_ref().is_some_and(|noted| {
            noted.record.members == members && noted.record.is_of(noted.revision)
        });
        let Some(token) = control.duty.borrow().token(clock::now()) else {
            return;
        };
        if same || watched.writing || watched.trying {
            return;
        }
        watched.writing = true;
        let (failover, control, service) = (self.clone(), control.clone(), service.to_owned());
        tokio::task::spawn_local(async move {
            let record = Record {
                holder: control.name.clone(),
                token,
                server: known
                    .as_ref()
                    .map_or(String::new(), |n| n.record.server.clone()),
                promotions: known.as_ref().map_or(0, |n| n.record.promotions),
                members,
            };
            let revision = known.map(|noted| noted.revision);
            if let Err(stopped) = write_record(&control, &service, &record, revision).await {
                journal::trouble("roster", &stopped.to_string());
                tokio::time::sleep(RETRY).await;
            }
            if let Some(watched) = failover.groups.borrow_mut().get_mut(&service) {
                watched.writing = false;
            }
        });
    }
}

/// Lets replicas that are held for nothing receive again when they are next asked.
fn resume_held(members: &[Member], watchers: &[Rc<Watcher>]) {
    for (member, watcher) in members.iter().zip(watchers) {
        if matches!(member.sight, Sight::Answered(status) if status.held != 0) {
            watcher.order.set(Some(Command::Resume));
        }
    }
}

/// Tells primaries of earlier terms to stop leading when they are next asked.
fn depose_old(members: &[Member], watchers: &[Rc<Watcher>]) {
    let newest = takeover::newest_term(members);
    for (member, watcher) in members.iter().zip(watchers) {
        let superseded = |status: Status| status.role == Role::Primary && status.term < newest;
        if matches!(member.sight, Sight::Answered(status) if superseded(status)) {
            watcher.order.set(Some(Command::StepDown(newest)));
        }
    }
}

/// Whether no other process has replaced this group's primary a moment ago.
fn turn_is_ours(control: &Control, service: &str, now: Moment) -> bool {
    let records = control.records.borrow();
    records.get(service).is_none_or(|noted| {
        let ours = noted.record.holder == control.name;
        ours || noted.record.promotions == 0 || now.since(noted.promoted) >= PROMOTION_COOLDOWN
    })
}

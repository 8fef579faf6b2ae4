//! Replaces primaries while this process holds the failover duty. What is to be done is decided by
//! [`takeover`]; this module asks, orders and records.

use std::{cell::RefCell, rc::Rc, time::Duration};

use dandelionpitch_core::hash::{Map, Set};
use dandelionpitch_engine::{
    registry::{Entry, Incarnation, Role},
    roster::Roster,
    takeover::{self, Member, Memory, Sight, Status, Verdict, TURN_GAP},
    time::Moment,
};
use dandelionpitch_platform::backend::Order;

use crate::line::{
    clock,
    control::{
        attempt::{Attempt, RETRY},
        observe::Watcher,
        record::Record,
        recorder::write_record,
        state::Control,
    },
    journal,
};

/// How often the groups are judged.
const TICK: Duration = Duration::from_millis(100);

/// What is kept of one group.
struct Watched {
    memory: Memory,
    roster: Roster,
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
        let watched = groups
            .entry(service.to_owned())
            .or_insert_with(|| Watched::new(control, service, now));
        watched.roster.update(&members, now);
        self.keep_roster(control, service, watched);
        let calm = takeover::leader(&members).is_some() && !watched.memory.suspects(now);
        watchers.iter().for_each(|watcher| watcher.tick(now, calm));
        depose_old(&members, &watchers);
        if watched.trying || now < watched.not_before || control.stopping.is_cancelled() {
            return;
        }
        let (old, cause) = match watched.memory.judge(&members, now) {
            Verdict::Replace { old, cause } => (old, cause),
            Verdict::Resume => return resume_held(&members, &watchers),
            Verdict::Led | Verdict::Unsure => return,
        };
        if !turn_is_ours(control, service, now) {
            return;
        }
        watched.trying = true;
        control.attempts.set(control.attempts.get() + 1);
        let roster = watched.roster.clone();
        drop(groups);
        let attempt = Attempt {
            control: control.clone(),
            service: service.to_owned(),
            members,
            roster,
            watchers,
            old,
            cause,
        };
        let failover = self.clone();
        tokio::task::spawn_local(async move {
            let pause = attempt.run().await;
            let attempts = &attempt.control.attempts;
            attempts.set(attempts.get() - 1);
            let mut groups = failover.groups.borrow_mut();
            if let Some(watched) = groups.get_mut(&attempt.service) {
                watched.trying = false;
                watched.memory.attempted();
                watched.not_before = clock::now() + pause;
            }
        });
    }
}

impl Watched {
    fn new(control: &Control, service: &str, now: Moment) -> Self {
        let records = control.records.borrow();
        let recorded = records.get(service).map(|noted| &noted.record.members[..]);
        Self {
            memory: Memory::default(),
            roster: Roster::new(recorded.unwrap_or_default(), now),
            writing: false,
            not_before: now,
            trying: false,
        }
    }
}

impl Failover {
    /// Writes the roster to the store when it has changed.
    fn keep_roster(self: &Rc<Self>, control: &Rc<Control>, service: &str, watched: &mut Watched) {
        let members = watched.roster.ids();
        let known = control.records.borrow().get(service).cloned();
        let same = known
            .as_ref()
            .is_some_and(|noted| noted.record.members == members);
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
            if let Err(stopped) = write_record(&control, &service, &record).await {
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
            watcher.order.set(Some(Order::Resume));
        }
    }
}

/// Tells primaries of earlier terms to stop leading when they are next asked.
fn depose_old(members: &[Member], watchers: &[Rc<Watcher>]) {
    let Some((leader, led)) = takeover::leader(members) else {
        return;
    };
    for (member, watcher) in members.iter().zip(watchers) {
        let leads = matches!(
            member.sight,
            Sight::Answered(Status {
                role: Role::Primary,
                ..
            })
        );
        if leads && member.id != leader.id {
            watcher.order.set(Some(Order::StepDown(led.term)));
        }
    }
}

/// Whether no other process has replaced this group's primary a moment ago.
fn turn_is_ours(control: &Control, service: &str, now: Moment) -> bool {
    let records = control.records.borrow();
    records.get(service).is_none_or(|noted| {
        let ours = noted.record.holder == control.name;
        ours || noted.record.promotions == 0 || now.since(noted.promoted) >= TURN_GAP
    })
}

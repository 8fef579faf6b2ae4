//! Replaces primaries while this process holds the failover duty. What is to be done is decided by
//! [`takeover`]; this module asks, orders and records.

use std::{cell::RefCell, rc::Rc, time::Duration};

use dandelionpitch_core::hash::{Map, Set};
use dandelionpitch_engine::{
    freshness::PROMOTION_WAIT,
    registry::{Entry, Role},
    roster::Roster,
    takeover::{self, Cause, Fenced, Member, Memory, Sight, Status, Verdict, TURN_GAP},
    time::Moment,
};
use dandelionpitch_platform::{
    backend::Order,
    promoter::Outcome,
    store::{Change, Item, Write},
};
use derive_more::Display;
use futures::{stream::FuturesUnordered, StreamExt};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{
    clock,
    control::Control,
    journal, member,
    observe::{Watcher, ORDER_TIMEOUT},
};

/// How often the groups are judged.
const TICK: Duration = Duration::from_millis(100);

/// How long a group is left alone after an attempt: a promotion takes effect some hundred
/// milliseconds after its call, and statuses from before it say nothing.
const SETTLE: Duration = Duration::from_millis(1_200);

/// The pause after an attempt that did not promote.
const RETRY: Duration = Duration::from_millis(400);

/// How often a promotion is called for when its answer is lost; it is idempotent.
const CALLS: usize = 3;

/// The prefix of the records of promotions.
const RECORDS: &str = "dandelionpitch/group/";

/// The record of a promotion in the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Record {
    holder: String,
    token: u64,
    /// The server promoted last; empty while none was.
    server: String,
    /// When this was written for a promotion, its number: others wait for a while after it.
    promotions: u64,
    /// The servers that count for a promotion, present or vanished.
    members: Vec<String>,
}

/// A record and when this process saw it.
#[derive(Clone, Debug)]
pub struct Noted {
    record: Record,
    revision: u64,
    /// When the last promotion was first seen here.
    promoted: Moment,
}

impl Noted {
    /// Reads a record into `known`, if the item is one.
    pub fn read(item: &Item, known: &mut Map<String, Self>, now: Moment) {
        let Some(service) = item.key.strip_prefix(RECORDS) else {
            return;
        };
        let record = match serde_json::from_slice::<Record>(&item.value) {
            Ok(record) => record,
            Err(error) => return journal::trouble("record", &format!("{}: {error}", item.key)),
        };
        let same = known
            .get(service)
            .filter(|old| old.record.promotions == record.promotions);
        let promoted = same.map_or(now, |old| old.promoted);
        let noted = Self {
            record,
            revision: item.revision,
            promoted,
        };
        known.insert(service.to_owned(), noted);
    }
}

/// Why an attempt did not promote a server.
#[derive(Debug, Display)]
enum Stopped {
    #[display("only {fenced} of {quorum} members are held")]
    NoChoice { fenced: usize, quorum: usize },
    #[display("the duty is no longer held")]
    NoDuty,
    #[display("the store says that the duty is another's, or the record changed")]
    Conflict,
    #[display("the store did not take the record: {_0}")]
    Store(String),
    #[display("the platform did not promote: {_0}")]
    Promotion(String),
}

/// What is kept of one group.
struct Watched {
    memory: Memory,
    roster: Roster,
    /// The roster is being written to the store.
    writing: bool,
    not_before: Moment,
    trying: bool,
}

type Watchers = Map<String, Rc<Watcher>>;

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
        let present: Set<String> = entries.map(|entry| entry.server.id.clone()).collect();
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
                    .entry(entry.server.id.clone())
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
                id: entry.server.id.clone(),
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
        if watched.trying || now < watched.not_before {
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
            let revision = known.map_or(0, |noted| noted.revision);
            if let Err(stopped) = write_record(&control, &service, &record, Some(revision)).await {
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

/// Writes a group's record, on the condition that this process still holds the duty, and that the
/// record is at `revision` if one is given.
///
/// Failure: the store took the duty away without this process being told, and another holder
/// promotes as well. Guard: the store itself refuses the record of a holder that is none.
async fn write_record(
    control: &Control,
    service: &str,
    record: &Record,
    revision: Option<u64>,
) -> Result<(), Stopped> {
    let value = serde_json::to_vec(record).map_err(|error| Stopped::Store(error.to_string()))?;
    let key = format!("{RECORDS}{service}");
    let write = Write {
        key: &key,
        value: &value,
        lease: 0,
    };
    let mut conditions = vec![(member::DUTY, record.token)];
    conditions.extend(revision.map(|revision| (key.as_str(), revision)));
    match control.store().change(&conditions, &[write], &[]).await {
        Ok(Change::Done { .. }) => Ok(()),
        Ok(Change::Conflict | Change::LeaseGone) => Err(Stopped::Conflict),
        Err(error) => Err(Stopped::Store(error.to_string())),
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

/// One attempt to replace a primary.
struct Attempt {
    control: Rc<Control>,
    service: String,
    members: Vec<Member>,
    roster: Roster,
    watchers: Vec<Rc<Watcher>>,
    old: Option<String>,
    cause: Cause,
}

impl Attempt {
    /// Runs the attempt; returns how long the group is to be left alone.
    async fn run(&self) -> Duration {
        let term = takeover::newest_term(&self.members) + 1;
        let begun = clock::now();
        journal::write(
            "failover",
            json!({ "service": self.service, "cause": format!("{:?}", self.cause),
                "old": self.old, "term": term, "members": format!("{:?}", self.members) }),
        );
        let result = self.replace(term).await;
        let took = clock::now().since(begun).as_millis() as u64;
        match result {
            Ok(server) => {
                self.control.metrics.promotion();
                journal::write(
                    "promoted",
                    json!({ "service": self.service, "server": server, "term": term, "took_ms": took }),
                );
                SETTLE
            }
            Err(stopped) => {
                journal::write(
                    "not promoted",
                    json!({ "service": self.service, "term": term, "why": stopped.to_string(),
                        "took_ms": took }),
                );
                RETRY
            }
        }
    }

    async fn replace(&self, term: u64) -> Result<String, Stopped> {
        let sync_replicas = self.control.sync_replicas(&self.service);
        let quorum = takeover::quorum(self.roster.len(), sync_replicas);
        let (fenced, stepped_down) = self.fence(term, quorum).await;
        let held_at = clock::now();
        let Some(chosen) = takeover::choose(quorum, &fenced, stepped_down.as_ref()) else {
            self.resume(&fenced).await;
            let fenced = fenced.len();
            return Err(Stopped::NoChoice { fenced, quorum });
        };
        let wait = clock::now().until(held_at + PROMOTION_WAIT);
        tokio::time::sleep(wait).await;
        let duty = self.control.duty.borrow().token(clock::now());
        let token = duty.ok_or(Stopped::NoDuty)?;
        self.record(token, &chosen.id).await?;
        self.promote(token, &chosen.id).await?;
        Ok(chosen.id.clone())
    }

    /// Holds every other member and tells the old primary to step down, all at once. A member that
    /// is out of sight is not waited for once the others suffice.
    async fn fence(&self, term: u64, quorum: usize) -> (Vec<Fenced>, Option<Fenced>) {
        let orders = self
            .members
            .iter()
            .zip(&self.watchers)
            .map(|(member, watcher)| {
                let is_old = Some(&member.id) == self.old.as_ref();
                let order = match is_old {
                    true => Order::StepDown(term),
                    false => Order::Hold(term),
                };
                async move { (member, is_old, watcher.order(order, ORDER_TIMEOUT).await) }
            });
        let mut orders: FuturesUnordered<_> = orders.collect();
        let mut fenced = Vec::new();
        let mut stepped_down = None;
        let seen = |member: &&Member| matches!(member.sight, Sight::Answered(_));
        let mut awaited = self.members.iter().filter(seen).count();
        while let Some((member, is_old, answer)) = orders.next().await {
            awaited -= usize::from(seen(&member));
            let status = match answer {
                Ok(status) => status,
                Err(error) => {
                    journal::write(
                        "order failed",
                        json!({ "server": member.id, "old": is_old, "why": error.to_string() }),
                    );
                    continue;
                }
            };
            let one = Fenced {
                id: member.id.clone(),
                leaving: member.leaving,
                received: status.received,
            };
            match is_old {
                true if status.role == Role::Replica => stepped_down = Some(one),
                true => {}
                false if status.held >= term && status.role == Role::Replica => fenced.push(one),
                false => {}
            }
            if fenced.len() >= quorum && awaited == 0 {
                break;
            }
        }
        (fenced, stepped_down)
    }

    /// Lets the held members follow the old primary again: nothing was promoted.
    async fn resume(&self, fenced: &[Fenced]) {
        let held = |watcher: &&Rc<Watcher>| fenced.iter().any(|f| f.id == watcher.server.id);
        let orders = self
            .watchers
            .iter()
            .filter(held)
            .map(|watcher| watcher.order(Order::Resume, ORDER_TIMEOUT));
        for answer in futures::future::join_all(orders).await {
            if let Err(error) = answer {
                journal::trouble("resume", &error.to_string());
            }
        }
    }

    /// Writes the promotion down before it is called for.
    async fn record(&self, token: u64, server: &str) -> Result<(), Stopped> {
        let known = self.control.records.borrow().get(&self.service).cloned();
        let record = Record {
            holder: self.control.name.clone(),
            token,
            server: server.to_owned(),
            promotions: known.map_or(0, |noted| noted.record.promotions) + 1,
            members: self.roster.ids(),
        };
        let written = write_record(&self.control, &self.service, &record, None).await;
        if matches!(written, Err(Stopped::Conflict)) {
            self.control.duty.borrow_mut().lapsed();
        }
        written
    }

    async fn promote(&self, token: u64, server: &str) -> Result<(), Stopped> {
        let control = &self.control;
        let mut last = String::new();
        for _ in 0..CALLS {
            if control.duty.borrow().token(clock::now()) != Some(token) {
                return Err(Stopped::NoDuty);
            }
            let call = control
                .promoter
                .promote(&self.service, server, &control.id, token);
            match call.await {
                Ok(Outcome::Accepted) => return Ok(()),
                Ok(Outcome::NotRunning) => {
                    return Err(Stopped::Promotion("it is not running".to_owned()))
                }
                Err(error) => last = error.to_string(),
            }
        }
        Err(Stopped::Promotion(last))
    }
}

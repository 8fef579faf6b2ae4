//! One attempt to replace a primary: hold the replicas, choose, wait, record, promote.

use std::{rc::Rc, time::Duration};

use dandelionpitch_engine::{
    freshness::PROMOTION_WAIT,
    registry::{Entry, Incarnation, Role},
    roster::Roster,
    takeover::{self, Cause, Fenced, Member, Sight, Status},
};
use dandelionpitch_platform::{backend::Order, promoter::Outcome};
use futures::{stream::FuturesUnordered, StreamExt};
use serde_json::json;

use crate::line::{
    clock,
    control::{
        observe::{Watcher, ORDER_TIMEOUT},
        record::{Record, Stopped},
        recorder::{resync, write_record},
        state::Control,
    },
    journal,
};

/// How long a group is left alone after an attempt: a promotion takes effect some hundred
/// milliseconds after its call, and statuses from before it say nothing.
const SETTLE: Duration = Duration::from_millis(1_200);

/// The pause after an attempt that did not promote.
pub const RETRY: Duration = Duration::from_millis(400);

/// How often a promotion is called for when its answer is lost; it is idempotent.
const CALLS: usize = 3;

/// How long a held member may take to say that it still is: it runs nothing but reads, and a longer
/// wait would lengthen every failover.
const RECHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// One attempt to replace a primary.
pub struct Attempt {
    pub control: Rc<Control>,
    pub service: String,
    pub members: Vec<Member>,
    pub roster: Roster,
    pub watchers: Vec<Rc<Watcher>>,
    pub old: Option<Incarnation>,
    pub cause: Cause,
}

impl Attempt {
    /// Runs the attempt; returns how long the group is to be left alone.
    pub async fn run(&self) -> Duration {
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
        tokio::time::sleep(clock::now().until(held_at + PROMOTION_WAIT)).await;
        if self.has_grown() {
            return Err(Stopped::Grown);
        }
        self.still_held(term, &fenced, chosen).await?;
        let duty = self.control.duty.borrow().token(clock::now());
        let token = duty.ok_or(Stopped::NoDuty)?;
        self.record(token, &chosen.id.id).await?;
        self.promote(token, &chosen.id.id).await?;
        Ok(chosen.id.id.clone())
    }

    /// Whether the held members, and the one to be promoted, are still what they were.
    ///
    /// Failure: a held replica starts again while the leases run out. It has forgotten the order, follows
    /// the old primary and confirms its commits, none of which the promoted server has; or the server
    /// to be promoted has lost its log. Guard: all are asked once more just before the promotion. One
    /// that does not answer cannot be told from one that is busy; it follows nobody it was not
    /// following when it was held.
    async fn still_held(
        &self,
        term: u64,
        fenced: &[Fenced],
        chosen: &Fenced,
    ) -> Result<(), Stopped> {
        let asked = |watcher: &&Rc<Watcher>| {
            let id = &watcher.server.incarnation;
            *id == chosen.id || fenced.iter().any(|fenced| fenced.id == *id)
        };
        let questions = self
            .watchers
            .iter()
            .filter(asked)
            .map(|watcher| async move {
                let answer = watcher.order(Order::Status, RECHECK_TIMEOUT).await;
                (&watcher.server.incarnation, answer)
            });
        for (id, answer) in futures::future::join_all(questions).await {
            let Ok(status) = answer else { continue };
            let held = fenced.iter().find(|fenced| fenced.id == *id);
            let shorter = |before: &Fenced| status.received < before.received;
            let forgot = held.is_some() && status.held < term && status.term < term;
            if forgot || held.is_some_and(shorter) || (*id == chosen.id && shorter(chosen)) {
                self.resume(fenced).await;
                let server = id.clone();
                return Err(Stopped::Restarted { server });
            }
        }
        Ok(())
    }

    /// Whether a member's answer shows that it has started again since it was last seen.
    fn has_restarted(&self, member: &Member, after: &Status) -> bool {
        match member.sight {
            Sight::Answered(before) => takeover::has_restarted(&before, after),
            Sight::Unknown | Sight::Lost { .. } => false,
        }
    }

    /// Whether a server has come that was not held.
    fn has_grown(&self) -> bool {
        let now = self.control.servers_of(&self.service);
        let known = |entry: &Entry| {
            self.members
                .iter()
                .any(|m| m.id == entry.server.incarnation)
        };
        !now.iter().all(known)
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
            if self.has_restarted(member, &status) {
                journal::write("restarted", json!({ "server": member.id, "while": "held" }));
                continue;
            }
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
        let held =
            |watcher: &&Rc<Watcher>| fenced.iter().any(|f| f.id == watcher.server.incarnation);
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
        let written = write_record(&self.control, &self.service, &record).await;
        if matches!(written, Err(Stopped::Conflict)) {
            resync(&self.control, &self.service, token).await;
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

//! One attempt to replace a primary: hold the replicas, choose, wait, record, promote.

use std::{rc::Rc, time::Duration};

use dandelionpitch_engine::{
    freshness::PROMOTION_WAIT,
    registry::{Entry, Role},
    roster::Roster,
    takeover::{self, Cause, Fenced, Member, Sight},
};
use dandelionpitch_platform::{backend::Order, promoter::Outcome};
use futures::{stream::FuturesUnordered, StreamExt};
use serde_json::json;

use super::{
    clock,
    control::Control,
    failover::RETRY,
    journal,
    observe::{Watcher, ORDER_TIMEOUT},
    record::{resync, write_record, Record, Stopped},
};

/// How long a group is left alone after an attempt: a promotion takes effect some hundred
/// milliseconds after its call, and statuses from before it say nothing.
const SETTLE: Duration = Duration::from_millis(1_200);

/// How often a promotion is called for when its answer is lost; it is idempotent.
const CALLS: usize = 3;

/// One attempt to replace a primary.
pub struct Attempt {
    pub control: Rc<Control>,
    pub service: String,
    pub members: Vec<Member>,
    pub roster: Roster,
    pub watchers: Vec<Rc<Watcher>>,
    pub old: Option<String>,
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
        let duty = self.control.duty.borrow().token(clock::now());
        let token = duty.ok_or(Stopped::NoDuty)?;
        self.record(token, &chosen.id).await?;
        self.promote(token, &chosen.id).await?;
        Ok(chosen.id.clone())
    }

    /// Whether a server has come that was not held.
    fn has_grown(&self) -> bool {
        let now = self.control.servers_of(&self.service);
        let known = |entry: &Entry| self.members.iter().any(|m| m.id == entry.server.id);
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

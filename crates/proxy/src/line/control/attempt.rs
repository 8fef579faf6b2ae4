//! One attempt to replace a primary: hold the replicas, choose, wait, record, promote.

use std::{rc::Rc, time::Duration};

use dandelionpitch_engine::{
    fence::{self, Fence, Fenced, Objection, Recheck, Response},
    freshness::PROMOTION_WAIT,
    refusal::Code,
    registry::{Entry, Incarnation},
    roster::Roster,
    takeover::{Cause, Member, Sight, Status},
};
use dandelionpitch_platform::{backend::Command, promoter::Outcome, Error};
use futures::{stream::FuturesUnordered, StreamExt};
use serde_json::json;

use crate::line::{
    clock,
    control::{
        observe::{Watcher, ORDER_TIMEOUT},
        record::{Noted, Record, Stopped},
        recorder::{resync, write_record},
        state::Control,
    },
    journal,
};

/// How often a promotion is called for when its answer is lost; it is idempotent.
const CALLS: usize = 3;

/// How long a held member may take to say that it still is: it runs nothing but reads, and a longer
/// wait would lengthen every failover.
const RECHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// How long the held members are asked whether they still are, until enough have said so: a busy one
/// answers a little later, and to begin anew takes longer than this.
const RECHECK_LIMIT: Duration = Duration::from_millis(800);

/// The pause before an order is given again to a server that has no time for it: less than one
/// statement of usual length.
const ORDER_AGAIN: Duration = Duration::from_millis(20);

/// One attempt to replace a primary.
pub struct Attempt {
    pub control: Rc<Control>,
    pub service: String,
    pub members: Vec<Member>,
    /// The newest term that is known of.
    pub newest: u64,
    pub roster: Roster,
    /// The record in the store on which the roster rests.
    pub recorded: Option<Noted>,
    pub watchers: Vec<Rc<Watcher>>,
    pub old: Option<Incarnation>,
    pub cause: Cause,
}

/// How an attempt ended.
pub enum Ended {
    /// The promotion of `server` to `term` was called for, and may take effect even if no answer came.
    Called {
        server: Incarnation,
        term: u64,
    },
    NotCalled,
}

impl Attempt {
    /// Runs the attempt.
    pub async fn run(&self) -> Ended {
        let mut fence = self.begin();
        let begun = clock::now();
        journal::write(
            "failover",
            json!({ "service": self.service, "cause": format!("{:?}", self.cause),
                "old": self.old, "term": fence.term(), "quorum": fence.quorum(),
                "members": format!("{:?}", self.members) }),
        );
        let result = self.replace(&mut fence).await;
        let took = clock::now().since(begun).as_millis() as u64;
        let term = fence.term();
        match result {
            Ok(server) => {
                self.control.metrics.promotion();
                journal::write(
                    "promoted",
                    json!({ "service": self.service, "server": server.id, "term": term, "took_ms": took }),
                );
                Ended::Called { server, term }
            }
            Err(stopped) => {
                journal::write(
                    "not promoted",
                    json!({ "service": self.service, "term": term, "why": stopped.to_string(),
                        "took_ms": took }),
                );
                match stopped {
                    Stopped::Unanswered { server, .. } => Ended::Called { server, term },
                    _ => {
                        self.resume(fence.held()).await;
                        Ended::NotCalled
                    }
                }
            }
        }
    }

    fn begin(&self) -> Fence {
        let sync_replicas = self.control.sync_replicas(&self.service);
        let quorum = fence::quorum(self.roster.len(), sync_replicas);
        let last = self
            .recorded
            .as_ref()
            .and_then(|noted| noted.record.promoted());
        Fence::new(&self.members, self.newest, last, quorum)
    }

    async fn replace(&self, fence: &mut Fence) -> Result<Incarnation, Stopped> {
        let late = self.fence(fence).await;
        let held_at = clock::now();
        let Some(chosen) = fence.choice().cloned() else {
            let (fenced, quorum) = (fence.held().len(), fence.quorum());
            return Err(Stopped::NoChoice { fenced, quorum });
        };
        tokio::join!(
            tokio::time::sleep(clock::now().until(held_at + PROMOTION_WAIT)),
            self.depose(late),
        );
        if self.has_grown() {
            return Err(Stopped::Grown);
        }
        let duty = self.control.duty.borrow().token(clock::now());
        let token = duty.ok_or(Stopped::NoDuty)?;
        let revision = self.record(token, &chosen.id.id).await?;
        let called = match self.recheck(fence).await {
            Ok(()) => self.promote(token, fence, &chosen.id).await,
            Err(stopped) => Err(stopped),
        };
        match called {
            Ok(()) => Ok(chosen.id),
            Err(stopped @ Stopped::Unanswered { .. }) => Err(stopped),
            Err(stopped) => {
                self.withdraw(token, revision).await;
                Err(stopped)
            }
        }
    }

    /// Asks those on whom the choice rests once more, until enough have answered.
    async fn recheck(&self, fence: &Fence) -> Result<(), Stopped> {
        let until = clock::now() + RECHECK_LIMIT;
        loop {
            let answers = self.ask_again().await;
            match fence.recheck(&answers) {
                Ok(()) => return Ok(()),
                Err(Objection::Changed(server)) => return Err(Stopped::Restarted { server }),
                Err(Objection::NoQuorum { confirmed, quorum }) if clock::now() >= until => {
                    return Err(Stopped::Unheard { confirmed, quorum });
                }
                Err(Objection::NoQuorum { .. }) => tokio::time::sleep(ORDER_AGAIN).await,
            }
        }
    }

    async fn ask_again(&self) -> Vec<(Incarnation, Recheck)> {
        let ask = |watcher: &Rc<Watcher>| {
            let watcher = watcher.clone();
            async move {
                let answer = watcher.order(Command::Status, RECHECK_TIMEOUT).await;
                let again = answer.map_or(Recheck::Unavailable, Recheck::Answered);
                (watcher.server.incarnation.clone(), again)
            }
        };
        futures::future::join_all(self.watchers.iter().map(ask)).await
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
    /// is out of sight is not waited for once the others suffice; nor is an old primary that has no
    /// time, which is returned and told meanwhile.
    async fn fence(&self, fence: &mut Fence) -> Option<Rc<Watcher>> {
        let term = fence.term();
        let orders = self
            .members
            .iter()
            .zip(&self.watchers)
            .map(|(member, watcher)| {
                let order = match Some(&member.id) == self.old.as_ref() {
                    true => Command::StepDown(term),
                    false => Command::Pause(term),
                };
                async move { (member, obey(watcher, order).await) }
            });
        let mut orders: FuturesUnordered<_> = orders.collect();
        let is_old = |member: &Member| Some(&member.id) == self.old.as_ref();
        let seen = |member: &Member| matches!(member.sight, Sight::Answered(_)) && !is_old(member);
        let mut awaited = self.members.iter().filter(|member| seen(member)).count();
        let mut late = self.watcher_of_old();
        while let Some((member, answer)) = orders.next().await {
            awaited -= usize::from(seen(member));
            self.hear(fence, member, answer);
            if is_old(member) {
                late = None;
            }
            if fence.is_complete() && awaited == 0 {
                break;
            }
        }
        late
    }

    fn watcher_of_old(&self) -> Option<Rc<Watcher>> {
        let is_old =
            |watcher: &&Rc<Watcher>| Some(&watcher.server.incarnation) == self.old.as_ref();
        self.watchers.iter().find(is_old).cloned()
    }

    /// Notes a member's answer to its order.
    fn hear(&self, fence: &mut Fence, member: &Member, answer: Result<Status, Error>) {
        let heard = match &answer {
            Ok(status) => fence.note(member, status),
            Err(_) => Response::Nothing,
        };
        journal::write(
            "ordered",
            json!({ "service": self.service, "server": member.id, "term": fence.term(),
                "old": Some(&member.id) == self.old.as_ref(), "heard": format!("{heard:?}"),
                "answer": answer.map_or_else(|error| error.to_string(), |status| format!("{status:?}")) }),
        );
    }

    /// Goes on telling the old primary to step down while the replicas are held.
    ///
    /// Failure: it is busy and refuses the order; it goes on as the primary after its replacement, and
    /// its callers' commits wait in vain until it is told again. Guard: it is told until it obeys.
    async fn depose(&self, old: Option<Rc<Watcher>>) {
        let Some(old) = old else { return };
        let term = self.newest + 1;
        if let Err(error) = obey(&old, Command::StepDown(term)).await {
            let server = &old.server.incarnation;
            journal::trouble("step down", &format!("{server}: {error}"));
        }
    }

    /// Lets the held members follow the old primary again: nothing was promoted. Once the duty is
    /// another's, so are the holds.
    async fn resume(&self, fenced: &[Fenced]) {
        if self.control.duty.borrow().token(clock::now()).is_none() {
            return;
        }
        let held =
            |watcher: &&Rc<Watcher>| fenced.iter().any(|f| f.id == watcher.server.incarnation);
        let orders = self
            .watchers
            .iter()
            .filter(held)
            .map(|watcher| watcher.order(Command::Resume, ORDER_TIMEOUT));
        for answer in futures::future::join_all(orders).await {
            if let Err(error) = answer {
                journal::trouble("resume", &error.to_string());
            }
        }
    }

    /// Writes the promotion down before it is called for; returns the record's revision.
    async fn record(&self, token: u64, server: &str) -> Result<u64, Stopped> {
        let revision = self.recorded.as_ref().map(|noted| noted.revision);
        let record = self.next_record(token, server);
        let written = write_record(&self.control, &self.service, &record, revision).await;
        if matches!(written, Err(Stopped::Conflict)) {
            resync(&self.control, &self.service, token).await;
        }
        written
    }

    /// Takes the promotion back that was written down and not called for, so that the old primary
    /// counts as the one promoted last.
    async fn withdraw(&self, token: u64, revision: u64) {
        let last = self
            .recorded
            .as_ref()
            .map_or("", |noted| &noted.record.server);
        let record = self.next_record(token, last);
        let written = write_record(&self.control, &self.service, &record, Some(revision)).await;
        if let Err(stopped) = written {
            journal::trouble("record", &stopped.to_string());
        }
    }

    fn next_record(&self, token: u64, server: &str) -> Record {
        let known = self
            .recorded
            .as_ref()
            .map_or(0, |noted| noted.record.promotions);
        Record {
            holder: self.control.name.clone(),
            token,
            server: server.to_owned(),
            promotions: known + 1,
            members: self.roster.ids(),
        }
    }

    /// Calls for the promotion, and again when no answer came.
    ///
    /// Failure: the call is repeated seconds after its members were asked; meanwhile the server has
    /// started again without its log, and it leads with nothing. Guard: whoever is called for again is
    /// asked again before.
    async fn promote(
        &self,
        token: u64,
        fence: &Fence,
        server: &Incarnation,
    ) -> Result<(), Stopped> {
        let control = &self.control;
        let mut last = None;
        for _ in 0..CALLS {
            if last.is_some() && self.recheck(fence).await.is_err() {
                break;
            }
            if control.duty.borrow().token(clock::now()) != Some(token) {
                return Err(last.unwrap_or(Stopped::NoDuty));
            }
            let call = control
                .promoter
                .promote(&self.service, &server.id, &control.id, token);
            match call.await {
                Ok(Outcome::Accepted) => return Ok(()),
                Ok(Outcome::NotRunning) if last.is_none() => return Err(Stopped::NotRunning),
                Ok(Outcome::NotRunning) => break,
                Ok(Outcome::Refused) if last.is_none() => tokio::time::sleep(ORDER_AGAIN).await,
                Ok(Outcome::Refused) => {}
                Err(error) => {
                    let (server, why) = (server.clone(), error.to_string());
                    last = Some(Stopped::Unanswered { server, why });
                }
            }
        }
        Err(last.unwrap_or(Stopped::Refused))
    }
}

/// Gives an order until the server carries it out, or for as long as an order may take.
async fn obey(watcher: &Rc<Watcher>, order: Command) -> Result<Status, Error> {
    let until = clock::now() + ORDER_TIMEOUT;
    loop {
        let left = clock::now().until(until);
        match watcher.order(order, left).await {
            Err(Error::Refused(refusal)) if refusal.code == Code::Busy && left > ORDER_AGAIN => {
                tokio::time::sleep(ORDER_AGAIN).await;
            }
            answer => return answer,
        }
    }
}

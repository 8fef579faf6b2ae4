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
        probe::{Probe, COMMAND_TIMEOUT},
        record::{Failure, Record, StoredRecord},
        recorder::{reload_record, write_record},
        state::Control,
    },
    journal,
};

/// How often a promotion is called for when its answer is lost; it is idempotent.
const MAX_PROMOTION_CALLS: usize = 3;

/// How long a held member may take to say that it still is: it runs nothing but reads, and a longer
/// wait would lengthen every failover.
const RECHECK_REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

/// How long the held members are asked whether they still are, until enough have said so: a busy one
/// answers a little later, and to begin anew takes longer than this.
const RECHECK_TOTAL_TIMEOUT: Duration = Duration::from_millis(800);

/// The pause before an order is given again to a server that has no time for it: less than one
/// statement of usual length.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// One attempt to replace a primary.
pub struct Attempt {
    pub control: Rc<Control>,
    pub service: String,
    pub members: Vec<Member>,
    /// The newest term that is known of.
    pub newest_term: u64,
    pub roster: Roster,
    /// The record in the store on which the roster rests.
    pub recorded: Option<StoredRecord>,
    pub probes: Vec<Rc<Probe>>,
    pub old_primary: Option<Incarnation>,
    pub cause: Cause,
}

/// How an attempt ended.
pub enum Completion {
    /// The promotion of `server` to `term` was called for, and may take effect even if no answer came.
    Requested {
        server: Incarnation,
        term: u64,
    },
    NotRequested,
}

impl Attempt {
    /// Runs the attempt.
    pub async fn run(&self) -> Completion {
        let mut fence = self.new_fence();
        let started_at = clock::now();
        journal::write(
            "failover",
            json!({ "service": self.service, "cause": format!("{:?}", self.cause),
                "old": self.old_primary, "term": fence.term(), "quorum": fence.quorum(),
                "members": format!("{:?}", self.members) }),
        );
        let result = self.replace_primary(&mut fence).await;
        let took_ms = clock::now().since(started_at).as_millis() as u64;
        let term = fence.term();
        match result {
            Ok(server) => {
                self.control.metrics.promotion();
                journal::write(
                    "promoted",
                    json!({ "service": self.service, "server": server.id, "term": term, "took_ms": took_ms }),
                );
                Completion::Requested { server, term }
            }
            Err(failure) => {
                journal::write(
                    "not promoted",
                    json!({ "service": self.service, "term": term, "why": failure.to_string(),
                        "took_ms": took_ms }),
                );
                match failure {
                    Failure::Unconfirmed { server, .. } => Completion::Requested { server, term },
                    _ => {
                        self.resume_replicas(fence.held()).await;
                        Completion::NotRequested
                    }
                }
            }
        }
    }

    fn new_fence(&self) -> Fence {
        let sync_replicas = self.control.sync_replicas(&self.service);
        let quorum = fence::quorum(self.roster.len(), sync_replicas);
        let last = self
            .recorded
            .as_ref()
            .and_then(|stored| stored.record.promoted());
        Fence::new(&self.members, self.newest_term, last, quorum)
    }

    async fn replace_primary(&self, fence: &mut Fence) -> Result<Incarnation, Failure> {
        let late_primary = self.fence_members(fence).await;
        let held_at = clock::now();
        let Some(chosen) = fence.choice().cloned() else {
            let (fenced, quorum) = (fence.held().len(), fence.quorum());
            return Err(Failure::NoCandidate { fenced, quorum });
        };
        tokio::join!(
            tokio::time::sleep(clock::now().until(held_at + PROMOTION_WAIT)),
            self.step_down_primary(late_primary),
        );
        if self.has_new_member() {
            return Err(Failure::MemberAdded);
        }
        let token = self.control.election.borrow().token(clock::now());
        let token = token.ok_or(Failure::LeadershipLost)?;
        let revision = self.record_promotion(token, &chosen.id.id).await?;
        let result = match self.recheck_members(fence).await {
            Ok(()) => self.call_promotion(token, fence, &chosen.id).await,
            Err(failure) => Err(failure),
        };
        match result {
            Ok(()) => Ok(chosen.id),
            Err(failure @ Failure::Unconfirmed { .. }) => Err(failure),
            Err(failure) => {
                self.withdraw_promotion(token, revision).await;
                Err(failure)
            }
        }
    }

    /// Asks those on whom the choice rests once more, until enough have answered.
    async fn recheck_members(&self, fence: &Fence) -> Result<(), Failure> {
        let until = clock::now() + RECHECK_TOTAL_TIMEOUT;
        loop {
            let answers = self.request_statuses().await;
            match fence.recheck(&answers) {
                Ok(()) => return Ok(()),
                Err(Objection::Changed(server)) => return Err(Failure::Restarted { server }),
                Err(Objection::NoQuorum { confirmed, quorum }) if clock::now() >= until => {
                    return Err(Failure::NoQuorum { confirmed, quorum });
                }
                Err(Objection::NoQuorum { .. }) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    async fn request_statuses(&self) -> Vec<(Incarnation, Recheck)> {
        let request = |probe: &Rc<Probe>| {
            let probe = probe.clone();
            async move {
                let answer = probe.send(Command::Status, RECHECK_REQUEST_TIMEOUT).await;
                let recheck = answer.map_or(Recheck::Unavailable, Recheck::Answered);
                (probe.server.incarnation.clone(), recheck)
            }
        };
        futures::future::join_all(self.probes.iter().map(request)).await
    }

    /// Whether a server has come that was not held.
    fn has_new_member(&self) -> bool {
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
    async fn fence_members(&self, fence: &mut Fence) -> Option<Rc<Probe>> {
        let term = fence.term();
        let answers = self
            .members
            .iter()
            .zip(&self.probes)
            .map(|(member, probe)| {
                let command = match Some(&member.id) == self.old_primary.as_ref() {
                    true => Command::StepDown(term),
                    false => Command::Pause(term),
                };
                async move { (member, send_until_accepted(probe, command).await) }
            });
        let mut answers: FuturesUnordered<_> = answers.collect();
        let is_old = |member: &Member| Some(&member.id) == self.old_primary.as_ref();
        let seen = |member: &Member| matches!(member.sight, Sight::Answered(_)) && !is_old(member);
        let mut outstanding = self.members.iter().filter(|member| seen(member)).count();
        let mut late_primary = self.probe_of_old_primary();
        while let Some((member, answer)) = answers.next().await {
            outstanding -= usize::from(seen(member));
            self.note_answer(fence, member, answer);
            if is_old(member) {
                late_primary = None;
            }
            if fence.is_complete() && outstanding == 0 {
                break;
            }
        }
        late_primary
    }

    fn probe_of_old_primary(&self) -> Option<Rc<Probe>> {
        let is_old =
            |probe: &&Rc<Probe>| Some(&probe.server.incarnation) == self.old_primary.as_ref();
        self.probes.iter().find(is_old).cloned()
    }

    /// Notes a member's answer to its order.
    fn note_answer(&self, fence: &mut Fence, member: &Member, answer: Result<Status, Error>) {
        let response = match &answer {
            Ok(status) => fence.note(member, status),
            Err(_) => Response::Nothing,
        };
        journal::write(
            "ordered",
            json!({ "service": self.service, "server": member.id, "term": fence.term(),
                "old": Some(&member.id) == self.old_primary.as_ref(), "heard": format!("{response:?}"),
                "answer": answer.map_or_else(|error| error.to_string(), |status| format!("{status:?}")) }),
        );
    }

    /// Goes on telling the old primary to step down while the replicas are held.
    ///
    /// Failure: it is busy and refuses the order; it goes on as the primary after its replacement, and
    /// its callers' commits wait in vain until it is told again. Guard: it is told until it obeys.
    async fn step_down_primary(&self, old: Option<Rc<Probe>>) {
        let Some(old) = old else { return };
        let term = self.newest_term + 1;
        if let Err(error) = send_until_accepted(&old, Command::StepDown(term)).await {
            let server = &old.server.incarnation;
            journal::trouble("step down", &format!("{server}: {error}"));
        }
    }

    /// Lets the held members follow the old primary again: nothing was promoted. Once the duty is
    /// another's, so are the holds.
    async fn resume_replicas(&self, fenced: &[Fenced]) {
        if self.control.election.borrow().token(clock::now()).is_none() {
            return;
        }
        let held = |probe: &&Rc<Probe>| fenced.iter().any(|f| f.id == probe.server.incarnation);
        let orders = self
            .probes
            .iter()
            .filter(held)
            .map(|probe| probe.send(Command::Resume, COMMAND_TIMEOUT));
        for answer in futures::future::join_all(orders).await {
            if let Err(error) = answer {
                journal::trouble("resume", &error.to_string());
            }
        }
    }

    /// Writes the promotion down before it is called for; returns the record's revision.
    async fn record_promotion(&self, token: u64, server: &str) -> Result<u64, Failure> {
        let revision = self.recorded.as_ref().map(|stored| stored.revision);
        let record = self.next_record(token, server);
        let written = write_record(&self.control, &self.service, &record, revision).await;
        if matches!(written, Err(Failure::Conflict)) {
            reload_record(&self.control, &self.service, token).await;
        }
        written
    }

    /// Takes the promotion back that was written down and not called for, so that the old primary
    /// counts as the one promoted last.
    async fn withdraw_promotion(&self, token: u64, revision: u64) {
        let last = self
            .recorded
            .as_ref()
            .map_or("", |stored| &stored.record.server);
        let record = self.next_record(token, last);
        let written = write_record(&self.control, &self.service, &record, Some(revision)).await;
        if let Err(failure) = written {
            journal::trouble("record", &failure.to_string());
        }
    }

    fn next_record(&self, token: u64, server: &str) -> Record {
        let known = self
            .recorded
            .as_ref()
            .map_or(0, |stored| stored.record.promotions);
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
    async fn call_promotion(
        &self,
        token: u64,
        fence: &Fence,
        server: &Incarnation,
    ) -> Result<(), Failure> {
        let control = &self.control;
        let mut last = None;
        for _ in 0..MAX_PROMOTION_CALLS {
            if last.is_some() && self.recheck_members(fence).await.is_err() {
                break;
            }
            if control.election.borrow().token(clock::now()) != Some(token) {
                return Err(last.unwrap_or(Failure::LeadershipLost));
            }
            let call = control
                .promoter
                .promote(&self.service, &server.id, &control.id, token);
            match call.await {
                Ok(Outcome::Accepted) => return Ok(()),
                Ok(Outcome::NotRunning) if last.is_none() => return Err(Failure::NotRunning),
                Ok(Outcome::NotRunning) => break,
                Ok(Outcome::Refused) if last.is_none() => tokio::time::sleep(RETRY_DELAY).await,
                Ok(Outcome::Refused) => {}
                Err(error) => {
                    let (server, why) = (server.clone(), error.to_string());
                    last = Some(Failure::Unconfirmed { server, why });
                }
            }
        }
        Err(last.unwrap_or(Failure::Refused))
    }
}

/// Gives an order until the server carries it out, or for as long as an order may take.
async fn send_until_accepted(probe: &Rc<Probe>, command: Command) -> Result<Status, Error> {
    let until = clock::now() + COMMAND_TIMEOUT;
    loop {
        let left = clock::now().until(until);
        match probe.send(command, left).await {
            Err(Error::Refused(refusal)) if refusal.code == Code::Busy && left > RETRY_DELAY => {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            answer => return answer,
        }
    }
}

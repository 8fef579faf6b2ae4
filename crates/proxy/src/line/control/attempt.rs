//! One attempt to replace a primary: hold the replicas by pausing their replication, choose a server,
//! wait, record the promotion in the store and request it from the platform.

use std::{rc::Rc, time::Duration};

use dandelionpitch_engine::{
    fence::{Fence, Fenced, Objection, Recheck, Response},
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

/// The promotion call is idempotent, so it is retried if its answer is lost.
const MAX_PROMOTION_CALLS: usize = 3;

/// The timeout of one status request to a fenced member. Fenced members run only reads, and a longer
/// timeout would delay every failover.
const RECHECK_REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

/// How long status requests are repeated until enough members have confirmed that they are fenced. A
/// busy member may answer only a later request, and a new attempt would take longer than this.
const RECHECK_TOTAL_TIMEOUT: Duration = Duration::from_millis(800);

/// The delay before a request that a busy server or the platform refused is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// One attempt to replace a primary.
pub struct Attempt {
    pub control: Rc<Control>,
    pub service: String,
    pub members: Vec<Member>,
    /// The highest known term.
    pub newest_term: u64,
    pub roster: Roster,
    /// The record in the store that the roster is based on.
    pub recorded: Option<StoredRecord>,
    pub probes: Vec<Rc<Probe>>,
    pub old_primary: Option<Incarnation>,
    pub cause: Cause,
}

/// How an attempt ended.
pub enum Completion {
    /// The promotion of `server` to `term` was requested. It may take effect even if no answer was
    /// received.
    Requested {
        server: Incarnation,
        term: u64,
    },
    NotRequested,
}

impl Attempt {
    pub async fn run(&self) -> Completion {
        let mut fence = self.new_fence();
        let started_at = clock::now();
        journal::write(
            "failover",
            json!({ "service": self.service, "cause": format!("{:?}", self.cause),
                "old": self.old_primary, "term": fence.term(), "quorum": fence.quorum(),
                "roster": self.roster.ids(), "members": format!("{:?}", self.members) }),
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
        let quorum = self.roster.quorum(sync_replicas);
        let last = self
            .recorded
            .as_ref()
            .and_then(|stored| stored.record.promoted());
        Fence::new(&self.members, self.newest_term, last, quorum)
            .with_voters(&self.members, &self.roster.ids())
    }

    async fn replace_primary(&self, fence: &mut Fence) -> Result<Incarnation, Failure> {
        let late_primary = self.fence_members(fence).await;
        let held_at = clock::now();
        let Some(chosen) = fence.choice().cloned() else {
            let (fenced, quorum) = (fence.counted(), fence.quorum());
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

    /// Requests the members' statuses until enough have confirmed that they are still fenced.
    async fn recheck_members(&self, fence: &Fence) -> Result<(), Failure> {
        let until = clock::now() + RECHECK_TOTAL_TIMEOUT;
        loop {
            let answers = self.request_statuses().await;
            match fence.recheck(&answers) {
                Ok(()) => return Ok(()),
                Err(Objection::Changed(server)) => return Err(Failure::MemberChanged { server }),
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

    /// Whether a server has registered that is not part of the attempt and so is not held.
    fn has_new_member(&self) -> bool {
        let current = self.control.servers_of(&self.service);
        let is_member = |entry: &Entry| {
            self.members
                .iter()
                .any(|m| m.id == entry.server.incarnation)
        };
        !current.iter().all(is_member)
    }

    /// Holds all replicas and sends the old primary a step-down command, concurrently.
    ///
    /// Once a quorum is fenced, waits only for members that answered their last status request, and
    /// not for the old primary. Returns the old primary's probe if it has not answered by then.
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
        let is_awaited =
            |member: &Member| matches!(member.sight, Sight::Answered(_)) && !is_old(member);
        let mut outstanding = self
            .members
            .iter()
            .filter(|member| is_awaited(member))
            .count();
        let mut late_primary = self.probe_of_old_primary();
        while let Some((member, answer)) = answers.next().await {
            outstanding -= usize::from(is_awaited(member));
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

    /// Records a member's answer to its command.
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

    /// Repeats the step-down command to the old primary while the replicas are held.
    ///
    /// A busy primary may refuse the command. If it remained primary after its replacement, commits on
    /// it would wait for replicas that no longer follow it.
    async fn step_down_primary(&self, old: Option<Rc<Probe>>) {
        let Some(old) = old else { return };
        let term = self.newest_term + 1;
        if let Err(error) = send_until_accepted(&old, Command::StepDown(term)).await {
            let server = &old.server.incarnation;
            journal::trouble("step down", &format!("{server}: {error}"));
        }
    }

    /// Sends the fenced members a resume command after a failed attempt. Does nothing if this
    /// process is no longer the failover leader, as the members may be held for the next leader's
    /// attempt.
    async fn resume_replicas(&self, fenced: &[Fenced]) {
        if self.control.election.borrow().token(clock::now()).is_none() {
            return;
        }
        let is_fenced =
            |probe: &&Rc<Probe>| fenced.iter().any(|f| f.id == probe.server.incarnation);
        let answers = self
            .probes
            .iter()
            .filter(is_fenced)
            .map(|probe| probe.send(Command::Resume, COMMAND_TIMEOUT));
        for answer in futures::future::join_all(answers).await {
            if let Err(error) = answer {
                journal::trouble("resume", &error.to_string());
            }
        }
    }

    /// Records the promotion in the store before it is requested; returns the record's revision.
    async fn record_promotion(&self, token: u64, server: &str) -> Result<u64, Failure> {
        let revision = self.recorded.as_ref().map(|stored| stored.revision);
        let record = self.next_record(token, server);
        let written = write_record(&self.control, &self.service, &record, revision).await;
        if matches!(written, Err(Failure::Conflict)) {
            reload_record(&self.control, &self.service, token).await;
        }
        written
    }

    /// Overwrites the record of a promotion that was not carried out, so that the server promoted
    /// before counts as the one promoted last.
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
        let promotions = self
            .recorded
            .as_ref()
            .map_or(0, |stored| stored.record.promotions);
        Record {
            holder: self.control.name.clone(),
            token,
            server: server.to_owned(),
            promotions: promotions + 1,
            members: self.roster.ids_with(&self.members, server),
            addresses: self.roster.addresses().clone(),
        }
    }

    /// Requests the promotion. Retries if the platform refuses the call or its answer is lost.
    ///
    /// A retry after a lost answer may come seconds after the members were rechecked. The server may have
    /// restarted since and would lead with an empty log, so the members are rechecked before it.
    async fn call_promotion(
        &self,
        token: u64,
        fence: &Fence,
        server: &Incarnation,
    ) -> Result<(), Failure> {
        let control = &self.control;
        let mut failure = None;
        for _ in 0..MAX_PROMOTION_CALLS {
            if failure.is_some() && self.recheck_members(fence).await.is_err() {
                break;
            }
            if control.election.borrow().token(clock::now()) != Some(token) {
                return Err(failure.unwrap_or(Failure::LeadershipLost));
            }
            let call = control
                .promoter
                .promote(&self.service, &server.id, &control.id, token);
            match call.await {
                Ok(Outcome::Accepted) => return Ok(()),
                Ok(Outcome::NotRunning) if failure.is_none() => return Err(Failure::NotRunning),
                Ok(Outcome::NotRunning) => break,
                Ok(Outcome::Refused) if failure.is_none() => tokio::time::sleep(RETRY_DELAY).await,
                Ok(Outcome::Refused) => {}
                Err(error) => {
                    let (server, why) = (server.clone(), error.to_string());
                    failure = Some(Failure::Unconfirmed { server, why });
                }
            }
        }
        Err(failure.unwrap_or(Failure::Refused))
    }
}

/// Sends a command until the server accepts it, for at most [`COMMAND_TIMEOUT`] in total.
async fn send_until_accepted(probe: &Rc<Probe>, command: Command) -> Result<Status, Error> {
    let until = clock::now() + COMMAND_TIMEOUT;
    loop {
        let remaining = clock::now().until(until);
        match probe.send(command, remaining).await {
            Err(Error::Refused(refusal))
                if refusal.code == Code::Busy && remaining > RETRY_DELAY =>
            {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            answer => return answer,
        }
    }
}

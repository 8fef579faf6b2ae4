//! Runs statements outside transactions: reads on any server that is fresh enough, writes on the
//! primary and at most once.

use std::{rc::Rc, time::Duration};

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    admission::Obstacle,
    catalog::Consistency,
    refusal::{Code, Refusal},
    registry::Incarnation,
    session::{Effect, Session},
    time::Moment,
};
use dandelionpitch_platform::backend::{Condition, Success};

use crate::{
    line::{
        backend::Backend,
        clock,
        group::{Group, Leader},
        recovery::{self, Absence},
        traffic::{
            call::{note_failure, Call, Failure, RETRY_AFTER, RETRY_DELAY},
            exchange::{checkout, exchange, release_if_idle},
            lag::{lagging, note_lag, queue_full},
            latest,
        },
    },
    metrics::Target,
};

/// The minimum time after which the answer to a write is overdue: longer than a usual write with two
/// round trips to a replica.
const MIN_OVERDUE_AFTER: Duration = Duration::from_millis(150);

/// Runs a statement outside a transaction.
pub async fn run(
    group: &Rc<Group>,
    session: &mut Session,
    call: &Call<'_>,
) -> Result<Success, Refusal> {
    match call.effect {
        Effect::Read => read(group, session, call).await,
        Effect::Write | Effect::Commit => write(group, session, call).await,
    }
}

async fn read(group: &Rc<Group>, session: &Session, call: &Call<'_>) -> Result<Success, Refusal> {
    let mut attempts = Attempts::new();
    let mut required = None;
    while !call.is_expired() {
        let (servers, after) = match call.route.consistency {
            Consistency::Latest => latest::find(group, call, session.floor()).await?,
            Consistency::Bounded(_) | Consistency::Session(_) => {
                let own = session.floor();
                let Some(floor) = group
                    .required_position(call.freshness_bound(call.arrived), own)
                    .await
                else {
                    return Err(call.unavailable("required log position is unknown", RETRY_AFTER));
                };
                let servers = group.read_candidates(call.account, Some(floor), clock::now());
                (servers, Some(floor))
            }
        };
        required = after;
        for backend in servers {
            if attempts.is_exhausted(&backend) || call.is_expired() {
                continue;
            }
            let Some(_permit) = group.read_permit(&backend, after, call.due()).await else {
                attempts.passed_over = true;
                continue;
            };
            match read_on(group, &backend, session, call, after).await {
                Ok(success) => return Ok(success),
                Err(failure) => attempts.record(&backend, failure),
            }
        }
        if attempts.finish_round() || !call.may_retry(attempts.obstacle) {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Err(attempts.refusal(group, call, required))
}

/// The attempts to run a read so far.
struct Attempts {
    rounds: usize,
    obstacle: Obstacle,
    /// How often the read failed on each server.
    failed: Vec<(Incarnation, u32)>,
    last: Option<Failure>,
    /// Whether a replica was passed over because it is not expected to have the position in time.
    passed_over: bool,
}

impl Attempts {
    /// How often a read may fail on each server.
    const MAX_PER_SERVER: u32 = 2;
    /// The maximum number of rounds over all servers.
    const MAX_ROUNDS: usize = 4;

    fn new() -> Self {
        Self {
            rounds: 0,
            obstacle: Obstacle::NoServer,
            failed: Vec::new(),
            last: None,
            passed_over: false,
        }
    }

    fn is_exhausted(&self, backend: &Backend) -> bool {
        let id = &backend.server.incarnation;
        let is_used_up =
            |(known, count): &(Incarnation, u32)| known == id && *count >= Self::MAX_PER_SERVER;
        self.failed.iter().any(is_used_up)
    }

    fn record(&mut self, backend: &Backend, failure: Failure) {
        if matches!(failure, Failure::QueueFull(_)) {
            self.obstacle = Obstacle::QueueFull;
        }
        // Statements that were not run do not count, as they put no load on the server.
        if matches!(failure, Failure::Failed(_) | Failure::NoAnswer(_)) {
            let id = &backend.server.incarnation;
            match self.failed.iter_mut().find(|(known, _)| known == id) {
                Some((_, count)) => *count += 1,
                None => self.failed.push((id.clone(), 1)),
            }
        }
        self.last = Some(failure);
    }

    /// Counts a round over all servers; returns whether it was the last.
    fn finish_round(&mut self) -> bool {
        self.rounds += 1;
        self.rounds >= Self::MAX_ROUNDS
    }

    fn refusal(self, group: &Group, call: &Call<'_>, required: Option<Position>) -> Refusal {
        let lacks = |failure: &Failure| matches!(failure, Failure::NotRun(refusal) if refusal.code == Code::Lagging);
        match self.last {
            Some(failure) if group.predicts_lag() && lacks(&failure) => {
                lagging(group, call, required)
            }
            None if self.passed_over => lagging(group, call, required),
            Some(Failure::QueueFull(refusal)) => queue_full(group, call, required, refusal),
            Some(Failure::NotRun(refusal) | Failure::Failed(refusal)) => refusal,
            Some(Failure::NoAnswer(why)) => Refusal::new(Code::Unknown, why),
            None => call.busy("timed out before a server was tried", RETRY_AFTER),
        }
    }
}

/// Returns the primary once it is proved that it was still the leader when the statement arrived.
pub async fn confirmed_leader(
    group: &Rc<Group>,
    call: &Call<'_>,
) -> Result<Vec<Rc<Backend>>, Refusal> {
    loop {
        if let Some(leader) = find_confirmed_leader(group, call).await? {
            return Ok(leader);
        }
        let waited = recovery::wait(group, call).await;
        waited.map_err(|absence| absence.refusal(call, RETRY_AFTER))?;
    }
}

/// As [`confirmed_leader`], but returns `None` if no primary is known, and does not wait for a recovery.
pub async fn find_confirmed_leader(
    group: &Rc<Group>,
    call: &Call<'_>,
) -> Result<Option<Vec<Rc<Backend>>>, Refusal> {
    loop {
        let Some(leader) = search_for_leader(group, call).await else {
            return Ok(None);
        };
        if group.confirm_leader(call.arrived).await && group.is_leader(&leader.backend) {
            return Ok(Some(vec![leader.backend]));
        }
        // Replicas may be held for a promotion, which usually completes within the remaining time.
        if call.isolated || call.remaining() < call.route.timeout / 2 {
            return Err(call.unavailable("the primary is not proved to lead", RETRY_AFTER));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Returns the primary. If it is unknown or leaving, searches for a limited time, and then waits for a
/// recovery if the settings say so.
pub async fn wait_for_leader(group: &Rc<Group>, call: &Call<'_>) -> Result<Leader, Absence> {
    loop {
        if let Some(leader) = search_for_leader(group, call).await {
            return Ok(leader);
        }
        recovery::wait(group, call).await?;
    }
}

/// Makes sure that a write may be sent to the primary, which must be confirmed after `since` if it is
/// suspected. If it is lost and the settings say so, waits for its successor instead.
///
/// In a partition the primary may be separated from its replicas, and would never answer a write.
pub async fn ensure_leader(
    group: &Rc<Group>,
    call: &Call<'_>,
    since: Moment,
) -> Result<(), Refusal> {
    let known = group.known_leader();
    let may_wait = group.recovery.is_enabled() && !call.isolated;
    if may_wait && known.is_none() {
        return wait_for_successor(group, call, None).await;
    }
    let needs_confirmation = call.isolated || group.is_leader_suspect();
    if !needs_confirmation || group.confirm_leader(since).await {
        return Ok(());
    }
    // Nothing else would find out that it is gone, as no statement is sent to it.
    let lost = known.filter(|_| may_wait);
    let Some(Leader { backend, term }) = lost else {
        return Err(call.primary_unconfirmed());
    };
    if backend.status().await.is_ok() {
        return Err(call.primary_unconfirmed());
    }
    group.clear_leader(&backend);
    wait_for_successor(group, call, Some(term)).await
}

/// Waits for a primary. If it is still that of the term `lost`, it needs a confirmation.
async fn wait_for_successor(
    group: &Rc<Group>,
    call: &Call<'_>,
    lost: Option<u64>,
) -> Result<(), Refusal> {
    match wait_for_leader(group, call).await {
        Ok(leader) if lost != Some(leader.term) => Ok(()),
        Ok(_) if group.confirm_leader(clock::now()).await => Ok(()),
        Ok(_) => Err(call.primary_unconfirmed()),
        Err(absence) => Err(absence.refusal(call, RETRY_AFTER)),
    }
}

/// Searches for the primary for a limited time.
async fn search_for_leader(group: &Rc<Group>, call: &Call<'_>) -> Option<Leader> {
    loop {
        let timeout = call.remaining_search_time().max(RETRY_DELAY);
        // The search continues for other statements if this one stops waiting.
        if let Ok(Some(leader)) = tokio::time::timeout(timeout, group.leader()).await {
            if leader.backend.takes_work(clock::now()) {
                group.recovery.end();
                return Some(leader);
            }
        }
        if !call.may_retry(Obstacle::NoServer) {
            return None;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn read_on(
    group: &Rc<Group>,
    backend: &Rc<Backend>,
    session: &Session,
    call: &Call<'_>,
    after: Option<Position>,
) -> Result<Success, Failure> {
    let checkout = checkout(group, backend, session, call).await?;
    let asked = clock::now();
    let condition = after.map_or(Condition::Always, Condition::After);
    let (answer, checkout) = exchange(checkout, backend, call, condition).await;
    let answer = match answer {
        Ok(answer) => answer,
        Err(why) => {
            note_failure(group, backend, call, &why);
            return Err(Failure::NoAnswer(why));
        }
    };
    release_if_idle(checkout, &answer);
    let trusted = group.note_position(backend, asked, answer.position);
    note_lag(group, backend, after, asked, &answer);
    let refused = answer.result.as_ref().err();
    // A refusal is fast, and would make the server look like the fastest one.
    if !refused.is_some_and(|refusal| refusal.code.guarantees_not_run()) {
        backend.record_latency(clock::now().since(asked));
    }
    let latest = call.route.consistency == Consistency::Latest;
    if latest && !trusted {
        let why = "the server is no longer the primary";
        return Err(Failure::NotRun(call.busy(why, RETRY_DELAY)));
    }
    if answer.result.is_ok() {
        group.metrics.read(match group.is_leader(backend) {
            true => Target::Primary,
            false => Target::Replica,
        });
    }
    answer.result.map_err(|refusal| {
        note_failure(group, backend, call, &refusal.to_string());
        match refusal.code.guarantees_not_run() {
            true => {
                // A primary that is behind its own earlier position has restarted with an empty log.
                let lost_log = latest && refusal.code == Code::Lagging;
                if lost_log || refusal.code == Code::ReadOnly {
                    group.clear_leader(backend);
                }
                Failure::NotRun(refusal)
            }
            false => Failure::Failed(refusal),
        }
    })
}

/// Waits for the answer to a write. If it is overdue, the primary is suspected of being partitioned:
/// later writes are sent only after replicas have confirmed it.
pub async fn suspect_if_overdue<T>(
    group: &Rc<Group>,
    backend: &Rc<Backend>,
    sent: impl std::future::Future<Output = T>,
) -> T {
    let mut sent = std::pin::pin!(sent);
    match tokio::time::timeout(MIN_OVERDUE_AFTER.max(backend.latency() * 4), &mut sent).await {
        Ok(answer) => answer,
        Err(_) => {
            group.note_slow_write(backend);
            sent.await
        }
    }
}

/// Runs a write. It is retried only if it was certainly not run.
async fn write(
    group: &Rc<Group>,
    session: &mut Session,
    call: &Call<'_>,
) -> Result<Success, Refusal> {
    ensure_leader(group, call, call.arrived).await?;
    if !group.can_confirm_commits() {
        return Err(call.primary_unconfirmed());
    }
    let mut last = None;
    loop {
        let leader = match (wait_for_leader(group, call).await, last.take()) {
            (Ok(leader), _) => leader,
            (Err(absence), Some(refusal)) if !absence.is_specific() => return Err(refusal),
            (Err(absence), _) => return Err(absence.refusal(call, RETRY_AFTER)),
        };
        let backend = &leader.backend;
        let checkout = match checkout(group, backend, session, call).await {
            Ok(checkout) => checkout,
            Err(Failure::NotRun(refusal)) => {
                if !call.may_retry(Obstacle::NoServer) {
                    return Err(refusal);
                }
                last = Some(refusal);
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            Err(Failure::QueueFull(refusal) | Failure::Failed(refusal)) => return Err(refusal),
            Err(Failure::NoAnswer(why)) => return Err(Refusal::new(Code::Unknown, why)),
        };
        let asked = clock::now();
        let sent = exchange(checkout, backend, call, Condition::Always);
        let (answer, checkout) = suspect_if_overdue(group, backend, sent).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(why) => {
                note_failure(group, backend, call, &why);
                if backend.is_avoided(clock::now()) {
                    group.clear_leader(backend);
                }
                let why = format!("outcome unknown: {why}");
                return Err(Refusal::new(Code::Unknown, why));
            }
        };
        release_if_idle(checkout, &answer);
        group.note_position(backend, asked, answer.position);
        backend.record_latency(clock::now().since(asked));
        match answer.result {
            Ok(success) => {
                group.note_write_answered(backend);
                let (term, left) = (leader.term, call.remaining());
                if !group
                    .wait_until_durable(backend, term, answer.position, left)
                    .await
                {
                    return Err(call.commit_unconfirmed(group, backend));
                }
                session.committed(answer.position);
                return Ok(success);
            }
            Err(refusal) if refusal.code.guarantees_not_run() => {
                note_failure(group, backend, call, &refusal.to_string());
                if refusal.code == Code::ReadOnly {
                    group.clear_leader(backend);
                }
                last = Some(refusal);
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Err(refusal) => {
                note_failure(group, backend, call, &refusal.to_string());
                return Err(refusal);
            }
        }
    }
}

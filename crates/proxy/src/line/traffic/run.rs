//! Runs one statement outside a transaction: reads on any server that holds what they must see,
//! writes on the primary and at most once.

use std::{rc::Rc, time::Duration};

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    admission::Obstacle,
    catalog::Consistency,
    refusal::{Code, Refusal},
    registry::Incarnation,
    session::{Effect, Session},
};
use dandelionpitch_platform::backend::{Condition, Success};

use crate::{
    line::{
        backend::Backend,
        clock,
        group::{Group, Leader},
        traffic::{
            call::{note_failure, Call, Failure, COME_BACK, OFFER_AGAIN},
            exchange::{checkout, exchange, settle},
        },
    },
    metrics::Target,
};

/// When the answer to a write is overdue, at least: longer than its work and two round trips to a replica.
const OVERDUE: Duration = Duration::from_millis(150);

/// Runs a read or a write that stands alone.
pub async fn alone(
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
    let mut tried = Tried::new();
    while !call.late() {
        let (servers, after) = match call.route.consistency {
            Consistency::Latest => {
                let leader = confirmed_leader(group, call).await?;
                (leader, group.newest_position())
            }
            Consistency::Bounded(_) | Consistency::Session(_) => {
                let own = session.floor();
                let Some(floor) = group.required_position(call.since(call.arrived), own).await
                else {
                    return Err(call.busy("nothing proves what a read must see", COME_BACK));
                };
                (group.read_candidates(clock::now()), Some(floor))
            }
        };
        for backend in servers {
            if tried.exhausted(&backend) || call.late() {
                continue;
            }
            match read_on(group, &backend, session, call, after).await {
                Ok(success) => return Ok(success),
                Err(failure) => tried.note(&backend, failure),
            }
        }
        if tried.over() || !call.offers_again(tried.obstacle) {
            break;
        }
        tokio::time::sleep(OFFER_AGAIN).await;
    }
    Err(tried.refusal(call))
}

/// What a read met so far.
struct Tried {
    rounds: usize,
    obstacle: Obstacle,
    failed: Vec<(Incarnation, u32)>,
    last: Option<Failure>,
}

impl Tried {
    /// A read is offered to each server twice at most.
    const OFFERS: u32 = 2;
    /// Rounds over all servers.
    const ROUNDS: usize = 4;

    fn new() -> Self {
        Self {
            rounds: 0,
            obstacle: Obstacle::NoServer,
            failed: Vec::new(),
            last: None,
        }
    }

    fn exhausted(&self, backend: &Backend) -> bool {
        let id = &backend.server.incarnation;
        let met = |(known, count): &(Incarnation, u32)| known == id && *count >= Self::OFFERS;
        self.failed.iter().any(met)
    }

    fn note(&mut self, backend: &Backend, failure: Failure) {
        if matches!(failure, Failure::Full(_)) {
            self.obstacle = Obstacle::QueueFull;
        }
        // What was not run costs nothing to offer again.
        if matches!(failure, Failure::Ran(_) | Failure::Lost(_)) {
            let id = &backend.server.incarnation;
            match self.failed.iter_mut().find(|(known, _)| known == id) {
                Some((_, count)) => *count += 1,
                None => self.failed.push((id.clone(), 1)),
            }
        }
        self.last = Some(failure);
    }

    fn over(&mut self) -> bool {
        self.rounds += 1;
        self.rounds >= Self::ROUNDS
    }

    fn refusal(self, call: &Call<'_>) -> Refusal {
        match self.last {
            Some(Failure::NotRun(refusal) | Failure::Full(refusal) | Failure::Ran(refusal)) => {
                refusal
            }
            Some(Failure::Lost(why)) => Refusal::new(Code::Unknown, why),
            None => call.busy("its time is up", COME_BACK),
        }
    }
}

/// The primary, if it is proved to lead at the time of the call.
pub async fn confirmed_leader(
    group: &Rc<Group>,
    call: &Call<'_>,
) -> Result<Vec<Rc<Backend>>, Refusal> {
    loop {
        let leader = match wait_for_leader(group, call).await {
            Some(leader) => leader,
            None => return Err(call.busy("no primary is known", COME_BACK)),
        };
        if group.confirm_leader(call.arrived).await && group.is_leader(&leader.backend) {
            return Ok(vec![leader.backend]);
        }
        // It may be held for a promotion, which ends within the time left.
        if call.isolated || call.left() < call.route.timeout / 2 {
            return Err(call.busy("the primary is not proved to lead", COME_BACK));
        }
        tokio::time::sleep(OFFER_AGAIN).await;
    }
}

/// The primary, looking for one a little while.
pub async fn wait_for_leader(group: &Rc<Group>, call: &Call<'_>) -> Option<Leader> {
    loop {
        let look = call.looking_left().max(OFFER_AGAIN);
        // A search goes on for others when this statement has given it up.
        if let Ok(Some(leader)) = tokio::time::timeout(look, group.leader()).await {
            if leader.backend.takes_work(clock::now()) {
                return Some(leader);
            }
        }
        if !call.offers_again(Obstacle::NoServer) {
            return None;
        }
        tokio::time::sleep(OFFER_AGAIN).await;
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
            return Err(Failure::Lost(why));
        }
    };
    settle(checkout, &answer);
    let trusted = group.note_position(backend, asked, answer.position);
    backend.took(clock::now().since(asked));
    let latest = call.route.consistency == Consistency::Latest;
    if latest && !trusted {
        let why = "its server does not lead any more";
        return Err(Failure::NotRun(call.busy(why, OFFER_AGAIN)));
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
                // A primary that lacks its own log has started again.
                let lost_log = latest && refusal.code == Code::Lagging;
                if lost_log || refusal.code == Code::ReadOnly {
                    group.clear_leader(backend);
                }
                Failure::NotRun(refusal)
            }
            false => Failure::Ran(refusal),
        }
    })
}

/// Waits for a write's answer, and has the primary doubted when it is overdue.
pub async fn doubting<T>(
    group: &Rc<Group>,
    backend: &Rc<Backend>,
    sent: impl std::future::Future<Output = T>,
) -> T {
    let mut sent = std::pin::pin!(sent);
    match tokio::time::timeout(OVERDUE.max(backend.latency() * 4), &mut sent).await {
        Ok(answer) => answer,
        Err(_) => {
            group.note_slow_write(backend);
            sent.await
        }
    }
}

/// Runs a write. One that was not run is offered again while its time lasts; one that may have run
/// is never sent twice.
async fn write(
    group: &Rc<Group>,
    session: &mut Session,
    call: &Call<'_>,
) -> Result<Success, Refusal> {
    // Cut off, the primary may be on this side and its replicas on the other: it would never answer.
    if (call.isolated || group.is_leader_suspect()) && !group.confirm_leader(call.arrived).await {
        return Err(call.unconfirmed());
    }
    if !group.can_confirm_commits() {
        return Err(call.unconfirmed());
    }
    let mut last = call.busy("no primary is known", COME_BACK);
    while let Some(leader) = wait_for_leader(group, call).await {
        let backend = &leader.backend;
        let checkout = match checkout(group, backend, session, call).await {
            Ok(checkout) => checkout,
            Err(Failure::NotRun(refusal)) => {
                last = refusal;
                if !call.offers_again(Obstacle::NoServer) {
                    break;
                }
                tokio::time::sleep(OFFER_AGAIN).await;
                continue;
            }
            Err(Failure::Full(refusal) | Failure::Ran(refusal)) => return Err(refusal),
            Err(Failure::Lost(why)) => return Err(Refusal::new(Code::Unknown, why)),
        };
        let asked = clock::now();
        let sent = exchange(checkout, backend, call, Condition::Always);
        let (answer, checkout) = doubting(group, backend, sent).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(why) => {
                note_failure(group, backend, call, &why);
                if backend.avoided(clock::now()) {
                    group.clear_leader(backend);
                }
                let why = format!("outcome unknown: {why}");
                return Err(Refusal::new(Code::Unknown, why));
            }
        };
        settle(checkout, &answer);
        group.note_position(backend, asked, answer.position);
        backend.took(clock::now().since(asked));
        match answer.result {
            Ok(success) => {
                group.note_write_answered(backend);
                let (term, left) = (leader.term, call.left());
                if !group
                    .wait_until_durable(backend, term, answer.position, left)
                    .await
                {
                    return Err(call.not_kept(group, backend));
                }
                session.committed(answer.position);
                return Ok(success);
            }
            Err(refusal) if refusal.code.guarantees_not_run() => {
                note_failure(group, backend, call, &refusal.to_string());
                if refusal.code == Code::ReadOnly {
                    group.clear_leader(backend);
                }
                last = refusal;
                tokio::time::sleep(OFFER_AGAIN).await;
            }
            Err(refusal) => {
                note_failure(group, backend, call, &refusal.to_string());
                return Err(refusal);
            }
        }
    }
    Err(last)
}

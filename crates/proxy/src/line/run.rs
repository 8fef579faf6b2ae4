//! Runs one statement outside a transaction: reads on any server that holds what they must see,
//! writes on the primary and at most once.

use std::{rc::Rc, time::Duration};

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    admission,
    catalog::{Consistency, Route},
    refusal::{Code, Refusal},
    session::{Effect, Named, Session},
    time::Moment,
};
use dandelionpitch_platform::{
    backend::{Answer, Query, Success},
    Error,
};
use serde_json::json;

use super::{
    backend::Backend,
    clock,
    group::{Group, Leader},
    journal,
    pool::{Checkout, Connection, Miss, Rank, Wish},
};

/// The pause before a statement that was not run is offered again.
const OFFER_AGAIN: Duration = Duration::from_millis(15);

/// After this many times the usual length without an answer, the server's machine is asked whether
/// it is still there.
const LOOK_AFTER: u32 = 3;

/// The shortest wait before that: longer than nine in ten statements take.
const LEAST_LOOK: Duration = Duration::from_millis(120);

/// An answer counts as lost after this many times the usual length of a statement on its server.
const PATIENCE: u32 = 8;

/// The least part of the route's timeout that an answer is waited for: longer than the longest
/// usual work (82 ms of 1 s, 410 ms of 3 s) behind a full set of slots.
const LEAST_PATIENCE: f64 = 0.4;

/// The time at which refused callers are to come back if nothing better is known: that of a
/// failover.
const COME_BACK: Duration = Duration::from_millis(500);

/// The time at which callers of a proxy that is cut off are to come back: by then the balancer
/// sends them elsewhere.
pub const CUT_OFF: Duration = Duration::from_millis(2_000);

/// One statement on its way.
pub struct Call<'a> {
    pub id: &'a str,
    pub text: &'a str,
    pub effect: Effect,
    pub named: Option<&'a Named>,
    pub route: &'a Route,
    /// When its first bytes were read.
    pub arrived: Moment,
    /// Whether this proxy was cut off with its data centre then.
    pub isolated: bool,
}

/// What went wrong with a statement on one server.
#[derive(Debug)]
pub enum Failure {
    /// It has certainly not run there.
    NotRun(Refusal),
    /// The server ran it, and answered with a failure.
    Ran(Refusal),
    /// It was sent and no whole answer came; the connection is closed.
    Lost(String),
}

impl Call<'_> {
    /// When the statement's time is up.
    pub fn deadline(&self) -> Moment {
        self.arrived + self.route.timeout
    }

    /// How much of its time is left.
    pub fn left(&self) -> Duration {
        clock::now().until(self.deadline())
    }

    /// Whether its time is up.
    pub fn late(&self) -> bool {
        self.left().is_zero()
    }

    /// Whether to go on looking for a server that can take it.
    pub fn may_look(&self) -> bool {
        let waited = clock::now().since(self.arrived);
        !self.isolated && admission::may_look(waited, self.route.target)
    }

    /// What it asks of a pool; the proxy's own questions go first.
    pub fn wish(&self) -> Wish {
        let rank = Rank {
            priority: self.route.priority + 1,
            due: self.arrived + self.route.target,
        };
        let deadline = self.deadline();
        Wish { rank, deadline }
    }

    /// Before when a commit must have been acknowledged for the statement to see it.
    pub fn since(&self, begun: Moment) -> Moment {
        match self.route.consistency {
            Consistency::Latest => begun,
            Consistency::Bounded(allowance) | Consistency::Session(allowance) => begun - allowance,
        }
    }

    /// A refusal that says when to come back.
    pub fn busy(&self, why: &str, come_back: Duration) -> Refusal {
        let millis = come_back.as_millis();
        Refusal::new(
            Code::Busy,
            format!("not run: {why}; come back in {millis} ms"),
        )
    }
}

/// The refusal for the last of the connections that could not be had.
pub fn missed(call: &Call<'_>, miss: Miss) -> Refusal {
    match miss {
        Miss::Refused { come_back } => call.busy("too much work is waiting", come_back),
        Miss::Full => call.busy("the server takes no more connections", COME_BACK),
        Miss::Unreachable => call.busy("no server can be reached", COME_BACK),
    }
}

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
    let mut tried = Tried::default();
    while !call.late() {
        let (servers, after) = match call.route.consistency {
            Consistency::Latest => (confirmed_leader(group, call).await?, None),
            Consistency::Bounded(_) | Consistency::Session(_) => {
                let own = session.floor();
                let Some(floor) = group.floor(call.since(call.arrived), own).await else {
                    return Err(call.busy("nothing proves what a read must see", COME_BACK));
                };
                (group.order(clock::now()), Some(floor))
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
        if tried.over() || !call.may_look() {
            break;
        }
        tokio::time::sleep(OFFER_AGAIN).await;
    }
    Err(tried.refusal(call))
}

/// What a read met so far.
#[derive(Default)]
struct Tried {
    rounds: usize,
    failed: Vec<(String, u32)>,
    last: Option<Failure>,
}

impl Tried {
    /// A read is offered to each server twice at most.
    const OFFERS: u32 = 2;
    /// Rounds over all servers.
    const ROUNDS: usize = 4;

    fn exhausted(&self, backend: &Backend) -> bool {
        let met = |(id, count): &(String, u32)| *id == backend.server.id && *count >= Self::OFFERS;
        self.failed.iter().any(met)
    }

    fn note(&mut self, backend: &Backend, failure: Failure) {
        // What was not run costs nothing to offer again.
        if !matches!(failure, Failure::NotRun(_)) {
            let id = &backend.server.id;
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
            Some(Failure::NotRun(refusal)) => refusal,
            Some(Failure::Ran(refusal)) => refusal,
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
        if group.confirm(call.arrived).await && group.led_by(&leader.backend) {
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
        if let Some(leader) = group.leader().await {
            if group.may_lead(&leader.backend, clock::now()) {
                return Some(leader);
            }
        }
        if !call.may_look() {
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
    let (answer, checkout) = exchange(checkout, backend, call, after).await;
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
    if after.is_none() && !trusted {
        let why = "its server does not lead any more";
        return Err(Failure::NotRun(call.busy(why, OFFER_AGAIN)));
    }
    answer.result.map_err(|refusal| {
        note_failure(group, backend, call, &refusal.to_string());
        match refusal.code.not_run() {
            true => {
                if refusal.code == Code::ReadOnly {
                    group.depose(backend);
                }
                Failure::NotRun(refusal)
            }
            false => Failure::Ran(refusal),
        }
    })
}

/// Runs a write. One that was not run is offered again while its time lasts; one that may have run
/// is never sent twice.
async fn write(
    group: &Rc<Group>,
    session: &mut Session,
    call: &Call<'_>,
) -> Result<Success, Refusal> {
    // Cut off, the primary may be on this side and its replicas on the other: it would never answer.
    if call.isolated && !group.confirm(call.arrived).await {
        return Err(call.busy("this data centre is cut off", CUT_OFF));
    }
    let mut last = call.busy("no primary is known", COME_BACK);
    while let Some(leader) = wait_for_leader(group, call).await {
        let backend = &leader.backend;
        let checkout = match checkout(group, backend, session, call).await {
            Ok(checkout) => checkout,
            Err(Failure::NotRun(refusal)) => {
                last = refusal;
                if !call.may_look() {
                    break;
                }
                tokio::time::sleep(OFFER_AGAIN).await;
                continue;
            }
            Err(Failure::Ran(refusal)) => return Err(refusal),
            Err(Failure::Lost(why)) => return Err(Refusal::new(Code::Unknown, why)),
        };
        let asked = clock::now();
        let (answer, checkout) = exchange(checkout, backend, call, None).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(why) => {
                note_failure(group, backend, call, &why);
                if backend.avoided(clock::now()) {
                    group.depose(backend);
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
                session.committed(answer.position);
                group.note_commit(backend, asked);
                return Ok(success);
            }
            Err(refusal) if refusal.code.not_run() => {
                note_failure(group, backend, call, &refusal.to_string());
                if refusal.code == Code::ReadOnly {
                    group.depose(backend);
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

/// A connection to `backend` with the session's values in force.
pub async fn checkout(
    group: &Rc<Group>,
    backend: &Rc<Backend>,
    session: &Session,
    call: &Call<'_>,
) -> Result<Checkout, Failure> {
    let lent = backend.pool.checkout(session.values(), call.wish());
    let mut checkout = lent.await.map_err(|miss| {
        if miss == Miss::Unreachable {
            backend.unreachable();
            group.depose(backend);
        }
        Failure::NotRun(missed(call, miss))
    })?;
    let connection = checkout.connection();
    let dressed = tokio::time::timeout(call.left(), dress(connection, session));
    match dressed.await {
        Ok(Ok(())) => Ok(checkout),
        // Nothing of the caller's was sent.
        Ok(Err(error)) => {
            backend.avoid();
            let why = call.busy(&error.to_string(), OFFER_AGAIN);
            Err(Failure::NotRun(why))
        }
        Err(_) => {
            backend.avoid();
            Err(Failure::NotRun(call.busy("its time is up", OFFER_AGAIN)))
        }
    }
}

/// Makes the connection's values those of the session, in one write.
///
/// Failure: a connection still has a value of the session before, and a statement runs under what
/// its caller never set. Guard: values that the session does not have are cleared first, and
/// nothing else is sent before all of it is acknowledged.
async fn dress(connection: &mut Connection, session: &Session) -> Result<(), Error> {
    let wanted = session.values();
    if !connection.unclear && connection.values == *wanted {
        return Ok(());
    }
    let foreign = connection
        .values
        .keys()
        .any(|name| !wanted.contains_key(name));
    let mut queries = Vec::new();
    if connection.unclear || foreign {
        queries.push(Query::Reset);
        connection.names.clear();
        connection.values = Default::default();
    }
    for (name, value) in wanted.iter() {
        if connection.values.get(name) != Some(value) {
            queries.push(Query::Set { name, value });
        }
    }
    connection.unclear = true;
    connection.link.send(&queries).await?;
    for _ in &queries {
        connection.link.answer().await?.result?;
    }
    connection.values = wanted.clone();
    connection.unclear = false;
    Ok(())
}

/// Sends the statement and reads its answer. When the answer counts as lost, or the server's
/// machine is not there any more, the connection is closed and the reason returned.
///
/// Load pattern: a server loses a fifth of its answers for seconds, and each holds one of a handful
/// of connections until the route's timeout. Giving up after some times the usual length frees it
/// for others, and lets a transaction be repeated within its caller's deadline.
pub async fn exchange(
    mut checkout: Checkout,
    backend: &Backend,
    call: &Call<'_>,
    after: Option<Position>,
) -> (Result<Answer, String>, Option<Checkout>) {
    let least = call.route.timeout.mul_f64(LEAST_PATIENCE);
    let patience = (backend.latency() * PATIENCE).max(least).min(call.left());
    let result = {
        let sent = ask(checkout.connection(), call, after);
        tokio::select! {
            biased;
            answer = tokio::time::timeout(patience, sent) => match answer {
                Ok(Ok(answer)) => Ok(answer),
                Ok(Err(error)) => Err(error.to_string()),
                Err(_) => Err(format!("no answer within {patience:?}")),
            },
            () = gone(backend) => Err("its server cannot be reached".to_owned()),
        }
    };
    match result {
        Ok(answer) => (Ok(answer), Some(checkout)),
        Err(why) => (Err(why), None),
    }
}

/// Returns when an answer is overdue and the server's machine is found not to be there.
async fn gone(backend: &Backend) {
    loop {
        let pause = (backend.latency() * LOOK_AFTER).max(LEAST_LOOK);
        tokio::time::sleep(pause).await;
        if !backend.reachable().await {
            return;
        }
    }
}

async fn ask(
    connection: &mut Connection,
    call: &Call<'_>,
    after: Option<Position>,
) -> Result<Answer, Error> {
    let Call { id, text, .. } = call;
    let Some(Named { shape, arguments }) = call.named else {
        let query = match after {
            Some(after) => Query::After { id, after, text },
            None => Query::Caller { id, text },
        };
        return connection.link.ask(query).await;
    };
    let known = connection.names.get(shape).cloned();
    let name = match &known {
        Some(name) => name.clone(),
        None => format!("p{}", connection.names.len() + 1),
    };
    let run = Query::Named {
        id,
        name: &name,
        arguments,
        after,
    };
    if known.is_some() {
        return connection.link.ask(run).await;
    }
    let prepare = Query::Prepare { name: &name, shape };
    connection.link.send(&[prepare, run]).await?;
    let prepared = connection.link.answer().await?;
    let answer = connection.link.answer().await?;
    if prepared.result.is_ok() {
        connection.names.insert(shape.clone(), name);
    }
    Ok(answer)
}

/// Gives the connection back, unless the server says that a transaction is open on it.
fn settle(checkout: Option<Checkout>, answer: &Answer) {
    use dandelionpitch_platform::backend::State;
    if let (Some(checkout), State::Idle) = (checkout, answer.state) {
        checkout.release();
    }
}

/// One log line for a statement that a server did not serve.
pub fn note_failure(group: &Group, backend: &Backend, call: &Call<'_>, why: &str) {
    journal::write(
        "attempt",
        json!({ "id": call.id, "route": call.route.name, "service": group.name,
            "server": backend.server.id, "effect": format!("{:?}", call.effect),
            "after_ms": clock::now().since(call.arrived).as_millis() as u64, "why": why }),
    );
}

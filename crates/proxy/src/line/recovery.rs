//! The statements of a group that wait for a primary. [`engine::recovery`] decides which of them wait, for
//! how long and in which order they start.
//!
//! [`engine::recovery`]: dandelionpitch_engine::recovery

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{
    recovery::{Capacity, Decision, History, Next, Outcome, Place, Recovery, Situation, Statement},
    refusal::Refusal,
    time::Moment,
};
use serde_json::json;
use tokio::sync::{oneshot, watch as channel};

use crate::{
    config,
    line::{
        clock,
        group::Group,
        journal,
        records::Reader,
        traffic::{call::Call, exchange::PEER_MIN_TIMEOUT_FRACTION},
    },
    metrics::{Metrics, Wait},
};

/// A group without a primary, for operators.
#[derive(Clone, Debug)]
pub struct Outage {
    pub started: Moment,
    /// When it is expected to end, if that can be told.
    pub expected_end: Option<Moment>,
    /// How many statements wait for its end.
    pub waiting: usize,
}

/// The groups without a primary, by name.
pub type Outages = BTreeMap<String, Outage>;

/// What the groups of a proxy have in common.
pub struct Context {
    setting: config::Recovery,
    /// The age that the copy of the store's content does not exceed while the store answers.
    max_age: Duration,
    records: Reader,
    metrics: Metrics,
    outages: channel::Sender<Outages>,
    history: RefCell<History>,
}

impl Context {
    pub fn new(
        line: &config::Line,
        records: Reader,
        metrics: Metrics,
        outages: channel::Sender<Outages>,
    ) -> Rc<Self> {
        Rc::new(Self {
            setting: line.recovery,
            max_age: line.config_within,
            records,
            metrics,
            outages,
            history: RefCell::default(),
        })
    }

    /// Whether this proxy's copy of the store is current.
    fn has_store(&self, now: Moment) -> bool {
        self.records.age(now) <= self.max_age
    }

    /// Whether statements wait for a primary.
    pub fn is_enabled(&self) -> bool {
        self.setting == config::Recovery::Wait
    }
}

/// There is no primary for a statement, which was not run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Absence {
    /// When the caller should come back, if there is an estimate.
    retry_after: Option<Duration>,
    has_waited: bool,
}

impl Absence {
    /// Whether it tells more than that no primary is known.
    pub fn is_specific(self) -> bool {
        self.has_waited || self.retry_after.is_some()
    }

    /// The refusal of the statement, with the retry-after `default` if there is no estimate.
    pub fn refusal(self, call: &Call<'_>, default: Duration) -> Refusal {
        let why = match self.has_waited {
            true => "no primary was found while it waited",
            false => "no primary is known",
        };
        call.unavailable(why, self.retry_after.unwrap_or(default))
    }
}

/// The queue of one group.
pub struct Queue {
    context: Rc<Context>,
    service: String,
    state: RefCell<Recovery>,
    /// Dropping a sender tells its statement that it has lost its place.
    waiting: RefCell<Map<Place, oneshot::Sender<()>>>,
    /// Whether a task looks for the end of the outage.
    is_watched: Cell<bool>,
}

impl Queue {
    pub fn new(context: Rc<Context>, service: &str) -> Self {
        Self {
            context,
            service: service.to_owned(),
            state: RefCell::default(),
            waiting: RefCell::default(),
            is_watched: Cell::default(),
        }
    }

    /// Whether statements wait for a primary.
    pub fn is_enabled(&self) -> bool {
        self.context.is_enabled()
    }

    fn situation(&self, group: &Group, now: Moment) -> Situation {
        Situation {
            capacity: capacity(group),
            has_store: self.context.has_store(now),
        }
    }

    /// Records that the group has no primary, and looks for the end of the outage in the background.
    fn begin(&self, group: &Rc<Group>) {
        let now = clock::now();
        let begun = self
            .state
            .borrow_mut()
            .begin(&self.context.history.borrow(), now);
        if begun {
            let estimated = self.context.history.borrow().estimate();
            self.log("start", json!({ "estimated_ms": millis(estimated) }));
            self.publish();
        }
        if self.state.borrow().is_watched(now) && !self.is_watched.replace(true) {
            tokio::task::spawn_local(watch(group.clone()));
        }
    }

    /// Records that the group has a primary.
    pub fn end(&self) {
        if !self.is_enabled() {
            return;
        }
        let mut history = self.context.history.borrow_mut();
        let ended = self.state.borrow_mut().end(&mut history, clock::now());
        if let Some(Outcome { estimated, actual }) = ended {
            let waiting = self.state.borrow().waiting();
            self.log(
                "end",
                json!({ "estimated_ms": millis(estimated), "actual_ms": millis(actual),
                    "waiting": waiting }),
            );
            self.publish();
        }
    }

    /// Records that a search has found no primary, and refuses those that wait in vain.
    fn confirm(&self, group: &Group) {
        let now = clock::now();
        let situation = self.situation(group, now);
        let late = self.state.borrow_mut().confirm(situation, now);
        late.into_iter().for_each(|place| self.dismiss(place));
    }

    /// Publishes the state of the outage, or that there is none.
    fn publish(&self) {
        let (now, state) = (clock::now(), self.state.borrow());
        let outage = state.lasted(now).map(|lasted| Outage {
            started: now - lasted,
            expected_end: state.expected_end(self.context.has_store(now), now),
            waiting: state.waiting(),
        });
        self.context.outages.send_modify(|outages| match outage {
            Some(outage) => {
                outages.insert(self.service.clone(), outage);
            }
            None => {
                outages.remove(&self.service);
            }
        });
    }

    fn dismiss(&self, place: Place) {
        self.waiting.borrow_mut().remove(&place);
    }

    fn log(&self, what: &str, mut fields: serde_json::Value) {
        fields["service"] = json!(self.service);
        fields["what"] = json!(what);
        journal::write("recovery", fields);
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// What the connections to the next primary bear. Any server may become it, so the slowest one counts.
fn capacity(group: &Group) -> Capacity {
    let servers = group.servers();
    let connections = servers.iter().map(|server| server.pool.limit()).min();
    let hold = servers.iter().map(|server| server.pool.hold_time()).max();
    Capacity {
        connections: connections.unwrap_or(1),
        hold: hold.unwrap_or_default(),
    }
}

fn has_primary(group: &Group) -> bool {
    let leader = group.known_leader();
    leader.is_some_and(|leader| leader.backend.takes_work(clock::now()))
}

/// Searches for a primary and starts the statements that wait for it, until there are none and the outage
/// has ended or has no estimate.
async fn watch(group: Rc<Group>) {
    let queue = &group.recovery;
    while queue.state.borrow().is_watched(clock::now()) {
        if has_primary(&group) {
            queue.end();
            start_waiting(&group).await;
            continue;
        }
        group.find_leader().await;
        if !has_primary(&group) {
            queue.confirm(&group);
            queue.publish();
        }
    }
    queue.is_watched.set(false);
    queue.publish();
}

/// Starts the statements that wait, one after the other.
async fn start_waiting(group: &Rc<Group>) {
    let queue = &group.recovery;
    loop {
        let next = queue.state.borrow_mut().next(capacity(group), clock::now());
        match next {
            Next::Start(place) => {
                let waiting = queue.waiting.borrow_mut().remove(&place);
                // Fails only if the statement no longer waits.
                let _ = waiting.map(|start| start.send(()));
            }
            Next::Later(time) => tokio::time::sleep(clock::now().until(time)).await,
            Next::Nobody => return,
        }
    }
}

/// Frees a statement's place when dropped, also if the statement is cancelled.
struct Guard<'a> {
    queue: &'a Queue,
    place: Place,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.queue.state.borrow_mut().leave(self.place);
        self.queue.dismiss(self.place);
    }
}

fn statement(call: &Call<'_>) -> Statement {
    Statement {
        priority: call.route.priority,
        target: call.route.target,
        due: call.arrived + call.route.target,
        answer_by: call.arrived + call.route.timeout.mul_f64(PEER_MIN_TIMEOUT_FRACTION),
        deadline: call.deadline(),
    }
}

/// Waits until the statement may look for the primary again.
///
/// # Errors
///
/// If it must not wait, or has waited in vain.
pub async fn wait(group: &Rc<Group>, call: &Call<'_>) -> Result<(), Absence> {
    let queue = &group.recovery;
    if !queue.is_enabled() || call.isolated || group.servers().is_empty() {
        return Err(Absence::default());
    }
    queue.begin(group);
    let now = clock::now();
    let situation = queue.situation(group, now);
    let decision = queue
        .state
        .borrow_mut()
        .decide(statement(call), situation, now);
    match decision {
        Decision::Wait {
            place,
            until,
            displaced,
        } => {
            if let Some(displaced) = displaced {
                queue.dismiss(displaced);
            }
            match wait_in(queue, place, until, call).await {
                true => Ok(()),
                false => Err(after_waiting(group, call)),
            }
        }
        Decision::Refuse { retry_after } => Err(refuse(queue, retry_after, false)),
        Decision::Unknown => Err(Absence::default()),
    }
}

/// Waits at `place` until the statement may start; returns whether it may.
async fn wait_in(queue: &Queue, place: Place, until: Moment, call: &Call<'_>) -> bool {
    let (start, started) = oneshot::channel();
    queue.waiting.borrow_mut().insert(place, start);
    let _place = Guard { queue, place };
    call.has_waited.set(true);
    queue.context.metrics.recovery_wait(Wait::Waited);
    tokio::select! {
        biased;
        started = started => started.is_ok(),
        () = tokio::time::sleep(clock::now().until(until)) => false,
        () = call.until_abandoned() => false,
    }
}

/// Tells a statement that has waited in vain when to come back.
fn after_waiting(group: &Group, call: &Call<'_>) -> Absence {
    let queue = &group.recovery;
    let now = clock::now();
    let situation = queue.situation(group, now);
    let decision = queue
        .state
        .borrow_mut()
        .refuse(statement(call), situation, now);
    match decision {
        Decision::Refuse { retry_after } => refuse(queue, retry_after, true),
        Decision::Wait { .. } | Decision::Unknown => Absence {
            has_waited: true,
            retry_after: None,
        },
    }
}

fn refuse(queue: &Queue, retry_after: Duration, has_waited: bool) -> Absence {
    queue.context.metrics.recovery_wait(Wait::Refused);
    Absence {
        has_waited,
        retry_after: Some(retry_after),
    }
}

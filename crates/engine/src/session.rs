//! The state machine of a caller's session.
//!
//! Statements that need no backend server (`SET`, `PREPARE`, `BEGIN`, `ROLLBACK`) are handled here; the
//! others are classified as reads, writes or commits. A transaction is assigned a backend connection
//! by its first statement, not by `BEGIN`, so callers that pause in between hold none.

use std::{collections::BTreeMap, sync::Arc};

use dandelionpitch_core::{hash::Map, position::Position};

use crate::{
    refusal::{Code, Refusal},
    statement::{Definition, Statement},
    time::Moment,
};

/// The maximum number of prepared statements, and of variables, of one session. Bounds its memory.
pub const MAX_NAMES: usize = 1_000;

/// Session variables by name.
pub type Variables = Arc<BTreeMap<String, String>>;

/// The transaction state of a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open(Transaction),
    /// The transaction exceeded its idle timeout and was rolled back; the caller has not been told yet.
    TimedOut,
    /// The transaction failed and was rolled back. All statements are refused until `ROLLBACK`, or a
    /// `COMMIT` that is refused too, ends it.
    Failed,
}

/// An open transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transaction {
    pub read_only: bool,
    /// When the caller opened it. Its reads must see all commits acknowledged before.
    pub started_at: Moment,
    /// Whether a write was sent on its connection.
    pub wrote: bool,
}

/// What a statement does on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Read,
    Write,
    Commit,
}

/// The execution of a prepared statement. It is prepared on the backend connection under another name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    pub definition: Definition,
    pub arguments: String,
}

/// What the proxy has to do for a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Report success; nothing else is to be done.
    Done,
    /// Roll back the transaction's connection, if it has one, and report success.
    Rollback,
    /// Refuse the statement.
    Refuse(Refusal),
    /// Run the statement on a backend server; `execution` is set for an `EXECUTE`.
    Run {
        effect: Effect,
        execution: Option<Execution>,
    },
}

/// A caller's session.
#[derive(Clone, Debug, Default)]
pub struct Session {
    phase: Phase,
    variables: Variables,
    prepared: Map<String, Definition>,
    /// The position of the session's last acknowledged commit in the log of `group`.
    floor: Option<Position>,
    /// The group to which the session's database leads.
    group: Option<Arc<str>>,
    /// The same positions in the logs of groups to which the database led before.
    earlier_floors: Map<Arc<str>, Position>,
}

impl Session {
    /// The transaction state.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The variables that must be set on the connection on which its statements run.
    pub fn variables(&self) -> &Variables {
        &self.variables
    }

    /// The position of the session's last acknowledged commit, which its reads must see.
    pub fn floor(&self) -> Option<Position> {
        self.floor
    }

    /// Replaces the position that reads must see. Used on connections between proxies, which carry the
    /// statements of many sessions.
    pub fn set_floor(&mut self, floor: Option<Position>) {
        self.floor = floor;
    }

    /// Notes to which group the session's database leads. Positions in different logs are unrelated, and
    /// the database may lead back to a group in which the session has committed.
    pub fn enter_group(&mut self, group: &str) {
        if self.group.as_deref() == Some(group) {
            return;
        }
        let floor = self.floor.take();
        if let (Some(left), Some(floor)) = (self.group.take(), floor) {
            self.earlier_floors.insert(left, floor);
        }
        self.floor = self.earlier_floors.get(group).copied();
        self.group = Some(group.into());
    }

    /// Processes a statement that arrived at `now`.
    pub fn step(&mut self, statement: &Statement<'_>, now: Moment) -> Step {
        match (self.phase, statement) {
            (Phase::TimedOut | Phase::Failed, Statement::Rollback) => self.end(Step::Done),
            (Phase::TimedOut | Phase::Failed, Statement::Commit) => {
                let why = "the transaction failed and was rolled back";
                self.end(Step::Refuse(Refusal::new(Code::Aborted, why)))
            }
            (Phase::TimedOut, _) => {
                self.phase = Phase::Failed;
                let why = "the transaction exceeded its idle timeout and was rolled back";
                Step::Refuse(Refusal::new(Code::Aborted, why))
            }
            (Phase::Failed, _) => syntax("the transaction has failed; roll it back first"),
            (Phase::Idle, Statement::Commit | Statement::Rollback) => {
                syntax("no transaction is open")
            }
            (Phase::Open(_), Statement::Begin { .. }) => {
                self.fail(Refusal::new(Code::Syntax, "a transaction is already open"))
            }
            (Phase::Idle, Statement::Begin { read_only }) => {
                self.phase = Phase::Open(Transaction {
                    read_only: *read_only,
                    started_at: now,
                    wrote: false,
                });
                Step::Done
            }
            (Phase::Open(_), Statement::Rollback) => self.end(Step::Rollback),
            (Phase::Open(_), Statement::Commit) => run(Effect::Commit, None),
            (_, Statement::Read) => run(Effect::Read, None),
            (_, Statement::Write) => self.write(None),
            (_, Statement::Set { name, value }) => self.set(name, value),
            (_, Statement::Prepare { name, definition }) => self.prepare(name, definition),
            (_, Statement::Deallocate { name }) => match self.prepared.remove(*name) {
                Some(_) => Step::Done,
                None => self.unknown_name(name),
            },
            (_, Statement::Execute { name, arguments }) => self.execute(name, arguments),
            (_, Statement::Reset) => {
                self.variables = Variables::default();
                self.prepared.clear();
                Step::Done
            }
        }
    }

    /// Records that a statement failed, which rolls back the open transaction, if any.
    pub fn failed(&mut self) {
        if matches!(self.phase, Phase::Open(_)) {
            self.phase = Phase::Failed;
        }
    }

    /// Records that the open transaction exceeded its idle timeout and was rolled back.
    pub fn timed_out(&mut self) {
        if matches!(self.phase, Phase::Open(_)) {
            self.phase = Phase::TimedOut;
        }
    }

    /// Records that a write of the open transaction was sent to a server.
    pub fn sent_write(&mut self) {
        if let Phase::Open(transaction) = &mut self.phase {
            transaction.wrote = true;
        }
    }

    /// Records that the open transaction ended.
    pub fn ended(&mut self) {
        self.phase = Phase::Idle;
    }

    /// Records an acknowledged commit at `position`.
    pub fn committed(&mut self, position: Option<Position>) {
        self.floor = self.floor.max(position);
    }

    fn end(&mut self, step: Step) -> Step {
        self.phase = Phase::Idle;
        step
    }

    fn fail(&mut self, refusal: Refusal) -> Step {
        self.failed();
        Step::Refuse(refusal)
    }

    fn write(&mut self, execution: Option<Execution>) -> Step {
        match self.phase {
            Phase::Open(Transaction {
                read_only: true, ..
            }) => self.fail(Refusal::new(Code::Syntax, "the transaction is read-only")),
            _ => run(Effect::Write, execution),
        }
    }

    fn set(&mut self, name: &str, value: &str) -> Step {
        if self.variables.len() >= MAX_NAMES && !self.variables.contains_key(name) {
            return self.fail(Refusal::new(Code::Syntax, "too many session variables"));
        }
        Arc::make_mut(&mut self.variables).insert(name.to_owned(), value.to_owned());
        Step::Done
    }

    fn prepare(&mut self, name: &str, definition: &Definition) -> Step {
        if self.prepared.len() >= MAX_NAMES && !self.prepared.contains_key(name) {
            return self.fail(Refusal::new(Code::Syntax, "too many prepared statements"));
        }
        self.prepared.insert(name.to_owned(), definition.clone());
        Step::Done
    }

    fn execute(&mut self, name: &str, arguments: &str) -> Step {
        let Some(definition) = self.prepared.get(name).cloned() else {
            return self.unknown_name(name);
        };
        let writes = definition.writes;
        let execution = Some(Execution {
            definition,
            arguments: arguments.to_owned(),
        });
        match writes {
            true => self.write(execution),
            false => run(Effect::Read, execution),
        }
    }

    fn unknown_name(&mut self, name: &str) -> Step {
        let why = format!("prepared statement {name} does not exist");
        self.fail(Refusal::new(Code::NoStatement, why))
    }
}

fn run(effect: Effect, execution: Option<Execution>) -> Step {
    Step::Run { effect, execution }
}

fn syntax(why: &str) -> Step {
    Step::Refuse(Refusal::new(Code::Syntax, why))
}

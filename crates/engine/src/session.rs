//! What one caller's session is in the middle of, and what each of its statements comes to.
//!
//! The session answers what needs no backend server itself (`SET`, `PREPARE`, `BEGIN`, `ROLLBACK`)
//! and says of the rest whether it reads, writes or ends a transaction. A transaction takes a
//! backend connection with its first statement, so callers that pause after `BEGIN` hold none.

use std::{collections::BTreeMap, sync::Arc};

use dandelionpitch_core::{hash::Map, position::Position};

use crate::{
    refusal::{Code, Refusal},
    statement::{Definition, Statement},
    time::Moment,
};

/// The most named statements and values one session may keep, so that a caller cannot fill the
/// memory; drivers use a handful.
const MOST_NAMES: usize = 1_000;

/// The values a session has set, by name.
pub type Variables = Arc<BTreeMap<String, String>>;

/// Where a session stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open(Transaction),
    /// The transaction was rolled back while the caller rested, and the caller was not told yet.
    TimedOut,
    /// The transaction has failed and is rolled back; only its end is accepted.
    Failed,
}

/// An open transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transaction {
    pub read_only: bool,
    /// When the caller opened it: its reads must see what was acknowledged before.
    pub started_at: Moment,
    /// Whether it may have written on its connection.
    pub wrote: bool,
}

/// What a statement does on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Read,
    Write,
    Commit,
}

/// A named statement to run under a name of the connection's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    pub definition: Definition,
    pub arguments: String,
}

/// What a statement comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// It is done; the caller is told so.
    Done,
    /// The transaction is over; its connection, if it has one, is to be rolled back.
    Rollback,
    /// It is refused.
    Refuse(Refusal),
    /// A backend server runs it; `named` if it is the run of a named statement.
    Run {
        effect: Effect,
        named: Option<Execution>,
    },
}

/// The state of one session.
#[derive(Clone, Debug, Default)]
pub struct Session {
    phase: Phase,
    variables: Variables,
    prepared: Map<String, Definition>,
    /// The position of the session's last acknowledged commit.
    floor: Option<Position>,
}

impl Session {
    /// Where the session stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The values its statements run under.
    pub fn variables(&self) -> &Variables {
        &self.variables
    }

    /// What its reads must see of its own commits.
    pub fn floor(&self) -> Option<Position> {
        self.floor
    }

    /// Goes on for another session, whose last commit is at `floor`: proxies hand statements of
    /// many sessions over on one connection.
    pub fn set_floor(&mut self, floor: Option<Position>) {
        self.floor = floor;
    }

    /// Forgets the session's commits: it reads from another group now, whose log has nothing to
    /// do with them.
    pub fn clear_floor(&mut self) {
        self.floor = None;
    }

    /// Decides what a statement that arrived at `now` comes to.
    pub fn step(&mut self, statement: &Statement<'_>, now: Moment) -> Step {
        match (self.phase, statement) {
            (Phase::TimedOut | Phase::Failed, Statement::Rollback) => self.end(Step::Done),
            (Phase::TimedOut | Phase::Failed, Statement::Commit) => {
                let why = "the transaction had failed and is rolled back";
                self.end(Step::Refuse(Refusal::new(Code::Aborted, why)))
            }
            (Phase::TimedOut, _) => {
                self.phase = Phase::Failed;
                let why = "the transaction rested too long and is rolled back";
                Step::Refuse(Refusal::new(Code::Aborted, why))
            }
            (Phase::Failed, _) => syntax("the transaction has failed; end it first"),
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

    /// Notes that a statement of an open transaction failed: the transaction is rolled back.
    pub fn failed(&mut self) {
        if matches!(self.phase, Phase::Open(_)) {
            self.phase = Phase::Failed;
        }
    }

    /// Notes that the open transaction has rested too long and is rolled back.
    pub fn timed_out(&mut self) {
        if matches!(self.phase, Phase::Open(_)) {
            self.phase = Phase::TimedOut;
        }
    }

    /// Notes that a write of an open transaction was sent to a server.
    pub fn sent_write(&mut self) {
        if let Phase::Open(transaction) = &mut self.phase {
            transaction.wrote = true;
        }
    }

    /// Notes that the open transaction is over.
    pub fn ended(&mut self) {
        self.phase = Phase::Idle;
    }

    /// Notes an acknowledged commit at `position`.
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

    fn write(&mut self, named: Option<Execution>) -> Step {
        match self.phase {
            Phase::Open(Transaction {
                read_only: true, ..
            }) => self.fail(Refusal::new(
                Code::Syntax,
                "the transaction was opened for reading only",
            )),
            _ => run(Effect::Write, named),
        }
    }

    fn set(&mut self, name: &str, value: &str) -> Step {
        if self.variables.len() >= MOST_NAMES && !self.variables.contains_key(name) {
            return self.fail(Refusal::new(Code::Syntax, "too many session values"));
        }
        Arc::make_mut(&mut self.variables).insert(name.to_owned(), value.to_owned());
        Step::Done
    }

    fn prepare(&mut self, name: &str, definition: &Definition) -> Step {
        if self.prepared.len() >= MOST_NAMES && !self.prepared.contains_key(name) {
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
        let named = Some(Execution {
            definition,
            arguments: arguments.to_owned(),
        });
        match writes {
            true => self.write(named),
            false => run(Effect::Read, named),
        }
    }

    fn unknown_name(&mut self, name: &str) -> Step {
        let why = format!("no statement is prepared as {name}");
        self.fail(Refusal::new(Code::NoStatement, why))
    }
}

fn run(effect: Effect, named: Option<Execution>) -> Step {
    Step::Run { effect, named }
}

fn syntax(why: &str) -> Step {
    Step::Refuse(Refusal::new(Code::Syntax, why))
}

//! Which kind of statement a query string is, and which server serves it.
//!
//! Statements are classified with `sqlparser`: plain queries are reads; `BEGIN` opens a
//! transaction pinned to the primary; anything else, including text that does not parse, is a
//! write and goes to the primary, which is always safe (`docs/DESIGN.md`, "Routing").

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use dandelionpitch_core::position::Position;
use sqlparser::{
    ast::{ContextModifier, Expr, Set, Statement, Value as Literal},
    dialect::PostgreSqlDialect,
    parser::Parser,
};

use crate::view::{Group, Role};

/// The setting that carries a session's position token.
pub const POSITION_SETTING: &str = "dandelionpitch.position";

/// What a query string asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Only reads, with no locking clause.
    Read,
    /// Anything that may change data.
    Write,
    /// Text that does not parse: perhaps a write, perhaps the start of a transaction.
    Unparsed,
    /// Several statements of which some begin or end a transaction.
    Script {
        /// Whether a transaction is open after the last of them.
        open_after: bool,
    },
    /// `BEGIN` or `START TRANSACTION`.
    Begin,
    /// `COMMIT`.
    Commit,
    /// `ROLLBACK`.
    Rollback,
    /// `DISCARD ALL`, answered by the proxy, which forgets the session's values.
    Discard,
    /// `SHOW dandelionpitch.position`, answered by the proxy.
    ShowPosition,
    /// `SET dandelionpitch.position = '...'`, kept by the proxy.
    SetPosition(String),
}

/// A value a session has set, and the statement that sets it again on another connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Variable {
    pub name: String,
    pub statement: String,
}

/// The kind of a query string, the command tag of each statement in it, and what it sets.
#[derive(Clone, Debug)]
pub struct Analysis {
    pub kind: Kind,
    pub tags: Vec<&'static str>,
    pub variables: Vec<Variable>,
}

/// Classifies a query string.
pub fn analyze(query: &str) -> Analysis {
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, query) else {
        return Analysis {
            kind: Kind::Unparsed,
            tags: Vec::new(),
            variables: Vec::new(),
        };
    };
    let tags = statements.iter().map(tag).collect();
    let kind = match statements.as_slice() {
        [one] => single(one),
        many if many.iter().all(is_read) => Kind::Read,
        many => script(many),
    };
    let variables = statements.iter().filter_map(session_variable).collect();
    Analysis {
        kind,
        tags,
        variables,
    }
}

/// What a statement sets for the rest of the session; `SET LOCAL` ends with its transaction.
fn session_variable(statement: &Statement) -> Option<Variable> {
    let Statement::Set(set) = statement else {
        return None;
    };
    let name = match set {
        Set::SingleAssignment {
            scope: Some(ContextModifier::Local),
            ..
        }
        | Set::SetTransaction { session: false, .. } => return None,
        Set::SingleAssignment { variable, .. } => variable.to_string(),
        other => other.to_string(),
    };
    Some(Variable {
        name,
        statement: statement.to_string(),
    })
}

/// The kind of several statements: the last one that begins or ends a transaction decides
/// what is open after them.
fn script(statements: &[Statement]) -> Kind {
    let mut controls = statements.iter().filter_map(|statement| match statement {
        Statement::StartTransaction { .. } => Some(true),
        Statement::Commit { chain, .. } => Some(*chain),
        Statement::Rollback {
            chain,
            savepoint: None,
        } => Some(*chain),
        _ => None,
    });
    match controls.next_back() {
        Some(open_after) => Kind::Script { open_after },
        None => Kind::Write,
    }
}

fn single(statement: &Statement) -> Kind {
    match statement {
        Statement::StartTransaction { .. } => Kind::Begin,
        Statement::Commit { chain: true, .. } | Statement::Rollback { chain: true, .. } => {
            Kind::Script { open_after: true }
        }
        Statement::Commit { .. } => Kind::Commit,
        Statement::Rollback {
            savepoint: None, ..
        } => Kind::Rollback,
        Statement::Discard { .. } => Kind::Discard,
        Statement::ShowVariable { variable } if name(variable) == POSITION_SETTING => {
            Kind::ShowPosition
        }
        Statement::Set(Set::SingleAssignment {
            variable, values, ..
        }) if variable.to_string() == POSITION_SETTING => {
            Kind::SetPosition(values.first().map(text).unwrap_or_default())
        }
        other if is_read(other) => Kind::Read,
        _ => Kind::Write,
    }
}

fn name(parts: &[sqlparser::ast::Ident]) -> String {
    let parts: Vec<&str> = parts.iter().map(|part| part.value.as_str()).collect();
    parts.join(".")
}

fn text(expr: &Expr) -> String {
    match expr {
        Expr::Value(value) => match &value.value {
            Literal::SingleQuotedString(text) => text.clone(),
            other => other.to_string(),
        },
        other => other.to_string(),
    }
}

fn is_read(statement: &Statement) -> bool {
    match statement {
        Statement::Query(query) => query.locks.is_empty() && query.with.is_none(),
        Statement::ShowVariable { .. } => true,
        _ => false,
    }
}

/// The command tag PostgreSQL sends for a statement; `tokio-postgres` reports only the count.
fn tag(statement: &Statement) -> &'static str {
    match statement {
        Statement::Query(_) => "SELECT",
        Statement::Insert(_) => "INSERT",
        Statement::Update { .. } => "UPDATE",
        Statement::Delete(_) => "DELETE",
        Statement::StartTransaction { .. } => "BEGIN",
        Statement::Commit { .. } => "COMMIT",
        Statement::Rollback { .. } => "ROLLBACK",
        Statement::Set(_) => "SET",
        Statement::ShowVariable { .. } => "SHOW",
        Statement::CreateTable(_) => "CREATE TABLE",
        _ => "OK",
    }
}

/// Spreads reads over the replicas that qualify.
static TURN: AtomicUsize = AtomicUsize::new(0);

/// The servers of a group this proxy does not watch that may serve a read, in the order to try
/// them; each has yet to show that it is a replica, holds the floor and is fresh enough.
pub fn unwatched(group: &Group, now: Instant) -> Vec<usize> {
    let primary = group.primary(now);
    let mut order: Vec<usize> = (0..group.servers.len())
        .filter(|&index| Some(index) != primary)
        .filter(|&index| {
            !group.servers[index].leaving && !group.servers[index].cooldown.is_active(now)
        })
        .collect();
    if !order.is_empty() {
        let first = TURN.fetch_add(1, Ordering::Relaxed) % order.len();
        order.rotate_left(first);
    }
    order
}

/// What a replica must show, by its last polled status, to be chosen for a read.
#[derive(Clone, Copy, Debug)]
pub enum Need {
    /// It has applied the session's floor.
    Floor(Position),
    /// Only fresh and within the staleness allowance; the floor is checked on the replica.
    Check,
}

/// A replica that may serve a read: fresh status, within `max_staleness`, and as `need` says.
/// `None` sends the read elsewhere.
pub fn replica(group: &Group, need: Need, max_staleness: Duration) -> Option<usize> {
    if max_staleness.is_zero() {
        return None;
    }
    let now = Instant::now();
    let fit: Vec<usize> = (0..group.servers.len())
        .filter(|&index| !group.servers[index].leaving)
        .filter(|&index| {
            group.servers[index]
                .fresh_status(now, group.status_ttl)
                .is_some_and(|status| {
                    let covered = match need {
                        Need::Floor(floor) => status.position.covers(floor),
                        Need::Check => true,
                    };
                    status.role == Role::Replica && covered && status.age(now) <= max_staleness
                })
        })
        .collect();
    match fit.len() {
        0 => None,
        count => Some(fit[TURN.fetch_add(1, Ordering::Relaxed) % count]),
    }
}

//! Classification of query strings, and selection of the server that runs them.
//!
//! Plain queries are reads. `BEGIN` opens a transaction on the primary. Everything else, including
//! text that does not parse, is a write and goes to the primary, which is always safe
//! (`docs/DESIGN.md`, "Routing").

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

/// The session variable that contains a session's position token.
pub const POSITION_SETTING: &str = "dandelionpitch.position";

/// The kind of a query string, which determines where and how it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Only reads, with no locking clause.
    Read,
    /// Anything that may change data.
    Write,
    /// Text that does not parse; it may change data, or begin a transaction.
    Unparsed,
    /// Several statements, at least one of which begins or ends a transaction; also a commit or
    /// rollback with `AND CHAIN`.
    Script {
        /// Whether a transaction is open after the last statement.
        open_after: bool,
    },
    /// `BEGIN` or `START TRANSACTION`.
    Begin,
    /// `COMMIT`.
    Commit,
    /// `ROLLBACK`.
    Rollback,
    /// `DISCARD ALL`. Outside a transaction, the proxy drops the session's variables and answers
    /// itself.
    Discard,
    /// `SHOW dandelionpitch.position`, answered by the proxy outside a transaction.
    ShowPosition,
    /// `SET dandelionpitch.position = '...'` with the new token, answered by the proxy.
    SetPosition(String),
}

/// A session variable, and the statement that sets it on another connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Variable {
    pub name: String,
    pub statement: String,
}

/// The command tag of a statement, and whether no transaction is open after it.
///
/// A rollback to a savepoint and a commit with `AND CHAIN` have the command tag of a transaction end
/// but leave a transaction open, and the caller must not be told that it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tag {
    pub text: &'static str,
    pub ends_transaction: bool,
}

/// The kind of a query string, the command tag of each of its statements, and the session variables
/// that it sets.
#[derive(Clone, Debug)]
pub struct Analysis {
    pub kind: Kind,
    pub tags: Vec<Tag>,
    pub variables: Vec<Variable>,
}

/// Parses and classifies a query string.
pub fn analyze(query: &str) -> Analysis {
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, query) else {
        return Analysis {
            kind: Kind::Unparsed,
            tags: Vec::new(),
            variables: Vec::new(),
        };
    };
    let tags = statements.iter().map(Tag::from).collect();
    let kind = match statements.as_slice() {
        [one] => classify_single(one),
        many if many.iter().all(is_read) => Kind::Read,
        many => classify_script(many),
    };
    let variables = statements.iter().filter_map(session_variable).collect();
    Analysis {
        kind,
        tags,
        variables,
    }
}

/// The variable that a statement sets for the rest of the session. `SET LOCAL` only lasts until the
/// end of the transaction, so it is not included.
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

/// Classifies several statements. The last one that begins or ends a transaction determines whether
/// one is open after them.
fn classify_script(statements: &[Statement]) -> Kind {
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

fn classify_single(statement: &Statement) -> Kind {
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
        Statement::ShowVariable { variable } if dotted_name(variable) == POSITION_SETTING => {
            Kind::ShowPosition
        }
        Statement::Set(Set::SingleAssignment {
            variable, values, ..
        }) if variable.to_string() == POSITION_SETTING => {
            Kind::SetPosition(values.first().map(literal_text).unwrap_or_default())
        }
        other if is_read(other) => Kind::Read,
        _ => Kind::Write,
    }
}

fn dotted_name(parts: &[sqlparser::ast::Ident]) -> String {
    let parts: Vec<&str> = parts.iter().map(|part| part.value.as_str()).collect();
    parts.join(".")
}

fn literal_text(expr: &Expr) -> String {
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

impl From<&Statement> for Tag {
    fn from(statement: &Statement) -> Self {
        let ends_transaction = matches!(
            statement,
            Statement::Commit { chain: false, .. }
                | Statement::Rollback {
                    chain: false,
                    savepoint: None
                }
        );
        Self {
            text: command_tag(statement),
            ends_transaction,
        }
    }
}

/// The command tag that PostgreSQL sends for a statement. `tokio-postgres` only reports its row
/// count.
fn command_tag(statement: &Statement) -> &'static str {
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

/// Distributes reads round-robin over the eligible replicas.
static NEXT_REPLICA: AtomicUsize = AtomicUsize::new(0);

/// The servers that may serve a read of a group that this proxy does not watch, in the order to try
/// them. Whether a server is a replica, has applied the session's floor and is within the staleness
/// bound must be checked with the server itself.
pub fn unwatched_candidates(group: &Group, now: Instant) -> Vec<usize> {
    let primary = group.primary(now);
    let mut order: Vec<usize> = (0..group.servers.len())
        .filter(|&index| Some(index) != primary)
        .filter(|&index| {
            !group.servers[index].leaving && !group.servers[index].cooldown.is_active(now)
        })
        .collect();
    if !order.is_empty() {
        let first = NEXT_REPLICA.fetch_add(1, Ordering::Relaxed) % order.len();
        order.rotate_left(first);
    }
    order
}

/// What the last polled status of a replica must show for the replica to be selected for a read.
#[derive(Clone, Copy, Debug)]
pub enum Criterion {
    /// It is within the staleness bound and has applied the session's floor.
    Floor(Position),
    /// It is within the staleness bound; the floor must then be checked on the replica.
    Staleness,
}

/// Selects a replica that is within `max_staleness` and meets `criterion` according to its last
/// polled status, which must be fresh; `None` if there is none.
pub fn select_replica(
    group: &Group,
    criterion: Criterion,
    max_staleness: Duration,
) -> Option<usize> {
    if max_staleness.is_zero() {
        return None;
    }
    let now = Instant::now();
    let eligible: Vec<usize> = (0..group.servers.len())
        .filter(|&index| !group.servers[index].leaving)
        .filter(|&index| {
            group.servers[index]
                .fresh_status(now, group.status_ttl)
                .is_some_and(|status| {
                    let covered = match criterion {
                        Criterion::Floor(floor) => status.position.covers(floor),
                        Criterion::Staleness => true,
                    };
                    status.role == Role::Replica && covered && status.age(now) <= max_staleness
                })
        })
        .collect();
    match eligible.len() {
        0 => None,
        count => Some(eligible[NEXT_REPLICA.fetch_add(1, Ordering::Relaxed) % count]),
    }
}

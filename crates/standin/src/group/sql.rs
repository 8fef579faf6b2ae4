//! SQL subset of the fake database server: the table `ledger (id, body)`, transactions, session
//! variables, status queries and control functions. Statements are parsed by `sqlparser`.

use sqlparser::{
    ast::{
        Assignment, AssignmentTarget, BinaryOperator, Expr, FunctionArg, FunctionArgExpr,
        FunctionArguments, Query, SelectItem, Set, SetExpr, Statement, Value,
    },
    dialect::PostgreSqlDialect,
    parser::Parser,
};

use super::{fault::Fault, state::Op};

/// A parsed statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    Begin,
    Commit,
    Rollback,
    /// A write to the ledger table.
    Write(Op),
    /// Selects the ledger row with this id, or all rows.
    Select(Option<String>),
    /// Selects literal values, such as `SELECT 1`.
    Literal(Vec<String>),
    /// `SHOW name`: server state (`dandelionpitch.<name>`) or a session variable.
    Show(String),
    /// `SET name = value`: sets a session variable.
    Set(String, String),
    /// `DISCARD ALL`: clears the session variables.
    Discard,
    /// `SELECT dandelionpitch_barrier()`: returns the position after replicas confirmed leadership.
    Barrier,
    /// `SELECT dandelionpitch_fence(term)`: adopts the term and rejects entries of lower terms.
    Fence(u64),
    /// `SELECT dandelionpitch_promote(term)`: becomes primary in that term.
    Promote(u64),
    /// `SELECT dandelionpitch_fault(kind, server[, detail])`: injects a fault.
    Fault(Fault),
    /// `SELECT dandelionpitch_lag(ms)`: sets the server's replication lag.
    Lag(u64),
    /// `SELECT dandelionpitch_sleep(ms)`: simulates a slow statement.
    Sleep(u64),
}

/// Parses the statements of a query string, or returns the reason it is invalid or unsupported.
pub fn parse(text: &str) -> Result<Vec<Command>, String> {
    let statements =
        Parser::parse_sql(&PostgreSqlDialect {}, text).map_err(|error| error.to_string())?;
    statements.iter().map(command).collect()
}

fn command(statement: &Statement) -> Result<Command, String> {
    match statement {
        Statement::StartTransaction { .. } => Ok(Command::Begin),
        Statement::Commit { .. } => Ok(Command::Commit),
        Statement::Rollback { .. } => Ok(Command::Rollback),
        Statement::Insert(insert) => insert_op(insert.source.as_deref(), &insert.columns),
        Statement::Update {
            assignments,
            selection,
            ..
        } => update_op(assignments, selection.as_ref()),
        Statement::Delete(delete) => {
            let id = where_id(delete.selection.as_ref()).ok_or("DELETE needs WHERE id = ...")?;
            Ok(Command::Write(Op::Delete { id }))
        }
        Statement::Query(query) => select(query),
        Statement::Set(Set::SingleAssignment {
            variable, values, ..
        }) => {
            let value = values
                .first()
                .and_then(literal)
                .ok_or("SET needs a value")?;
            Ok(Command::Set(variable.to_string(), value))
        }
        Statement::Discard { .. } => Ok(Command::Discard),
        Statement::ShowVariable { variable } => {
            let name: Vec<String> = variable.iter().map(|part| part.value.clone()).collect();
            Ok(Command::Show(name.join(".")))
        }
        other => Err(format!("statement not supported by the stand-in: {other}")),
    }
}

fn literal(expr: &Expr) -> Option<String> {
    match expr {
        Expr::Value(value) => match &value.value {
            Value::SingleQuotedString(text) => Some(text.clone()),
            Value::Number(number, _) => Some(number.clone()),
            Value::Boolean(flag) => Some(flag.to_string()),
            _ => None,
        },
        Expr::UnaryOp { expr, .. } => literal(expr).map(|text| format!("-{text}")),
        _ => None,
    }
}

fn is_column(expr: &Expr, name: &str) -> bool {
    match expr {
        Expr::Identifier(ident) => ident.value == name,
        Expr::CompoundIdentifier(parts) => parts.last().is_some_and(|part| part.value == name),
        _ => false,
    }
}

/// Returns the id in a `WHERE id = <literal>` clause.
fn where_id(selection: Option<&Expr>) -> Option<String> {
    let Expr::BinaryOp {
        left,
        op: BinaryOperator::Eq,
        right,
    } = selection?
    else {
        return None;
    };
    match is_column(left, "id") {
        true => literal(right),
        false => is_column(right, "id").then(|| literal(left)).flatten(),
    }
}

fn insert_op(source: Option<&Query>, columns: &[sqlparser::ast::Ident]) -> Result<Command, String> {
    let SetExpr::Values(values) = source.ok_or("INSERT needs VALUES")?.body.as_ref() else {
        return Err("INSERT needs VALUES".to_owned());
    };
    let row = values.rows.first().ok_or("INSERT needs one row")?;
    let mut id = None;
    let mut body = None;
    for (index, expr) in row.iter().enumerate() {
        let column = columns
            .get(index)
            .map_or(["id", "body"][index.min(1)], |c| &c.value);
        match column {
            "id" => id = literal(expr),
            "body" => body = literal(expr),
            other => return Err(format!("column {other} does not exist")),
        }
    }
    Ok(Command::Write(Op::Insert {
        id: id.ok_or("INSERT needs an id")?,
        body: body.unwrap_or_default(),
    }))
}

fn update_op(assignments: &[Assignment], selection: Option<&Expr>) -> Result<Command, String> {
    let id = where_id(selection).ok_or("UPDATE needs WHERE id = ...")?;
    let body = assignments
        .iter()
        .find(|a| matches!(&a.target, AssignmentTarget::ColumnName(name) if name.to_string() == "body"))
        .and_then(|a| literal(&a.value))
        .ok_or("UPDATE needs SET body = ...")?;
    Ok(Command::Write(Op::Update { id, body }))
}

fn select(query: &Query) -> Result<Command, String> {
    let SetExpr::Select(select) = query.body.as_ref() else {
        return Err("only a plain SELECT is supported".to_owned());
    };
    if !select.from.is_empty() {
        return Ok(Command::Select(where_id(select.selection.as_ref())));
    }
    let mut values = Vec::new();
    for item in &select.projection {
        let SelectItem::UnnamedExpr(expr) = item else {
            return Err("only literals can be selected without FROM".to_owned());
        };
        if let Some(command) = control_call(expr)? {
            return Ok(command);
        }
        values.push(literal(expr).ok_or("only literals can be selected without FROM")?);
    }
    Ok(Command::Literal(values))
}

/// Parses a control function call such as `dandelionpitch_promote(2)`; `None` for other
/// expressions.
fn control_call(expr: &Expr) -> Result<Option<Command>, String> {
    let Expr::Function(function) = expr else {
        return Ok(None);
    };
    let name = function.name.to_string();
    let FunctionArguments::List(list) = &function.args else {
        return Ok(None);
    };
    let arguments: Vec<String> = list.args.iter().filter_map(argument).collect();
    let number = || {
        let first = arguments.first().and_then(|text| text.parse::<u64>().ok());
        first.ok_or_else(|| format!("{name} needs a number"))
    };
    Ok(match name.as_str() {
        "dandelionpitch_barrier" => Some(Command::Barrier),
        "dandelionpitch_fence" => Some(Command::Fence(number()?)),
        "dandelionpitch_promote" => Some(Command::Promote(number()?)),
        "dandelionpitch_lag" => Some(Command::Lag(number()?)),
        "dandelionpitch_sleep" => Some(Command::Sleep(number()?)),
        "dandelionpitch_fault" => Some(Command::Fault(Fault::parse(&arguments)?)),
        _ => None,
    })
}

fn argument(argument: &FunctionArg) -> Option<String> {
    match argument {
        FunctionArg::Unnamed(FunctionArgExpr::Expr(expr)) => literal(expr),
        _ => None,
    }
}

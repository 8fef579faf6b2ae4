//! An open connection to a backend server and the session state set on it: variables and prepared
//! statements.

use std::sync::Arc;

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{
    session::{Execution, Session, Variables},
    statement::Definition,
};
use dandelionpitch_platform::{
    backend::{Answer, Condition, Link, Query},
    Error,
};

use crate::line::backend::request::Client;

/// An open connection and its session state.
#[derive(Debug)]
pub struct Connection {
    pub link: Link,
    /// The client account that the server knows for it; `None` on connections to other proxies.
    account: Option<Arc<str>>,
    /// The session variables that are set on it.
    pub variables: Variables,
    /// The statements prepared on it and their names there.
    pub prepared: Map<Definition, String>,
    /// Whether the variables set on it may differ from `variables`.
    pub is_dirty: bool,
}

impl Connection {
    /// The cost of changing its variables to `wanted`: 0 if they are equal, 1 if some must be set, 2 if
    /// all must be reset first.
    pub fn setup_cost(&self, wanted: &Variables) -> u8 {
        let has_extra = || self.variables.keys().any(|name| !wanted.contains_key(name));
        match (self.is_dirty, &self.variables == wanted) {
            (false, true) => 0,
            (false, false) if !has_extra() => 1,
            _ => 2,
        }
    }

    /// Whether it may be used for `client`.
    pub fn is_usable_by(&self, client: &Client) -> bool {
        match client {
            Client::Proxy => true,
            Client::Account(account) => *account == self.account,
        }
    }

    /// Wraps a newly opened connection, on which nothing is set.
    pub fn new(link: Link, account: Option<Arc<str>>) -> Self {
        Self {
            link,
            account,
            variables: Variables::default(),
            prepared: Map::default(),
            is_dirty: false,
        }
    }
}

/// Sets the connection's variables to those of the session, in one write, and waits until every
/// change is acknowledged. Variables of an earlier session must not affect the caller's statements,
/// so all are reset first if there are any. After an error the connection is dirty.
pub async fn sync_variables(connection: &mut Connection, session: &Session) -> Result<(), Error> {
    let wanted = session.variables();
    if !connection.is_dirty && connection.variables == *wanted {
        return Ok(());
    }
    let has_extra = connection
        .variables
        .keys()
        .any(|name| !wanted.contains_key(name));
    let mut queries = Vec::new();
    if connection.is_dirty || has_extra {
        queries.push(Query::Reset);
        connection.prepared.clear();
        connection.variables = Default::default();
    }
    for (name, value) in wanted.iter() {
        if connection.variables.get(name) != Some(value) {
            queries.push(Query::Set { name, value });
        }
    }
    connection.is_dirty = true;
    connection.link.send(&queries).await?;
    for _ in &queries {
        connection.link.read_answer().await?.result?;
    }
    connection.variables = wanted.clone();
    connection.is_dirty = false;
    Ok(())
}

/// A caller's statement as sent to a server.
#[derive(Clone, Copy, Debug)]
pub struct Statement<'a> {
    pub id: &'a str,
    pub text: &'a str,
    pub execution: Option<&'a Execution>,
}

/// Sends a statement and reads its answer. A prepared statement is first prepared on the connection
/// if necessary, in the same write.
pub async fn execute(
    connection: &mut Connection,
    statement: Statement<'_>,
    condition: Condition<'_>,
) -> Result<Answer, Error> {
    let Statement {
        id,
        text,
        execution,
    } = statement;
    let Some(Execution {
        definition,
        arguments,
    }) = execution
    else {
        let query = Query::Caller {
            id,
            text,
            condition,
        };
        return connection.link.query(query).await;
    };
    let known = connection.prepared.get(definition).cloned();
    let name = match &known {
        Some(name) => name.clone(),
        None => format!("p{}", connection.prepared.len() + 1),
    };
    let run = Query::Execute {
        id,
        name: &name,
        arguments,
        condition,
    };
    if known.is_some() {
        return connection.link.query(run).await;
    }
    let prepare = Query::Prepare {
        name: &name,
        definition,
    };
    connection.link.send(&[prepare, run]).await?;
    let preparation = connection.link.read_answer().await?;
    let answer = connection.link.read_answer().await?;
    if preparation.result.is_ok() {
        connection.prepared.insert(definition.clone(), name);
    }
    Ok(answer)
}

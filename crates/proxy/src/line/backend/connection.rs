//! An open connection to a backend server and the session state set on it: variables and prepared
//! statements.

use std::sync::Arc;

use dandelionpitch_engine::session::{Execution, Session, Variables};
use dandelionpitch_platform::{
    backend::{Answer, Condition, Link, Query},
    Error,
};

use crate::line::{
    backend::{prepared::Prepared, request::Client},
    journal,
};

/// An open connection and its session state.
#[derive(Debug)]
pub struct Connection {
    pub link: Link,
    /// The client account that the server knows for it; `None` on connections to other proxies.
    account: Option<Arc<str>>,
    /// The session variables that are set on it.
    pub variables: Variables,
    pub prepared: Prepared,
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
            prepared: Prepared::default(),
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
    let prepared = &mut connection.prepared;
    let known = prepared.use_name(definition);
    let is_known = known.is_some();
    let name = known.unwrap_or_else(|| prepared.next_name());
    let run = Query::Execute {
        id,
        name: &name,
        arguments,
        condition,
    };
    if is_known {
        return connection.link.query(run).await;
    }
    let prepare = Query::Prepare {
        name: &name,
        definition,
    };
    let unused = prepared.make_room();
    let deallocate = unused.as_ref().map(|name| Query::Deallocate { name });
    let queries: Vec<Query<'_>> = deallocate.into_iter().chain([prepare, run]).collect();
    connection.link.send(&queries).await?;
    if unused.is_some() {
        let answer = connection.link.read_answer().await?;
        if let Err(refusal) = answer.result {
            journal::trouble("deallocate", &refusal.to_string());
        }
    }
    let preparation = connection.link.read_answer().await?;
    let answer = connection.link.read_answer().await?;
    if preparation.result.is_ok() {
        connection.prepared.insert(definition, name);
    }
    Ok(answer)
}

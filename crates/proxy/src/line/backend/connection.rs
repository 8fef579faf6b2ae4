//! An open connection to a backend server, and what the sessions before left on it.

use dandelionpitch_core::hash::Map;
use dandelionpitch_engine::{
    session::{Execution, Session, Variables},
    statement::Definition,
};
use dandelionpitch_platform::{
    backend::{Answer, Condition, Link, Query},
    Error,
};

/// An open connection and what was left on it.
#[derive(Debug)]
pub struct Connection {
    pub link: Link,
    /// The session values in force on it.
    pub variables: Variables,
    /// The named statements on it.
    pub names: Map<Definition, String>,
    /// It may hold values that are not in `values`.
    pub unclear: bool,
}

impl Connection {
    /// How much it takes to make its values those wanted: nothing, setting some, or clearing all.
    pub fn effort(&self, wanted: &Variables) -> u8 {
        let foreign = || self.variables.keys().any(|name| !wanted.contains_key(name));
        match (self.unclear, &self.variables == wanted) {
            (false, true) => 0,
            (false, false) if !foreign() => 1,
            _ => 2,
        }
    }

    /// A connection that nobody has used yet.
    pub fn new(link: Link) -> Self {
        Self {
            link,
            variables: Variables::default(),
            names: Map::default(),
            unclear: false,
        }
    }
}

/// Makes the connection's values those of the session, in one write.
///
/// Failure: a connection still has a value of the session before, and a statement runs under what
/// its caller never set. Guard: values that the session does not have are cleared first, and
/// nothing else is sent before all of it is acknowledged.
pub async fn dress(connection: &mut Connection, session: &Session) -> Result<(), Error> {
    let wanted = session.variables();
    if !connection.unclear && connection.variables == *wanted {
        return Ok(());
    }
    let foreign = connection
        .variables
        .keys()
        .any(|name| !wanted.contains_key(name));
    let mut queries = Vec::new();
    if connection.unclear || foreign {
        queries.push(Query::Reset);
        connection.names.clear();
        connection.variables = Default::default();
    }
    for (name, value) in wanted.iter() {
        if connection.variables.get(name) != Some(value) {
            queries.push(Query::Set { name, value });
        }
    }
    connection.unclear = true;
    connection.link.send(&queries).await?;
    for _ in &queries {
        connection.link.read_answer().await?.result?;
    }
    connection.variables = wanted.clone();
    connection.unclear = false;
    Ok(())
}

/// A caller's statement as it is sent.
#[derive(Clone, Copy, Debug)]
pub struct Question<'a> {
    pub id: &'a str,
    pub text: &'a str,
    pub execution: Option<&'a Execution>,
}

/// Sends a statement and reads its answer, preparing the named statement first if it has to.
pub async fn ask(
    connection: &mut Connection,
    question: Question<'_>,
    condition: Condition<'_>,
) -> Result<Answer, Error> {
    let Question {
        id,
        text,
        execution,
    } = question;
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
    let known = connection.names.get(definition).cloned();
    let name = match &known {
        Some(name) => name.clone(),
        None => format!("p{}", connection.names.len() + 1),
    };
    let run = Query::Named {
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
    let prepared = connection.link.read_answer().await?;
    let answer = connection.link.read_answer().await?;
    if prepared.result.is_ok() {
        connection.names.insert(definition.clone(), name);
    }
    Ok(answer)
}

//! What a caller asks for, decoded from its dialect.

/// What a prepared statement does, and the rest of its definition as the backend takes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Definition {
    /// Whether running it changes data.
    pub writes: bool,
    /// The definition in the backend's words.
    pub text: String,
}

/// One statement of a caller; the text it came as is kept beside it and passed on unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement<'a> {
    /// Opens a transaction; a read-only one may run on a replica.
    Begin { read_only: bool },
    /// Ends a transaction and keeps its writes.
    Commit,
    /// Ends a transaction and drops its writes.
    Rollback,
    /// Reads data.
    Read,
    /// Changes data.
    Write,
    /// Sets a session value.
    Set { name: &'a str, value: &'a str },
    /// Names a statement for the rest of the session.
    Prepare {
        name: &'a str,
        definition: Definition,
    },
    /// Runs a named statement.
    Execute { name: &'a str, arguments: &'a str },
    /// Forgets a named statement.
    Deallocate { name: &'a str },
    /// Forgets all session values and named statements; only proxies send it to each other.
    Reset,
}

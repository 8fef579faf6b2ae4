//! A caller's statement, independent of the protocol in which it arrived.

/// The definition of a prepared statement.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Definition {
    /// Whether executing it changes data.
    pub writes: bool,
    /// The definition as sent to the backend server.
    pub text: String,
}

/// A classified statement. Its original text is kept separately and sent to the server unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement<'a> {
    /// Opens a transaction; a read-only one may run on a replica.
    Begin { read_only: bool },
    /// Commits a transaction.
    Commit,
    /// Rolls back a transaction.
    Rollback,
    /// Reads data.
    Read,
    /// Changes data.
    Write,
    /// Sets a session variable.
    Set { name: &'a str, value: &'a str },
    /// Prepares a statement under a name for the rest of the session.
    Prepare {
        name: &'a str,
        definition: Definition,
    },
    /// Executes a prepared statement.
    Execute { name: &'a str, arguments: &'a str },
    /// Removes a prepared statement.
    Deallocate { name: &'a str },
    /// Removes all session variables and prepared statements. Sent only between proxies.
    Reset,
}

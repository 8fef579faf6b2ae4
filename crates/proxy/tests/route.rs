//! Classification of query strings, which determines where they run and when their connection is
//! returned to the pool.

use dandelionpitch_proxy::route::{analyze, Kind, Variable};
use yare::parameterized;

/// Guards against returning a connection to the pool with a transaction open, for example after a
/// rollback to a savepoint or a chained commit: the next caller's statements would run inside it.
#[parameterized(
    read = { "SELECT * FROM ledger", Kind::Read },
    locking_read = { "SELECT * FROM ledger FOR UPDATE", Kind::Write },
    insert = { "INSERT INTO ledger VALUES ('a', 'b')", Kind::Write },
    begin = { "BEGIN", Kind::Begin },
    start = { "START TRANSACTION", Kind::Begin },
    commit = { "COMMIT", Kind::Commit },
    end = { "END", Kind::Commit },
    rollback = { "ROLLBACK", Kind::Rollback },
    savepoint = { "SAVEPOINT s", Kind::Write },
    rollback_to_savepoint = { "ROLLBACK TO SAVEPOINT s", Kind::Write },
    commit_and_chain = { "COMMIT AND CHAIN", Kind::Script { open_after: true } },
    rollback_and_chain = { "ROLLBACK AND CHAIN", Kind::Script { open_after: true } },
    complete_script = { "BEGIN; SELECT 1; COMMIT", Kind::Script { open_after: false } },
    script_left_open = { "COMMIT; BEGIN", Kind::Script { open_after: true } },
    savepoint_inside = { "BEGIN; ROLLBACK TO SAVEPOINT s", Kind::Script { open_after: true } },
    two_writes = { "DELETE FROM ledger; SELECT 1", Kind::Write },
    garbage = { "SELEC 1", Kind::Unparsed },
    discard = { "DISCARD ALL", Kind::Discard },
)]
fn query_kind_tells_transaction_end(query: &str, expected: Kind) {
    assert_eq!(analyze(query).kind, expected);
}

/// Guards against telling a caller that its transaction has ended while it is still open: its next
/// statements would join that transaction.
#[parameterized(
    commit = { "BEGIN; COMMIT", &[false, true] },
    rollback_to_savepoint = { "BEGIN; SAVEPOINT s; ROLLBACK TO SAVEPOINT s", &[false, false, false] },
    chained = { "BEGIN; ROLLBACK AND CHAIN; COMMIT", &[false, false, true] },
    lone_rollback_to_savepoint = { "ROLLBACK TO SAVEPOINT s", &[false] },
)]
fn tag_tells_transaction_end(query: &str, expected: &[bool]) {
    let ends: Vec<bool> = analyze(query)
        .tags
        .iter()
        .map(|tag| tag.ends_transaction)
        .collect();

    assert_eq!(ends, expected);
}

/// Guards against losing session settings on the session's other connections, and against applying
/// transaction-local ones there.
#[parameterized(
    set = { "SET app.x = 'a'", &["app.x"] },
    session = { "SET SESSION app.x = 'a'", &["app.x"] },
    local = { "SET LOCAL app.x = 'a'", &[] },
    among_others = { "SELECT 1; SET app.x = 'a'", &["app.x"] },
    none = { "SELECT 1", &[] },
)]
fn session_settings_exclude_local_ones(query: &str, expected: &[&str]) {
    let variables = analyze(query).variables;

    let names: Vec<&str> = variables
        .iter()
        .map(|Variable { name, .. }| name.as_str())
        .collect();
    assert_eq!(names, expected);
}

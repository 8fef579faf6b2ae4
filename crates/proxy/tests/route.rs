//! What a query string asks for, which decides where it runs and what becomes of its connection.

use dandelionpitch_proxy::route::{plan, Kind, Value};
use yare::parameterized;

/// A connection is handed back when its transaction has ended. Taken for an end, a rollback to
/// a savepoint or a chained commit would hand it back with a transaction open, and the next
/// caller's statements would run inside.
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
    back_to_savepoint = { "ROLLBACK TO SAVEPOINT s", Kind::Write },
    commit_and_chain = { "COMMIT AND CHAIN", Kind::Script { open_after: true } },
    rollback_and_chain = { "ROLLBACK AND CHAIN", Kind::Script { open_after: true } },
    whole = { "BEGIN; SELECT 1; COMMIT", Kind::Script { open_after: false } },
    left_open = { "COMMIT; BEGIN", Kind::Script { open_after: true } },
    savepoint_inside = { "BEGIN; ROLLBACK TO SAVEPOINT s", Kind::Script { open_after: true } },
    two_writes = { "DELETE FROM ledger; SELECT 1", Kind::Write },
    garbage = { "SELEC 1", Kind::Unparsed },
    discard = { "DISCARD ALL", Kind::Discard },
)]
fn kinds(query: &str, expected: Kind) {
    assert_eq!(plan(query).kind, expected);
}

/// What a session sets is set again on its other connections; what ends with its transaction
/// is not.
#[parameterized(
    set = { "SET app.x = 'a'", &["app.x"] },
    session = { "SET SESSION app.x = 'a'", &["app.x"] },
    local = { "SET LOCAL app.x = 'a'", &[] },
    among_others = { "SELECT 1; SET app.x = 'a'", &["app.x"] },
    none = { "SELECT 1", &[] },
)]
fn values(query: &str, expected: &[&str]) {
    let values = plan(query).values;

    let names: Vec<&str> = values
        .iter()
        .map(|Value { name, .. }| name.as_str())
        .collect();
    assert_eq!(names, expected);
}

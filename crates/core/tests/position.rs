//! Which log positions cover which, within a term and across a change of primary.

use dandelionpitch_core::position::Position;
use yare::parameterized;

/// A superseded primary keeps writing entries nobody acknowledged, so its log number passes
/// that of a write acknowledged by its successor. A session holding the successor's token must
/// not be read from it: the number is higher, but the write is not there.
#[parameterized(
    same_entry = { "1/10", "1/10", true },
    ahead_in_term = { "1/11", "1/10", true },
    behind_in_term = { "1/9", "1/10", false },
    superseded_and_longer = { "1/12", "2/10", false },
    successor_and_shorter = { "2/10", "1/12", true },
)]
fn covers(server: &str, floor: &str, expected: bool) {
    let server: Position = server.parse().unwrap();
    let floor: Position = floor.parse().unwrap();

    assert_eq!(server.covers(floor), expected);
}

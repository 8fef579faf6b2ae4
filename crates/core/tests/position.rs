//! Comparison of log positions within a term and across a change of primary.

use dandelionpitch_core::position::Position;
use yare::parameterized;

/// A superseded primary may have unacknowledged entries whose sequence numbers exceed that of a write
/// acknowledged by its successor. It must not serve reads that require that write.
#[parameterized(
    same_entry = { "1/10", "1/10", true },
    ahead_in_term = { "1/11", "1/10", true },
    behind_in_term = { "1/9", "1/10", false },
    superseded_and_longer = { "1/12", "2/10", false },
    successor_and_shorter = { "2/10", "1/12", true },
)]
fn covers_compares_terms_before_numbers(server: &str, floor: &str, expected: bool) {
    let server: Position = server.parse().unwrap();
    let floor: Position = floor.parse().unwrap();

    assert_eq!(server.covers(floor), expected);
}

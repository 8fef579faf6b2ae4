//! Reads without a primary: what the answers of a quorum of the servers that count for promotions
//! prove, and what must not count as such an answer.

use std::time::Duration;

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    freshness::{Watermark, Watermarks},
    time::Moment,
};

fn at(millis: u64) -> Moment {
    Moment::from_boot(Duration::from_millis(100_000 + millis))
}

fn position(lsn: u64) -> Position {
    Position { term: 1, lsn }
}

fn watermark(millis: u64, lsn: u64) -> Watermark {
    Watermark {
        asked: at(millis),
        position: position(lsn),
    }
}

/// The watermarks after a primary reported 10, 20 and 30 in the milliseconds 0, 100 and 200, then
/// crashed, and a quorum of replicas that had received nothing after 10 answered at 300.
fn after_a_crash_behind_replicas() -> Watermarks {
    let mut watermarks = Watermarks::default();
    for (millis, lsn) in [(0, 10), (100, 20), (200, 30)] {
        watermarks.note(watermark(millis, lsn));
    }
    watermarks.note_quorum(watermark(300, 10));
    watermarks
}

/// The end of the crashed primary's log includes commits that no replica received. Guards against
/// refusing every read until the promotion because the quorum's position is lower.
#[test]
fn quorum_replaces_higher_positions_of_a_crashed_primary() {
    let watermarks = after_a_crash_behind_replicas();

    let floors = [0, 150, 250, 301].map(|since| watermarks.floor(at(since)));

    let quorum = Some(watermark(300, 10));
    assert_eq!(floors, [quorum, quorum, quorum, None]);
}

/// The primary restarts with an empty log after the quorum's answer and reports more than the
/// quorum, but less than before. Guards against reads on that log.
#[test]
fn quorum_does_not_hide_that_the_primary_lost_its_log() {
    let mut watermarks = after_a_crash_behind_replicas();

    watermarks.note(watermark(400, 15));

    assert_eq!(watermarks.floor(at(350)), None);
    assert_eq!(watermarks.position_before(at(400)), Some(position(30)));
    assert_eq!(watermarks.newest_position(), Some(position(30)));
}

/// The primary was only slow: it answers again with all that it reported before.
#[test]
fn primary_continues_after_a_quorum() {
    let mut watermarks = after_a_crash_behind_replicas();

    watermarks.note(watermark(400, 31));

    assert_eq!(watermarks.floor(at(250)), Some(watermark(300, 10)));
    assert_eq!(watermarks.floor(at(350)), Some(watermark(400, 31)));
}

/// A primary's answer that was requested before the quorum's does not replace it.
#[test]
fn late_answer_of_the_primary_does_not_replace_a_quorum() {
    let mut watermarks = after_a_crash_behind_replicas();

    watermarks.note(watermark(250, 35));

    assert_eq!(watermarks.floor(at(220)), Some(watermark(300, 10)));
}

/// Held replicas still report the old term when a promoted primary has reported its own.
#[test]
fn quorum_of_an_earlier_term_is_ignored() {
    let mut watermarks = Watermarks::default();
    let promoted = Watermark {
        position: Position { term: 2, lsn: 11 },
        ..watermark(0, 0)
    };
    watermarks.note(promoted);

    watermarks.note_quorum(watermark(100, 40));

    assert_eq!(watermarks.newest(), Some(promoted));
}

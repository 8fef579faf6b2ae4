//! New sessions while a proxy starts.

use std::time::Duration;

use dandelionpitch_engine::startup;

const LIMIT: Duration = Duration::from_millis(500);

/// Thousands of callers reconnect right after a restart. Guards against refusing them although the configuration
/// arrives a moment later.
#[test]
fn session_waits_while_the_configuration_is_on_its_way() {
    let waits = |running| startup::session_wait(Duration::from_millis(running), LIMIT);

    assert_eq!(waits(20), LIMIT);
    assert_eq!(waits(1_200), Duration::from_millis(300));
}

/// The store does not answer, so no configuration is in sight. Guards against sessions that wait for nothing.
#[test]
fn session_is_refused_at_once_when_the_configuration_is_overdue() {
    let wait = startup::session_wait(Duration::from_millis(1_600), LIMIT);

    assert_eq!(wait, Duration::ZERO);
}

/// Guards against refused callers that return together and cause waves of load.
#[test]
fn refused_callers_return_at_different_times() {
    let returns = [0.0, 0.25, 0.5, 1.0].map(startup::return_after);

    assert!(returns.is_sorted());
    assert_eq!(returns[3] - returns[0], Duration::from_secs(1));
}

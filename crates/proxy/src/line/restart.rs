//! Rejects statuses that come from another incarnation of a server than the registered one.

use std::cell::Cell;

use dandelionpitch_engine::{
    registry::Incarnation, restart::Detector, takeover::Status, time::Moment,
};
use dandelionpitch_platform::Error;

use crate::line::clock;

/// Returns `status`, which was requested at `asked` and has just arrived, if it may come from
/// `server`, the registered incarnation.
///
/// # Errors
/// The status shows that the server has restarted and lost its log.
pub fn check_status(
    detector: &Cell<Detector>,
    server: &Incarnation,
    status: Status,
    asked: Moment,
) -> Result<Status, Error> {
    let mut updated = detector.get();
    let accepted = updated.accepts(&status, asked, clock::now());
    detector.set(updated);
    match accepted {
        true => Ok(status),
        false => Err(Error::restarted(server)),
    }
}

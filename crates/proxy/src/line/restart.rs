//! Tells the lives of a server apart, for all who ask it how it stands.

use std::cell::Cell;

use dandelionpitch_engine::{
    registry::Incarnation, restart::Detector, takeover::Status, time::Moment,
};
use dandelionpitch_platform::Error;

use crate::line::clock;

/// Takes the answer to a question sent at `asked`, if it may be of the life that is registered.
pub fn check_status(
    life: &Cell<Detector>,
    server: &Incarnation,
    status: Status,
    asked: Moment,
) -> Result<Status, Error> {
    let mut known = life.get();
    let same = known.accepts(&status, asked, clock::now());
    life.set(known);
    match same {
        true => Ok(status),
        false => Err(Error::restarted(server)),
    }
}

//! Reads and servers that lack the log position that a read requires.

use std::rc::Rc;

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::{
    refusal::{Code, Refusal},
    time::Moment,
};
use dandelionpitch_platform::backend::Answer;

use crate::line::{
    backend::Backend,
    clock,
    group::Group,
    traffic::call::{Call, RETRY_AFTER},
};

/// The refusal of a read because no server is expected to have the position `required` in time.
pub fn lagging(group: &Group, call: &Call<'_>, required: Option<Position>) -> Refusal {
    let wait = group.expected_wait(required, clock::now());
    let why = "no server has the required log position";
    call.busy(why, wait.unwrap_or(RETRY_AFTER))
}

/// The refusal of a read because the queue of the server that has the position is full: `refusal`, or
/// with the time at which a replica is expected to have the position.
pub fn queue_full(
    group: &Group,
    call: &Call<'_>,
    required: Option<Position>,
    refusal: Refusal,
) -> Refusal {
    match group.expected_wait(required, clock::now()) {
        Some(wait) => call.busy("too much work is waiting", wait),
        None => refusal,
    }
}

/// Records whether the server lacked the position that a read sent at `asked` requires, and how far it has
/// applied the log.
pub fn note_lag(
    group: &Group,
    backend: &Rc<Backend>,
    required: Option<Position>,
    asked: Moment,
    answer: &Answer,
) {
    group.note_replication(backend, required, asked, answer);
    let Some(position) = required else {
        return;
    };
    match &answer.result {
        Ok(_) => backend.note_read(position, asked, false),
        Err(refusal) if refusal.code == Code::Lagging => backend.note_read(position, asked, true),
        Err(_) => {}
    }
}

//! What is on its way between the parties, and what the store holds.

use dandelionpitch_core::{hash::Map, position::Position};
use dandelionpitch_engine::{commit::Snapshot, registry::Incarnation, takeover::Status};

use super::{
    scenario::Node,
    server::{Entry, Order},
};

/// Who asks, and which of its questions it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asker {
    pub node: Node,
    pub tag: u64,
}

/// What a server says.
#[derive(Clone, Copy, Debug)]
pub enum Said {
    Status(Status),
    Busy,
}

/// A server's answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub to: Asker,
    pub server: usize,
    pub asked: u64,
    pub said: Said,
}

/// The record of the group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    pub holder: usize,
    pub server: Option<String>,
    pub promotions: u64,
    pub members: Vec<Incarnation>,
}

/// What is on its way.
#[derive(Clone, Debug)]
pub enum Mail {
    Ask {
        from: Asker,
        server: usize,
        order: Order,
        asked: u64,
    },
    Answer(Answer),
    Commit {
        proxy: usize,
        server: usize,
    },
    Acked {
        proxy: usize,
        server: usize,
        entry: Entry,
    },
    Refused {
        proxy: usize,
        server: usize,
    },
    /// A read that must see all that was reported as kept before `since`, on a log that goes up to `after`.
    Read {
        proxy: usize,
        server: usize,
        since: u64,
        after: Position,
    },
    /// What a server's log that was read had, and a commit that it should have had.
    Rows {
        proxy: usize,
        server: usize,
        position: Position,
        missed: Option<Entry>,
    },
    Write {
        from: Asker,
        token: u64,
        known: u64,
        record: Record,
    },
    /// The revision, or `None` if a condition did not hold.
    Written {
        to: Asker,
        revision: Option<u64>,
    },
    Testify {
        from: Asker,
        asked: u64,
    },
    Testified {
        to: Asker,
        testimony: Option<Snapshot>,
    },
    Effect {
        server: usize,
    },
}

/// The store: the group's record, the duty's key and the registrations.
#[derive(Clone, Debug, Default)]
pub struct Store {
    pub revision: u64,
    pub record: Option<(u64, Record)>,
    /// Holder, token and the end of the lease.
    pub duty: Option<(usize, u64, u64)>,
    pub registered: Map<usize, (Incarnation, bool)>,
}

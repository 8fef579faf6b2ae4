//! Who is at the other end of a connection, and what that means for a planned stop.

use std::{cell::Cell, rc::Rc};

/// Who is at the other end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    Caller,
    /// Another proxy, with statements of many sessions one after the other.
    Peer,
}

/// A statement of another proxy that a planned stop waits for.
pub struct UnderWay(Option<Rc<Cell<usize>>>);

impl UnderWay {
    /// Counts one more of `open` until it is dropped, if it is another proxy's.
    pub fn new(open: &Rc<Cell<usize>>, origin: Origin) -> Self {
        let counted = (origin == Origin::Peer).then(|| open.clone());
        if let Some(open) = &counted {
            open.set(open.get() + 1);
        }
        Self(counted)
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        if let Some(open) = &self.0 {
            open.set(open.get() - 1);
        }
    }
}

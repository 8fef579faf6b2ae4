//! Who waits for a connection, and who gets the next one that is free.

use std::rc::Rc;

use dandelionpitch_engine::admission::{self, Decision, Queue, Queued, Selection};
use tokio::sync::oneshot;

use super::{checkout::Place, Grant, Miss, Pool, Request, Waiter};
use crate::line::{backend::connection::Connection, clock};

impl Pool {
    /// Waits for a connection, or is refused.
    pub(super) async fn wait(&self, request: Request) -> Result<Grant, Miss> {
        let (grant, granted) = oneshot::channel();
        let Request { rank, deadline } = request;
        let now = clock::now();
        let left = now.until(deadline);
        {
            let mut state = self.state.borrow_mut();
            if state.closed || state.open == 0 {
                return Err(Miss::Unreachable);
            }
            let before = |waiter: &Waiter| waiter.rank <= rank && !waiter.grant.is_closed();
            let ahead = state.waiting.iter().filter(|waiter| before(waiter)).count();
            let queue = Queue {
                waiting: ahead,
                connections: state.open,
                hold: self.hold.get().value(),
            };
            if let Decision::Refuse { retry_after } =
                admission::decide(queue, now.until(rank.due).min(left))
            {
                return Err(Miss::Refused { retry_after });
            }
            let place = state
                .waiting
                .iter()
                .position(|waiter| waiter.rank > rank)
                .unwrap_or(state.waiting.len());
            let waiter = Waiter {
                rank,
                deadline,
                grant,
            };
            state.waiting.insert(place, waiter);
        }
        match tokio::time::timeout(left, granted).await {
            Ok(Ok(Grant::Refused { retry_after })) => Err(Miss::Refused { retry_after }),
            Ok(Ok(grant)) => Ok(grant),
            Ok(Err(_)) => Err(Miss::Unreachable),
            Err(_) => Err(Miss::Refused {
                retry_after: self.hold.get().value(),
            }),
        }
    }

    /// Passes a connection that is free again to whoever waits.
    pub(super) fn give_back(self: &Rc<Self>, connection: Box<Connection>) {
        let mut grant = Grant::Connection(self.lend(connection));
        while let Some(waiter) = self.next_waiter() {
            match waiter.grant.send(grant) {
                Ok(()) => return,
                Err(back) => grant = back,
            }
        }
        if let Grant::Connection(mut checkout) = grant {
            let mut state = self.state.borrow_mut();
            match checkout.connection.take() {
                Some(connection) if !state.closed && state.open <= self.limit.get() => {
                    state.idle.push(*connection);
                }
                _ => state.open -= 1,
            }
        }
    }

    /// Passes the room of a closed connection to whoever waits.
    pub(super) fn give_room(self: &Rc<Self>) {
        let mut grant = Grant::Room(Place::new(self.clone()));
        while let Some(waiter) = self.next_waiter() {
            match waiter.grant.send(grant) {
                Ok(()) => return,
                Err(back) => grant = back,
            }
        }
        // Dropped, the place is free.
    }

    /// The next who waits, unless fewer connections are to be open. Those who wait for nothing any more
    /// are told so.
    fn next_waiter(&self) -> Option<Waiter> {
        let mut state = self.state.borrow_mut();
        if state.closed || state.open > self.limit.get() {
            return None;
        }
        let hold = self.hold.get().value();
        let queued = |waiter: &Waiter| Queued {
            due: waiter.rank.due,
            deadline: waiter.deadline,
        };
        let entries: Vec<Queued> = state.waiting.iter().map(queued).collect();
        let Selection { next, too_late } = admission::select(&entries, hold, clock::now());
        let next = next.and_then(|index| state.waiting.remove(index).map(|waiter| (index, waiter)));
        for index in too_late.into_iter().rev() {
            let shift = usize::from(next.as_ref().is_some_and(|(taken, _)| *taken < index));
            if let Some(waiter) = state.waiting.remove(index - shift) {
                // Its receiver may be gone: then nobody has to be told.
                let _ = waiter.grant.send(Grant::Refused { retry_after: hold });
            }
        }
        next.map(|(_, waiter)| waiter)
    }
}

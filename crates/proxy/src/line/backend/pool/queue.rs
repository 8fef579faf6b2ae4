//! The queue of statements that wait for a connection, and the selection of the next one to get it.

use std::rc::Rc;

use dandelionpitch_engine::admission::{self, Decision, Queue, Queued, Selection};
use tokio::sync::oneshot;

use super::{checkout::Permit, Error, Grant, Pool, Request, Waiter};
use crate::line::{backend::connection::Connection, clock};

impl Pool {
    /// Waits for a connection or a permit to open one. Returns an error if admission control refuses the
    /// request, no connection is open, or the deadline passes.
    pub(super) async fn wait(&self, request: Request) -> Result<Grant, Error> {
        let (grant, granted) = oneshot::channel();
        let Request { rank, deadline } = request;
        let now = clock::now();
        let left = now.until(deadline);
        {
            let mut state = self.state.borrow_mut();
            if state.closed || state.open == 0 {
                return Err(Error::Unreachable);
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
                return Err(Error::Refused { retry_after });
            }
            let index = state
                .waiting
                .iter()
                .position(|waiter| waiter.rank > rank)
                .unwrap_or(state.waiting.len());
            let waiter = Waiter {
                rank,
                deadline,
                grant,
            };
            state.waiting.insert(index, waiter);
        }
        match tokio::time::timeout(left, granted).await {
            Ok(Ok(Grant::Refused { retry_after })) => Err(Error::Refused { retry_after }),
            Ok(Ok(grant)) => Ok(grant),
            Ok(Err(_)) => Err(Error::Unreachable),
            Err(_) => Err(Error::Refused {
                retry_after: self.hold.get().value(),
            }),
        }
    }

    /// Passes a returned connection to the next waiting statement, or makes it idle.
    pub(super) fn return_connection(self: &Rc<Self>, connection: Box<Connection>) {
        let mut grant = Grant::Connection(self.new_checkout(connection));
        while let Some(waiter) = self.next_waiter() {
            match waiter.grant.send(grant) {
                Ok(()) => return,
                Err(returned) => grant = returned,
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

    /// Passes the permit of a closed connection to the next waiting statement, or returns it.
    pub(super) fn return_permit(self: &Rc<Self>) {
        let mut grant = Grant::Permit(Permit::new(self.clone()));
        while let Some(waiter) = self.next_waiter() {
            match waiter.grant.send(grant) {
                Ok(()) => return,
                Err(returned) => grant = returned,
            }
        }
        // Not granted: dropping the permit returns it.
    }

    /// Removes and returns the next statement to get a connection; `None` if no one waits or the pool is
    /// closed or above its limit. Refuses statements that cannot finish before their deadline.
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
                // Fails only if the statement no longer waits.
                let _ = waiter.grant.send(Grant::Refused { retry_after: hold });
            }
        }
        next.map(|(_, waiter)| waiter)
    }
}

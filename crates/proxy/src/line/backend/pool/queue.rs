//! The queue of statements that wait for a connection, and the selection of the next one to get it.

use std::rc::Rc;

use dandelionpitch_engine::{
    admission::{self, Decision, Queue, Queued, Selection},
    session::Variables,
};
use tokio::sync::oneshot;

use super::{checkout::Permit, Error, Grant, Pool, Waiter};
use crate::line::{
    backend::{
        connection::Connection,
        request::{Client, Request},
    },
    clock,
};

impl Pool {
    /// Waits for a connection or a permit to open one. Returns an error if admission control refuses the
    /// request, no connection is open, or the deadline passes.
    pub(super) async fn wait(&self, request: Request) -> Result<Grant, Error> {
        let (grant, granted) = oneshot::channel();
        let Request {
            client,
            rank,
            deadline,
        } = request;
        let now = clock::now();
        let left = now.until(deadline);
        {
            let mut state = self.state.borrow_mut();
            // Only connections in use are returned, and then granted to those that wait.
            if state.closed || state.in_use() == 0 {
                return Err(Error::Unreachable);
            }
            let before = |waiter: &Waiter| waiter.rank <= rank && !waiter.grant.is_closed();
            let ahead = state.waiting.iter().filter(|waiter| before(waiter)).count();
            let queue = Queue {
                waiting: ahead,
                connections: state.in_use(),
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
                client,
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

    /// Makes a returned connection idle and serves the next waiting statement.
    pub(super) fn return_connection(self: &Rc<Self>, connection: Connection) {
        {
            let mut state = self.state.borrow_mut();
            match !state.closed && state.open <= self.limit.get().open {
                true => state.idle.push(connection),
                false => state.open -= 1,
            }
        }
        self.serve_waiting();
    }

    /// Returns the permit of a closed connection and serves the next waiting statement.
    pub(super) fn return_permit(self: &Rc<Self>) {
        self.state.borrow_mut().open -= 1;
        self.serve_waiting();
        self.fail_waiting_if_unused();
    }

    /// Grants idle connections, and permits to open others, to the statements that wait.
    fn serve_waiting(self: &Rc<Self>) {
        while self.may_use_another() {
            let Some(waiter) = self.next_waiter() else {
                return;
            };
            let Some(grant) = self.grant_for(&waiter.client) else {
                // Dropping the sender tells the statement that the server is unreachable.
                continue;
            };
            if let Err(grant) = waiter.grant.send(grant) {
                self.take_back(grant);
            }
        }
    }

    /// An idle connection for `client`, or a permit to open one. Ignores the backoff, as the server
    /// has just answered on another connection.
    fn grant_for(self: &Rc<Self>, client: &Client) -> Option<Grant> {
        if let Some(connection) = self.take_idle(client, &Variables::default()) {
            return Some(Grant::Connection(self.new_checkout(connection)));
        }
        let mut state = self.state.borrow_mut();
        if state.open >= self.limit.get().open && !state.close_oldest() {
            return None;
        }
        state.open += 1;
        Some(Grant::Permit(Permit::new(self.clone())))
    }

    /// Takes back the grant of a statement that has stopped waiting.
    fn take_back(&self, grant: Grant) {
        let mut state = self.state.borrow_mut();
        match grant {
            Grant::Connection(mut checkout) => {
                state.idle.extend(checkout.connection.take().map(|c| *c));
            }
            Grant::Permit(permit) => {
                permit.forget();
                state.open -= 1;
            }
            Grant::Refused { .. } => {}
        }
    }

    /// Fails the waiting statements if no connection is in use: none will be returned.
    pub(super) fn fail_waiting_if_unused(&self) {
        let mut state = self.state.borrow_mut();
        if state.in_use() == 0 {
            state.waiting.clear();
        }
    }

    /// Removes and returns the next statement to get a connection; `None` if no one waits or the pool is
    /// closed. Refuses statements that cannot finish before their deadline.
    fn next_waiter(&self) -> Option<Waiter> {
        let mut state = self.state.borrow_mut();
        if state.closed {
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

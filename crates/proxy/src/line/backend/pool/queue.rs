//! The queue of statements that wait for a connection, and the selection of the next one to get it.

use std::rc::Rc;

use dandelionpitch_engine::{
    admission::{self, Decision, Queued, Selection},
    session::Variables,
    slots::{Mode, Purpose},
};
use tokio::sync::oneshot;

use super::{checkout::Checkout, Error, Grant, Pool, State, Waiter};
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
            purpose,
            rank,
            deadline,
        } = request;
        let now = clock::now();
        let left = now.until(deadline);
        {
            let mut state = self.state.borrow_mut();
            // Only connections in use are returned, and then granted to those that wait.
            if state.closed || state.slots.held() == 0 {
                return Err(Error::Unreachable);
            }
            let limit = self.limit.get();
            // Transactions that may not start do not delay single statements.
            let is_barred = |purpose| state.slots.is_barred(purpose, limit);
            let before = |waiter: &Waiter| {
                waiter.rank <= rank
                    && !waiter.grant.is_closed()
                    && is_barred(waiter.purpose) == is_barred(purpose)
            };
            let ahead = state.waiting.iter().filter(|waiter| before(waiter)).count();
            let queue = state.slots.queue(purpose, limit, ahead, self.times());
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
                purpose,
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
                retry_after: self.retry_after(),
            }),
        }
    }

    /// Makes a returned connection idle and serves the next waiting statement.
    pub(super) fn return_connection(self: &Rc<Self>, connection: Connection) {
        {
            let mut state = self.state.borrow_mut();
            if !state.closed && state.open() < self.limit.get().open {
                state.idle.push(connection);
            }
        }
        self.serve_waiting();
    }

    /// Serves the next waiting statement after a connection was closed.
    pub(super) fn replace_closed(self: &Rc<Self>) {
        self.serve_waiting();
        self.fail_waiting_if_unused();
    }

    /// Serves the next waiting statement after a permit was returned, as no connection was opened or the
    /// statement stopped waiting.
    pub(super) fn replace_unused_permit(self: &Rc<Self>) {
        let mode = self.state.borrow().slots.mode();
        if mode == Mode::Separate {
            self.serve_beside_paused();
        }
        self.fail_waiting_if_unused();
    }

    /// Serves the next waiting statement after a transaction became idle. While the server refuses
    /// connections, a statement keeps waiting for an open one, as a permit would only make it fail.
    pub(super) fn serve_beside_paused(self: &Rc<Self>) {
        if !self.is_backing_off_now() || !self.state.borrow().idle.is_empty() {
            self.serve_waiting();
        }
    }

    /// Grants idle connections, and permits to open others, to the statements that wait.
    fn serve_waiting(self: &Rc<Self>) {
        while let Some(waiter) = self.next_waiter() {
            let Some(grant) = self.grant_for(&waiter.client, waiter.purpose) else {
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
    fn grant_for(self: &Rc<Self>, client: &Client, purpose: Purpose) -> Option<Grant> {
        if let Some(connection) = self.take_idle(client, &Variables::default()) {
            let checkout = Checkout::new(self.clone(), connection, purpose);
            return Some(Grant::Connection(checkout));
        }
        self.new_permit(purpose).map(Grant::Permit)
    }

    /// Takes back the grant of a statement that has stopped waiting.
    fn take_back(&self, grant: Grant) {
        match grant {
            Grant::Connection(checkout) => {
                let unused = checkout.into_unused();
                self.state.borrow_mut().idle.extend(unused);
            }
            Grant::Permit(permit) => permit.forget(),
            Grant::Refused { .. } => {}
        }
    }

    /// Fails the waiting statements if no connection is in use: none will be returned.
    pub(super) fn fail_waiting_if_unused(&self) {
        let mut state = self.state.borrow_mut();
        if state.slots.held() == 0 {
            state.waiting.clear();
        }
    }

    /// Removes and returns the next statement to get a connection; `None` if none may start or the pool
    /// is closed. Refuses statements that cannot finish before their deadline.
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
        let startable = self.startable(&state);
        let entries = startable.iter().map(|&index| queued(&state.waiting[index]));
        let entries: Vec<Queued> = entries.collect();
        let Selection { next, too_late } = admission::select(&entries, hold, clock::now());
        let next = next.map(|entry| startable[entry]);
        let next = next.and_then(|index| state.waiting.remove(index).map(|waiter| (index, waiter)));
        let retry_after = state.slots.retry_after(hold);
        for index in too_late.into_iter().rev().map(|entry| startable[entry]) {
            let shift = usize::from(next.as_ref().is_some_and(|(taken, _)| *taken < index));
            if let Some(waiter) = state.waiting.remove(index - shift) {
                // Fails only if the statement no longer waits.
                let _ = waiter.grant.send(Grant::Refused { retry_after });
            }
        }
        next.map(|(_, waiter)| waiter)
    }

    /// The indexes of the waiting statements that may start now.
    fn startable(&self, state: &State) -> Vec<usize> {
        let limit = self.limit.get();
        let may_start = |waiter: &Waiter| state.slots.may_start(waiter.purpose, limit);
        let waiting = state.waiting.iter().enumerate();
        let startable = waiting.filter(|(_, waiter)| may_start(waiter));
        startable.map(|(index, _)| index).collect()
    }
}

//! Who holds the failover duty: one process at a time, by a lease in the store.
//!
//! The fencing token is the store's revision at which the holder's key was written: it grows with
//! every change of the store, so a later holder always has a higher one.

use std::time::Duration;

use crate::time::Moment;

/// How long the store keeps a process's keys after its last renewal. Three renewals fit in, so one
/// lost answer does not end it, and a dead holder is replaced within it.
pub const LEASE_TTL: Duration = Duration::from_millis(4_000);

/// How often the lease is renewed; a renewal costs a tenth of a read.
pub const RENEW_EVERY: Duration = Duration::from_millis(1_200);

/// How long before its end a lease is not relied on any more: a call to the platform (1 s at most)
/// that begins before must be over before another process may take over.
const MARGIN: Duration = Duration::from_millis(1_500);

/// What this process knows of the duty.
#[derive(Clone, Debug, Default)]
pub struct Duty {
    /// The holder's name in the store, if its key is there.
    holder: Option<String>,
    /// This process's fencing token, while it holds the duty.
    token: Option<u64>,
    /// Until when this process's lease certainly lasts.
    lease_until: Option<Moment>,
}

impl Duty {
    /// Notes the holder's key as read from the store, or its absence. A key written by another
    /// process, or anew, ends this one's duty.
    pub fn seen(&mut self, holder: Option<(&str, u64)>) {
        let revision = holder.map(|(_, revision)| revision);
        if self.token.is_some() && self.token != revision {
            self.token = None;
        }
        self.holder = holder.map(|(name, _)| name.to_owned());
    }

    /// Notes that the lease was taken or renewed by a call sent at `sent`.
    pub fn renewed(&mut self, sent: Moment) {
        self.lease_until = Some(sent + LEASE_TTL);
    }

    /// Notes that the lease has ended.
    pub fn lapsed(&mut self) {
        self.lease_until = None;
        self.token = None;
    }

    /// Notes that this process has written the holder's key at `token`.
    pub fn won(&mut self, name: &str, token: u64) {
        self.holder = Some(name.to_owned());
        self.token = Some(token);
    }

    /// Whether the duty is free for this process to claim.
    pub fn is_free(&self, now: Moment) -> bool {
        self.holder.is_none() && self.lease_lasts(now)
    }

    /// The fencing token, if this process certainly holds the duty long enough for one more call.
    ///
    /// Failure: the holder is suspended, its lease lapses, another process promotes, and the first
    /// wakes and promotes with an older token. Guard: the lease is measured on a clock that counts
    /// the suspension, from the moment the renewal was sent.
    pub fn token(&self, now: Moment) -> Option<u64> {
        self.token.filter(|_| self.lease_lasts(now))
    }

    fn lease_lasts(&self, now: Moment) -> bool {
        self.lease_until.is_some_and(|until| now + MARGIN < until)
    }
}

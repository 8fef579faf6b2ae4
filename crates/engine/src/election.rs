//! Who holds the failover duty: one process at a time, by a lease in the store.
//!
//! The fencing token is the stamp ([`crate::era`]) of the holder's key: it grows with every change of the
//! store, and when the store comes back from a copy, so a later holder always has a higher one.

use std::time::Duration;

use crate::{takeover::PROMOTION_COOLDOWN, time::Moment};

/// How long the store keeps the holder's key after its last renewal. Three renewals fit in, so a
/// lost answer does not end it. A holder that is cut off, or dies with a primary, is replaced within
/// it: until then nobody may replace a primary.
pub const LEASE_TTL: Duration = Duration::from_millis(2_000);

/// How often the lease is renewed; a renewal costs a tenth of a read, and only the holder makes
/// them.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(400);

/// How long before its end a lease is not relied on any more. Another process needs most of a
/// second from the end of the lease to its own promotion, and it waits for
/// [`PROMOTION_COOLDOWN`] after one that this process has written down.
const MARGIN: Duration = Duration::from_millis(800);

/// How long a process that has just started leaves a free duty to others: longer than those need to
/// see that it is free and to claim it.
const YIELD: Duration = Duration::from_millis(400);

/// How long a process that hears of the store from others leaves a free duty to those that watch it.
///
/// Load pattern: the duty falls free and hundreds of processes claim it before they can have heard that one
/// of them has it, with two calls each. The few that watch the store come first; the others only if
/// none of those could.
const LEAVE_TO_FEEDERS: Duration = Duration::from_millis(1_500);

/// How long after it saw the duty free a process of this `age` claims it at the earliest; `feeds` says
/// whether it watches the store itself.
///
/// Failure: proxies are stopped and started in turn, and one that has just started takes the duty over
/// from a holder that was cut off. It cannot know when a group's last promotion was, so it waits for
/// [`PROMOTION_COOLDOWN`] from its start, and a group whose primary was cut off with the holder has none for as
/// long. Guard: a process that is older than that goes first, if there is one.
pub fn claim_delay(age: Duration, feeds: bool) -> Duration {
    let yielded = match age < PROMOTION_COOLDOWN {
        true => YIELD,
        false => Duration::ZERO,
    };
    match feeds {
        true => yielded,
        false => yielded + LEAVE_TO_FEEDERS,
    }
}

/// What this process knows of the duty.
#[derive(Clone, Debug, Default)]
pub struct Election {
    /// The holder's name in the store, if its key is there.
    holder: Option<String>,
    /// This process's fencing token, while it holds the duty.
    token: Option<u64>,
    /// Until when this process's lease certainly lasts.
    lease_until: Option<Moment>,
    /// Until when another process may rely on a lease that the store has lost.
    others_until: Option<Moment>,
}

impl Election {
    /// Notes the holder's key as read from the store, or its absence. A key written by another
    /// process, or anew, ends this one's duty.
    pub fn note_holder(&mut self, holder: Option<(&str, u64)>) {
        let revision = holder.map(|(_, revision)| revision);
        if self.token.is_some() && self.token != revision {
            self.token = None;
        }
        self.holder = holder.map(|(name, _)| name.to_owned());
    }

    /// Notes that the lease was taken or renewed by a call sent at `sent`.
    pub fn note_renewal(&mut self, sent: Moment) {
        self.lease_until = Some(sent + LEASE_TTL);
    }

    /// Notes that the lease has ended.
    pub fn note_expiry(&mut self) {
        self.lease_until = None;
        self.token = None;
    }

    /// Notes that the store came back from a copy, without any lease.
    ///
    /// Failure: the holder has not heard of it and promotes under the lease that it had, while another
    /// process finds the duty free and promotes as well. Guard: nobody claims it before such a lease
    /// has run out on the holder's own clock.
    pub fn note_store_restored(&mut self, now: Moment) {
        self.note_expiry();
        self.others_until = Some(now + LEASE_TTL);
    }

    /// Whether this process may try to take the duty.
    pub fn may_claim(&self, now: Moment) -> bool {
        let awaited = self.others_until.is_some_and(|until| now < until);
        self.is_vacant() && !awaited
    }

    /// Notes that this process has written the holder's key at `token`.
    pub fn note_won(&mut self, name: &str, token: u64) {
        self.holder = Some(name.to_owned());
        self.token = Some(token);
    }

    /// Whether nobody holds the duty.
    pub fn is_vacant(&self) -> bool {
        self.holder.is_none()
    }

    /// Whether the holder's key is this process's, as far as is known.
    pub fn is_elected(&self) -> bool {
        self.token.is_some()
    }

    /// Whether the duty is free for this process to claim.
    pub fn can_acquire(&self, now: Moment) -> bool {
        self.is_vacant() && self.lease_lasts(now)
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

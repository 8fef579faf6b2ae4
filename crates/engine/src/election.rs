//! Elects the failover leader, the one process at a time that may promote servers, by a lease in
//! the key-value store.
//!
//! The fencing token is the stamp ([`crate::era`]) of the leader's key, so a later leader has a
//! higher token even if the store was restored from a backup.

use std::time::Duration;

use crate::{takeover::PROMOTION_COOLDOWN, time::Moment};

/// How long the store keeps the leader's key after the last renewal: several renewal intervals, so
/// that one lost answer does not end the lease. After a leader fails, no primary can be replaced
/// until the lease expires.
pub const LEASE_TTL: Duration = Duration::from_millis(2_000);

/// How often the leader renews its lease. A renewal costs the store a tenth of a read, and only the leader
/// makes them.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(400);

/// How long before its expiry a lease is no longer relied on. Another process promotes only
/// most of a second after the lease has expired, and not within [`PROMOTION_COOLDOWN`] of a promotion that this
/// process recorded.
const EXPIRY_MARGIN: Duration = Duration::from_millis(800);

/// How long a recently started process lets others claim a vacant leadership first: longer than these
/// need to see that it is vacant and to claim it.
const STARTUP_DELAY: Duration = Duration::from_millis(400);

/// How long a process that receives store changes through a relay lets the relays claim a vacant
/// leadership first. Otherwise hundreds of processes would send claims to the store before they
/// learn of the new leader.
const NON_RELAY_DELAY: Duration = Duration::from_millis(1_500);

/// The minimum time between seeing the leadership vacant and claiming it, for a process that
/// started `age` ago; `is_relay` tells whether it watches the store itself.
///
/// Older processes claim first: a recently started one does not know when a group's last promotion
/// was and promotes nothing until [`PROMOTION_COOLDOWN`] after its start. As leader, it would leave
/// groups whose primary failed together with the last leader without one until then.
pub fn claim_delay(age: Duration, is_relay: bool) -> Duration {
    let startup_delay = match age < PROMOTION_COOLDOWN {
        true => STARTUP_DELAY,
        false => Duration::ZERO,
    };
    match is_relay {
        true => startup_delay,
        false => startup_delay + NON_RELAY_DELAY,
    }
}

/// What this process knows about the leadership.
#[derive(Clone, Debug, Default)]
pub struct Election {
    /// The name in the leader's key, if the key exists.
    leader: Option<String>,
    /// This process's fencing token, while it is the leader.
    token: Option<u64>,
    /// The earliest time at which this process's lease can expire.
    lease_until: Option<Moment>,
    /// When every lease that the store lost in a restore has certainly expired.
    lost_lease_until: Option<Moment>,
}

impl Election {
    /// Records the leader's name and its key's stamp as read from the store, or the key's absence.
    /// A key at another stamp than this process's token ends its leadership.
    pub fn note_leader(&mut self, leader: Option<(&str, u64)>) {
        let revision = leader.map(|(_, revision)| revision);
        if self.token.is_some() && self.token != revision {
            self.token = None;
        }
        self.leader = leader.map(|(name, _)| name.to_owned());
    }

    /// Records that the lease was granted or renewed by a request sent at `sent`.
    pub fn note_renewal(&mut self, sent: Moment) {
        self.lease_until = Some(sent + LEASE_TTL);
    }

    /// Records that the lease has expired or was released.
    pub fn note_expiry(&mut self) {
        self.lease_until = None;
        self.token = None;
    }

    /// Records that the store was restored from a backup, which loses all leases.
    ///
    /// A leader that does not know of the restore still promotes under its old lease, so no process
    /// may claim the leadership until such a lease has expired on that leader's clock.
    pub fn note_store_restored(&mut self, now: Moment) {
        self.note_expiry();
        self.lost_lease_until = Some(now + LEASE_TTL);
    }

    /// Whether this process may request a lease to claim the leadership.
    pub fn may_claim(&self, now: Moment) -> bool {
        let lost_lease_may_be_valid = self.lost_lease_until.is_some_and(|until| now < until);
        self.is_vacant() && !lost_lease_may_be_valid
    }

    /// Records that this process has written the leader's key, at the stamp `token`.
    pub fn note_won(&mut self, name: &str, token: u64) {
        self.leader = Some(name.to_owned());
        self.token = Some(token);
    }

    /// Whether no process is known to be the leader.
    pub fn is_vacant(&self) -> bool {
        self.leader.is_none()
    }

    /// Whether this process is the leader as far as it knows; its lease may have expired.
    pub fn is_elected(&self) -> bool {
        self.token.is_some()
    }

    /// Whether the leadership is vacant and this process's lease lasts long enough to write the
    /// key.
    pub fn can_acquire(&self, now: Moment) -> bool {
        self.is_vacant() && self.is_lease_valid(now)
    }

    /// The fencing token, if this process is certain to stay the leader long enough for one more
    /// call.
    ///
    /// The lease counts from when its renewal was sent, on a clock that includes suspended time.
    /// Otherwise a leader could resume after another was elected and promote with its old token.
    pub fn token(&self, now: Moment) -> Option<u64> {
        self.token.filter(|_| self.is_lease_valid(now))
    }

    fn is_lease_valid(&self, now: Moment) -> bool {
        self.lease_until
            .is_some_and(|until| now + EXPIRY_MARGIN < until)
    }
}

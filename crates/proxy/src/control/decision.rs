//! Decides from the statuses that this proxy has read whether a group's primary must be replaced.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::view::{Group, Role};

/// The result of evaluating a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The group has a primary that is not known to have failed.
    Healthy,
    /// No primary is reachable, but too few replicas confirm its failure; or another proxy has
    /// claimed a term and may be promoting a server.
    Undecided,
    /// A quorum of replicas has not heard from the primary for the failover timeout.
    Failed,
    /// The primary is about to be stopped, and enough other servers can replace it.
    Leaving,
    /// A failover was not completed: a later term than the primary's is claimed in the record, or
    /// has been accepted by a server, which then accepts nothing from the primary.
    StaleTerm,
    /// There is a primary, but the key-value store (KV) has no record of the group, or one of an
    /// earlier term, or a claim of this term without a server.
    Unrecorded { term: u64, server: SocketAddr },
}

/// The quorum and timeouts of an evaluation.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How many servers must accept a new term.
    pub quorum: usize,
    /// How long a quorum of replicas must not have heard from the primary before it counts as
    /// failed.
    pub max_silence: Duration,
    /// How long after a promotion the replicas' silence is ignored.
    pub grace: Duration,
}

/// Evaluates `group`, whose current primary was first seen at `leader_since`.
///
/// A primary counts as failed only if a quorum of replicas have not heard from it for
/// `max_silence`, so a proxy that is itself partitioned does not replace a healthy primary. Whether
/// this proxy reaches the primary does not matter: without those replicas, it cannot commit.
///
/// Statuses read before a promotion still report the silence of the old primary, so they are
/// ignored for `grace` after the new one was recorded or first seen.
pub fn evaluate(
    group: &Group,
    leader_since: Option<Instant>,
    limits: Limits,
    now: Instant,
) -> Decision {
    if group.is_claimed(now) {
        return Decision::Undecided;
    }
    let recorded_at = group.stored.as_ref().map(|stored| stored.seen_at);
    let leading_since = recorded_at.max(leader_since);
    let past_grace = leading_since.is_none_or(|since| now.duration_since(since) >= limits.grace);
    let silent_replicas = group
        .fresh_statuses(now)
        .filter(|(_, status)| status.role == Role::Replica && status.silence >= limits.max_silence)
        .count();
    if silent_replicas >= limits.quorum && past_grace {
        return Decision::Failed;
    }
    match group
        .leader(now)
        .and_then(|index| Some((index, group.servers[index].status.get()?)))
    {
        None => Decision::Undecided,
        Some((index, led)) => match group.fresh_statuses(now).any(|(_, s)| s.term > led.term) {
            true => Decision::StaleTerm,
            false
                if group.servers[index].leaving
                    && staying_replicas(group, now) >= limits.quorum =>
            {
                Decision::Leaving
            }
            false => compare_record(group, led.term, group.servers[index].address),
        },
    }
}

/// The number of replicas with a fresh status that are not leaving.
fn staying_replicas(group: &Group, now: Instant) -> usize {
    group
        .fresh_statuses(now)
        .filter(|(index, status)| status.role == Role::Replica && !group.servers[*index].leaving)
        .count()
}

/// A claimant can be paused before any server has accepted its term. If its expired claim were
/// replaced by the primary's lower term, the next claimant would get the same term, and two
/// primaries with that term could overwrite each other's commits. The record's term therefore never
/// decreases: a later term is claimed, at which the servers refuse the paused claimant.
fn compare_record(group: &Group, term: u64, server: SocketAddr) -> Decision {
    let record = group.stored.as_ref().map(|stored| &stored.record);
    match record {
        Some(record) if record.server.is_none() && record.term > term => Decision::StaleTerm,
        Some(record) if record.server.is_some() && record.term >= term => Decision::Healthy,
        _ => Decision::Unrecorded { term, server },
    }
}

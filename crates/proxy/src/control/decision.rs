//! Whether a group's primary has to be replaced, judged from what this proxy sees.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::view::{Group, Role};

/// What the statuses of a group's servers say about its primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// There is a primary, and it is not known to have failed.
    Healthy,
    /// There is no primary in sight, but too few replicas miss it, or another proxy is at it.
    Undecided,
    /// Enough replicas have missed their primary.
    Failed,
    /// A primary leads, but it is about to be stopped, and enough others can replace it.
    Leaving,
    /// A primary leads, but a later term was claimed, or a server holds one and takes nothing
    /// from it: a failover stopped halfway.
    StaleTerm,
    /// A primary leads, but the KV has no record of it, or still says that its term is only
    /// claimed, or has an earlier one.
    Unrecorded { term: u64, server: SocketAddr },
}

/// What a judgement goes by, besides the statuses.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How many servers a new term needs.
    pub quorum: usize,
    /// How long those must have missed their primary.
    pub after: Duration,
    /// How long a new primary is given before anybody's silence counts against it.
    pub grace: Duration,
}

/// Judges `group`, led by the same server since `led_since`.
///
/// Failure: a proxy that is itself cut off from a sound primary would replace it. Guard: a
/// primary counts as failed only when a quorum of servers say they have not heard from it
/// for `after`; they would then also fence it off, so replacing it takes nothing away.
/// A primary that answers us but reaches no replica has failed too: it can commit nothing.
///
/// Failure: right after a promotion the last statuses still tell of the old primary's silence,
/// and the new one would be replaced in turn. Guard: for `grace` after it was recorded or
/// first seen, silence is not held against it.
pub fn evaluate(
    group: &Group,
    led_since: Option<Instant>,
    limits: Limits,
    now: Instant,
) -> Decision {
    if group.claimed(now) {
        return Decision::Undecided;
    }
    let recorded_at = group.stored.as_ref().map(|stored| stored.seen_at);
    let newest = recorded_at.max(led_since);
    let settled = newest.is_none_or(|since| now.duration_since(since) >= limits.grace);
    let missing = group
        .fresh_statuses(now)
        .filter(|(_, status)| status.role == Role::Replica && status.silence >= limits.after)
        .count();
    if missing >= limits.quorum && settled {
        return Decision::Failed;
    }
    match group
        .leader(now)
        .and_then(|index| Some((index, group.servers[index].status.get()?)))
    {
        None => Decision::Undecided,
        Some((index, led)) => match group.fresh_statuses(now).any(|(_, s)| s.term > led.term) {
            true => Decision::StaleTerm,
            false if group.servers[index].leaving && stay(group, now) >= limits.quorum => {
                Decision::Leaving
            }
            false => recorded(group, led.term, group.servers[index].address),
        },
    }
}

/// How many replicas are in sight and not leaving themselves.
fn stay(group: &Group, now: Instant) -> usize {
    group
        .fresh_statuses(now)
        .filter(|(index, status)| status.role == Role::Replica && !group.servers[*index].leaving)
        .count()
}

/// What the record has to say of a primary that leads at `term`.
///
/// Failure: a claimant is paused before a server has heard of its term. Its claim lapses, the
/// record goes back to the primary's lower term, and the next claimant gets the same term again:
/// when the first one goes on, two primaries lead at it and overwrite each other's commits.
/// Guard: the record never goes back; a later term is taken, which the servers then hold against
/// the paused claimant.
fn recorded(group: &Group, term: u64, server: SocketAddr) -> Decision {
    let record = group.stored.as_ref().map(|stored| &stored.record);
    match record {
        Some(record) if record.server.is_none() && record.term > term => Decision::StaleTerm,
        Some(record) if record.server.is_some() && record.term >= term => Decision::Healthy,
        _ => Decision::Unrecorded { term, server },
    }
}

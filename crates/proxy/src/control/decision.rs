//! Decides from the statuses that this proxy has read whether a group's primary must be replaced.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use dandelionpitch_core::position::Position;

use crate::view::{Group, Role, Status};

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
    /// How long after a promotion a status is requested for its silence to count.
    pub grace: Duration,
}

/// Evaluates `group`, whose current primary was first seen at `leader_since`.
///
/// A primary counts as failed only if a quorum of replicas have not heard from it for
/// `max_silence`, so a proxy that is itself partitioned does not replace a healthy primary. Whether
/// this proxy reaches the primary does not matter: without those replicas, it cannot commit.
///
/// Statuses requested before a promotion, or shortly after it, still report the silence of the old
/// primary, so those requested within `grace` after the new one was recorded or first seen are
/// ignored.
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
    if has_failed(group, leading_since, limits, now) {
        return Decision::Failed;
    }
    let Some((index, term)) = group.leader_and_term(now) else {
        return Decision::Undecided;
    };
    if group.fresh_statuses(now).any(|(_, s)| s.term > term) {
        return Decision::StaleTerm;
    }
    let leader = &group.servers[index];
    if leader.leaving && staying_replicas(group, now) >= limits.quorum {
        return Decision::Leaving;
    }
    compare_record(group, term, leader.address)
}

/// How many times longer a failure must last if a replica that confirms it has not followed the
/// primary at all. Such a replica may itself be partitioned, and the primary would be replaced
/// whenever one other replica is late.
const UNCONFIRMED_FACTOR: u32 = 2;

/// Whether a quorum of replicas has not heard from the primary, which leads since `leading_since`,
/// for long enough.
fn has_failed(group: &Group, leading_since: Option<Instant>, limits: Limits, now: Instant) -> bool {
    let led_for = |status: &Status| {
        leading_since.map_or(Duration::MAX, |since| status.read_at.duration_since(since))
    };
    let replicas: Vec<Status> = group
        .fresh_statuses(now)
        .map(|(_, status)| status)
        .filter(|status| status.role == Role::Replica && led_for(status) >= limits.grace)
        .collect();
    let followers = replicas
        .iter()
        .filter(|status| status.silence < led_for(status));
    let silent_followers = followers.filter(|status| status.silence >= limits.max_silence);
    let prolonged = limits.max_silence * UNCONFIRMED_FACTOR;
    let silent = replicas
        .iter()
        .filter(|status| status.silence.min(led_for(status)) >= prolonged);
    silent_followers.count() >= limits.quorum || silent.count() >= limits.quorum
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

/// A server that has accepted a new term.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    pub server: SocketAddr,
    /// The last log position that it has received.
    pub received: Position,
    pub leaving: bool,
    /// When it had last heard from a primary, or reported that it leads.
    pub last_contact: Option<Instant>,
}

/// The index of the server to promote: the most advanced one, among equals one that is not leaving,
/// and of those the one that has heard from a primary last, as one that has not for longer may be
/// partitioned from the others.
///
/// A server removed from the bundle may be the only one with a commit; it is then primary until
/// others have caught up.
pub fn choose(candidates: &[Candidate]) -> Option<usize> {
    let preference = |c: &Candidate| (c.received, !c.leaving, c.last_contact, c.server);
    let best = candidates
        .iter()
        .enumerate()
        .max_by_key(|(_, candidate)| preference(candidate));
    best.map(|(index, _)| index)
}

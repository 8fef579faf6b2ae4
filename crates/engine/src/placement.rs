//! Load balancing of reads over the servers of a database group.
//!
//! Servers are ordered by expected latency. The primary is chosen only if all replicas are clearly
//! slower, as it is the only server that accepts writes.

use std::time::Duration;

/// A server that may serve a read.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// In-flight and queued statements of this proxy.
    pub pending: usize,
    /// The limit on this proxy's connections.
    pub connections: usize,
    /// Mean latency of recent statements.
    pub latency: Duration,
    /// Whether it is the group's primary.
    pub primary: bool,
    /// Whether it is in another data centre.
    pub remote: bool,
    /// The time for opening a connection, if none is open for the caller's account.
    pub opening: Duration,
}

/// A primary gets a read only if its expected latency is lower than a replica's by this factor.
const PRIMARY_COST_FACTOR: f64 = 2.0;

/// Added for a server in another data centre: the round trip, for which traffic is also billed.
const REMOTE_COST: Duration = Duration::from_millis(2);

/// The cost of sending one more read to the server, in seconds of expected latency. A primary's
/// latency counts as at least `min_latency`.
fn cost(candidate: &Candidate, min_latency: Duration) -> f64 {
    let latency = match candidate.primary {
        true => candidate.latency.max(min_latency),
        false => candidate.latency,
    };
    let latency = latency.as_secs_f64().max(0.001);
    let queued = candidate.pending as f64 / candidate.connections.max(1) as f64;
    let wait = latency * (1.0 + queued) + candidate.opening.as_secs_f64();
    let remote = match candidate.remote {
        true => REMOTE_COST.as_secs_f64(),
        false => 0.0,
    };
    match candidate.primary {
        true => wait * PRIMARY_COST_FACTOR + remote,
        false => wait + remote,
    }
}

/// Returns the indexes of the candidates in the order to try them. The caller increments `rotation`
/// so that equal servers share the load. A primary's latency counts as no lower than the fastest
/// replica's, because it is dominated by short writes and says little about reads.
pub fn order(candidates: &[Candidate], rotation: usize) -> Vec<usize> {
    let count = candidates.len().max(1);
    let replicas = candidates.iter().filter(|candidate| !candidate.primary);
    let min_latency = replicas.map(|replica| replica.latency).min();
    let min_latency = min_latency.unwrap_or_default();
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by(|&a, &b| {
        let by_cost =
            cost(&candidates[a], min_latency).total_cmp(&cost(&candidates[b], min_latency));
        by_cost.then_with(|| ((a + rotation) % count).cmp(&((b + rotation) % count)))
    });
    order
}

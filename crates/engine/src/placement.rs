//! Which server a read goes to.
//!
//! Load pattern: reads outnumber writes by far, servers have a handful of slots each and one of
//! them may turn slow. So the expected wait decides, from this proxy's own work in progress there
//! and the time that work has lately taken; the primary is chosen only when replicas are clearly
//! worse, since writes have nowhere else to go.

use std::time::Duration;

/// What is known of one server that may serve a read.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Statements of this proxy running or waiting there.
    pub pending: usize,
    /// How many connections this proxy may use there.
    pub connections: usize,
    /// How long a statement has lately taken there.
    pub latency: Duration,
    /// It leads the group.
    pub primary: bool,
    /// It is in another data centre.
    pub remote: bool,
}

/// A primary must promise to be this much faster than a replica to get a read.
const PRIMARY_PENALTY: f64 = 2.0;

/// A round trip between data centres costs bytes that are priced, and about 2 ms.
const REMOTE_PENALTY: Duration = Duration::from_millis(2);

/// The cost of putting one more read on the server, in seconds of expected wait; on a primary it
/// takes at least `usual`.
fn cost(candidate: &Candidate, usual: Duration) -> f64 {
    let latency = match candidate.primary {
        true => candidate.latency.max(usual),
        false => candidate.latency,
    };
    let latency = latency.as_secs_f64().max(0.001);
    let queued = candidate.pending as f64 / candidate.connections.max(1) as f64;
    let wait = latency * (1.0 + queued);
    let remote = match candidate.remote {
        true => REMOTE_PENALTY.as_secs_f64(),
        false => 0.0,
    };
    match candidate.primary {
        true => wait * PRIMARY_PENALTY + remote,
        false => wait + remote,
    }
}

/// The candidates in the order to try them; `turn` breaks ties so that equal servers share.
///
/// What a statement lately took on the primary says little of a read there: writes are short. So the
/// time is not taken to be less than at the quickest replica.
pub fn order(candidates: &[Candidate], turn: usize) -> Vec<usize> {
    let count = candidates.len().max(1);
    let replicas = candidates.iter().filter(|candidate| !candidate.primary);
    let usual = replicas.map(|replica| replica.latency).min();
    let usual = usual.unwrap_or_default();
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by(|&a, &b| {
        let by_cost = cost(&candidates[a], usual).total_cmp(&cost(&candidates[b], usual));
        by_cost.then_with(|| ((a + turn) % count).cmp(&((b + turn) % count)))
    });
    order
}

//! Linearizable reads, which run on the known primary if its lease covers their arrival.

use dandelionpitch_core::position::Position;
use dandelionpitch_engine::freshness::{Watermark, Watermarks};

use super::{
    super::{
        cluster::{moment, Cluster},
        message::Message,
        scenario::STEP_MS,
        server::Entry,
        view::server_index,
    },
    Proxy,
};

const READ_INTERVAL_STEPS: u64 = 4;
const BOUNDED_READ_INTERVAL_STEPS: u64 = 8;

/// How long a read waits to be covered by the lease.
const READ_TIMEOUT_STEPS: u64 = 30;

/// How stale bounded reads may be. Shorter than that of most routes, so that more faults are found.
const STALENESS_STEPS: u64 = 500 / STEP_MS;

/// The reads of one proxy.
#[derive(Default)]
pub struct Reads {
    /// The watermarks that quorums have proved.
    pub marks: Watermarks,
    /// The arrival times of reads that wait for the lease.
    waiting: Vec<u64>,
    /// The newest known position of the known primary's log.
    newest: Option<Position>,
}

impl Reads {
    /// Starts over with a new primary, whose log ended at `position` when it reported its role.
    pub fn reset(&mut self, position: Position) {
        self.newest = Some(position);
    }

    pub fn note_position(&mut self, position: Position) {
        self.newest = self.newest.max(Some(position));
    }

    /// Whether a read waits to be covered by the lease or a quorum.
    pub fn are_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}

impl Proxy {
    /// Adds new reads, drops those that have timed out, and sends those that the lease covers.
    pub(super) fn advance_reads(&mut self, cluster: &mut Cluster) {
        let now = cluster.now;
        if now.is_multiple_of(READ_INTERVAL_STEPS) {
            self.reads.waiting.push(now);
        }
        if now.is_multiple_of(BOUNDED_READ_INTERVAL_STEPS) {
            self.send_bounded_read(cluster);
        }
        self.reads
            .waiting
            .retain(|arrived| now - arrived < READ_TIMEOUT_STEPS);
        let Some((leader, _)) = &self.leader else {
            return;
        };
        let (proxy, server) = (self.number, server_index(leader));
        let required = self.reads.newest.unwrap_or_default();
        let lease = self.lease;
        let (covered, waiting) = self
            .reads
            .waiting
            .drain(..)
            .partition(|arrived| lease.covers(moment(*arrived)));
        self.reads.waiting = waiting;
        let covered: Vec<u64> = covered;
        for arrived in covered {
            let delay = cluster.draw(4);
            cluster.send(
                delay,
                Message::Read {
                    proxy,
                    server,
                    arrived,
                    required,
                },
            );
        }
    }

    /// Sends a read with a staleness bound, if no lease covers it and a quorum's watermark is recent
    /// enough.
    fn send_bounded_read(&mut self, cluster: &mut Cluster) {
        if self.lease.covers(moment(cluster.now)) {
            return;
        }
        let since = cluster.now.saturating_sub(STALENESS_STEPS);
        if let Some(mark) = self.reads.marks.floor(moment(since)) {
            self.send_to_any(cluster, since, mark.position);
        }
    }

    /// Sends the waiting reads that the watermark of a quorum covers.
    pub(super) fn send_quorum_reads(&mut self, cluster: &mut Cluster, mark: Watermark) {
        let is_covered = |arrived: &u64| moment(*arrived) <= mark.asked;
        let (covered, waiting) = self.reads.waiting.drain(..).partition(is_covered);
        self.reads.waiting = waiting;
        let covered: Vec<u64> = covered;
        for arrived in covered {
            self.send_to_any(cluster, arrived, mark.position);
        }
    }

    /// Sends a read to any server. It must see every commit confirmed before `since`.
    fn send_to_any(&self, cluster: &mut Cluster, since: u64, required: Position) {
        let entries = self.view.entries();
        if entries.is_empty() {
            return;
        }
        let nth = cluster.draw(entries.len() as u64) as usize;
        let server = server_index(&entries[nth].server.incarnation);
        cluster.quorum_reads += 1;
        let (proxy, delay) = (self.number, cluster.draw(4));
        cluster.send(
            delay,
            Message::Read {
                proxy,
                server,
                arrived: since,
                required,
            },
        );
    }

    /// Returns rows to the caller, unless the server's log shows that it no longer leads.
    pub(super) fn receive_rows(
        &mut self,
        cluster: &mut Cluster,
        server: usize,
        position: Position,
        missed: Option<Entry>,
    ) {
        let known = self.leader.clone();
        if let Some((_, term)) = known.filter(|(id, _)| server_index(id) == server) {
            if position.term > term {
                return self.clear_leader_if(server);
            }
            self.reads.note_position(position);
        }
        cluster.return_rows(self.number, server, missed);
    }
}

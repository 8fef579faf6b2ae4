//! Linearizable reads, which run on the known primary if its lease covers their arrival.

use dandelionpitch_core::position::Position;

use super::{
    super::{
        cluster::{moment, Cluster},
        message::Message,
        server::Entry,
        view::server_index,
    },
    Proxy,
};

const READ_INTERVAL_STEPS: u64 = 4;

/// How long a read waits to be covered by the lease.
const READ_TIMEOUT_STEPS: u64 = 30;

/// The reads of one proxy.
#[derive(Default)]
pub struct Reads {
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
}

impl Proxy {
    /// Adds new reads, drops those that have timed out, and sends those that the lease covers.
    pub(super) fn advance_reads(&mut self, cluster: &mut Cluster) {
        let now = cluster.now;
        if now.is_multiple_of(READ_INTERVAL_STEPS) {
            self.reads.waiting.push(now);
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

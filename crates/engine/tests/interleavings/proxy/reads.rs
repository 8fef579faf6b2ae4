//! Reads that must see every commit: they run on the known primary while its lease covers their arrival.

use dandelionpitch_core::position::Position;

use super::{
    super::{
        cluster::{moment, Cluster},
        message::Mail,
        server::Entry,
        view::index,
    },
    Proxy,
};

/// How many steps are between two reads.
const READ_EVERY: u64 = 4;

/// How many steps a read waits for the proof.
const PATIENCE: u64 = 30;

/// The reads of one proxy.
#[derive(Default)]
pub struct Reads {
    /// When those came that wait for the lease.
    waiting: Vec<u64>,
    /// The newest position that the known primary's log is known to have had.
    newest: Option<Position>,
}

impl Reads {
    /// Another primary is known, whose log went up to `position` when it said that it leads.
    pub fn led_anew(&mut self, position: Position) {
        self.newest = Some(position);
    }

    /// Notes a position of the known primary's log.
    pub fn position(&mut self, position: Position) {
        self.newest = self.newest.max(Some(position));
    }
}

impl Proxy {
    /// Takes new reads and sends those that the lease covers.
    pub(super) fn keep_reads(&mut self, cluster: &mut Cluster) {
        let now = cluster.now;
        if now.is_multiple_of(READ_EVERY) {
            self.reads.waiting.push(now);
        }
        self.reads.waiting.retain(|since| now - since < PATIENCE);
        let Some((leader, _)) = &self.leader else {
            return;
        };
        let (proxy, server) = (self.number, index(leader));
        let after = self.reads.newest.unwrap_or_default();
        let lease = self.lease;
        let (covered, waiting) = self
            .reads
            .waiting
            .drain(..)
            .partition(|since| lease.covers(moment(*since)));
        self.reads.waiting = waiting;
        let covered: Vec<u64> = covered;
        for since in covered {
            let delay = cluster.draw(4);
            cluster.post(
                delay,
                Mail::Read {
                    proxy,
                    server,
                    since,
                    after,
                },
            );
        }
    }

    /// Hands rows on, unless the server's log shows that it leads no more.
    pub(super) fn rows(
        &mut self,
        cluster: &mut Cluster,
        server: usize,
        position: Position,
        missed: Option<Entry>,
    ) {
        let known = self.leader.clone();
        if let Some((_, term)) = known.filter(|(id, _)| index(id) == server) {
            if position.term > term {
                return self.depose(server);
            }
            self.reads.position(position);
        }
        cluster.hand(self.number, server, missed);
    }
}

//! Reads that must see every commit, and what they should have seen.

use dandelionpitch_core::position::Position;

use super::{
    super::{message::Mail, scenario::proxy_node, server::Entry},
    Cluster,
};

impl Cluster {
    /// Runs a read on whatever a server has, if that goes up to `after`.
    pub(super) fn read(&mut self, proxy: usize, server: usize, since: u64, after: Position) {
        let one = &self.servers[server];
        let position = one.status(self.scenario.by_server).received;
        if !self.reach(proxy_node(proxy), server) || position < after {
            return;
        }
        let reported = self.reported.partition_point(|at| *at < since);
        let missed = |entry: &&Entry| !one.has(entry);
        let missed = self.kept[..reported].iter().rev().find(missed).copied();
        let delay = self.draw(4);
        self.post(
            delay,
            Mail::Rows {
                proxy,
                server,
                position,
                missed,
            },
        );
    }

    /// A proxy hands rows to its caller.
    pub fn hand(&mut self, proxy: usize, server: usize, missed: Option<Entry>) {
        self.reads += 1;
        if let Some(entry) = missed {
            let stale = format!("STALE proxy {proxy} read on s{server}, which lacks {entry:?}");
            self.note(|| stale.clone());
            self.stale.get_or_insert(stale);
        }
    }
}

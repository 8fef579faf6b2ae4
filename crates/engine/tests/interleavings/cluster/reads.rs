//! Runs linearizable reads and checks that they see every commit confirmed before they arrived.

use dandelionpitch_core::position::Position;

use super::{
    super::{message::Message, scenario::proxy_node, server::Entry},
    Cluster,
};

impl Cluster {
    /// Runs a read on a server whose log reaches `required`, whether or not it is the primary.
    pub(super) fn handle_read(
        &mut self,
        proxy: usize,
        server: usize,
        arrived: u64,
        required: Position,
    ) {
        let source = &self.servers[server];
        let position = source.status(self.scenario.use_server_term).received;
        if !self.can_reach(proxy_node(proxy), server) || position < required {
            return;
        }
        let confirmed_before = self.confirmed_at.partition_point(|at| *at < arrived);
        let is_missed = |entry: &&Entry| !source.has_entry(entry);
        let missed = self.confirmed[..confirmed_before]
            .iter()
            .rev()
            .find(is_missed)
            .copied();
        let delay = self.draw(4);
        self.send(
            delay,
            Message::Rows {
                proxy,
                server,
                position,
                missed,
            },
        );
    }

    /// Notes that a proxy has returned the rows of a read to its caller.
    pub fn return_rows(&mut self, proxy: usize, server: usize, missed: Option<Entry>) {
        self.reads += 1;
        if let Some(entry) = missed {
            let stale = format!("STALE proxy {proxy} read on s{server}, which lacks {entry:?}");
            self.trace(|| stale.clone());
            self.stale.get_or_insert(stale);
        }
    }
}

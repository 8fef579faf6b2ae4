//! How many connections one proxy may keep to one server.

use std::time::Duration;

use dandelionpitch_core::hash::Map;

use crate::time::Moment;

/// Connections of a server that stay free for proxies that come while old ones still count, and
/// for the questions of the failover role.
const RESERVE: u32 = 3;

/// How long a proxy that was seen still counts: its lease may have lapsed because it is cut off from
/// the store while it holds its connections to the servers.
///
/// Failure: two of seven proxies lose the store, the others share out their connections, and the
/// server refuses new ones to all. Guard: shares grow only after a cut-off machine is likely to
/// be back or gone.
const REMEMBERED: Duration = Duration::from_secs(20);

/// The proxies that share the servers' connections.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Each with the moment at which it went missing.
    seen: Map<String, Option<Moment>>,
}

impl Members {
    /// Notes a proxy that is there.
    pub fn present(&mut self, name: &str) {
        self.seen.insert(name.to_owned(), None);
    }

    /// Notes a proxy that is not there any more.
    pub fn missing(&mut self, name: &str, now: Moment) {
        if let Some(since) = self.seen.get_mut(name) {
            since.get_or_insert(now);
        }
    }

    /// Takes a complete list.
    pub fn replace<'a>(&mut self, names: impl Iterator<Item = &'a str>, now: Moment) {
        for since in self.seen.values_mut() {
            since.get_or_insert(now);
        }
        names.for_each(|name| self.present(name));
    }

    /// How many share the connections; at least one.
    pub fn count(&mut self, now: Moment) -> usize {
        let counts = |since: &Option<Moment>| since.is_none_or(|at| now.since(at) < REMEMBERED);
        self.seen.retain(|_, since| counts(since));
        self.seen.len().max(1)
    }
}

/// This proxy's share of a server's `max_connections` among `members` live proxies; at least one.
///
/// Load pattern: callers are spread unevenly, so the share is a ceiling and not a reservation;
/// the sum of all shares stays below the server's limit, so a proxy within its share is refused
/// only while machines are being replaced.
pub fn connections(max_connections: u32, members: usize) -> usize {
    let usable = max_connections.saturating_sub(RESERVE) as usize;
    (usable / members.max(1)).max(1)
}

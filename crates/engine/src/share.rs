//! How many connections one proxy may keep to one server.

/// Connections of a server that stay free for proxies that come while old ones still count, and
/// for the questions of the failover role.
const RESERVE: u32 = 3;

/// This proxy's share of a server's `max_connections` among `members` live proxies; at least one.
///
/// Load pattern: callers are spread unevenly, so the share is a ceiling and not a reservation;
/// the sum of all shares stays below the server's limit, so a proxy within its share is refused
/// only while machines are being replaced.
pub fn connections(max_connections: u32, members: usize) -> usize {
    let usable = max_connections.saturating_sub(RESERVE) as usize;
    (usable / members.max(1)).max(1)
}

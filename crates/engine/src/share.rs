//! How many connections one proxy may keep to one server.

/// Connections of a server that stay free for proxies that come while old ones still count, and
/// for the questions of the failover role.
const RESERVE: u32 = 3;

/// How many connections all proxies together keep for each slot of a server. A transaction holds one
/// through its caller's pauses, so one a slot is too few; each more lengthens the server's own queue,
/// where the order of arrival counts and not what is due first.
pub const PER_SLOT: usize = 3;

/// The fewest connections a proxy needs to a server: one that a transaction holds must not stop all
/// other statements.
pub const MIN_PER_PROXY: usize = 2;

/// This proxy's share of the connections to a server with `slots` slots that takes `max_connections`
/// from `members` live proxies together; at least one.
///
/// Load pattern: replicas fall behind, all reads go to the primary, and its queue grows to several
/// times its slots: every statement is late, and those of transactions several times over. With
/// fewer connections the work waits in the proxies, by priority and due time, and what would be
/// late is refused on arrival.
pub fn connections(max_connections: u32, slots: u32, members: usize) -> usize {
    let members = members.max(1);
    let usable = usable(max_connections);
    let useful = (slots as usize * PER_SLOT)
        .div_ceil(members)
        .max(MIN_PER_PROXY);
    (usable / members).min(useful).max(1)
}

/// How many of a server's connections the proxies share out.
pub fn usable(max_connections: u32) -> usize {
    max_connections.saturating_sub(RESERVE) as usize
}

//! Divides the connections that a server accepts among the proxies.

/// Connections of each server that are not divided among the proxies: for the failover leader's
/// status requests, and for new proxies while stopped ones still count.
const RESERVED: u32 = 3;

/// How many connections all proxies together open per slot of a server. More than one, because a
/// transaction holds its connection while its caller is idle; not many more, because a server runs
/// queued statements in order of arrival rather than by deadline.
pub const PER_SLOT: usize = 3;

/// Minimum connections of one proxy to a server, so that one used by an open transaction does not
/// block all other statements.
pub const MIN_PER_PROXY: usize = 2;

/// One proxy's share of the connections to a server with `slots` slots that accepts
/// `max_connections` from all `members` live proxies together; at least one.
///
/// While replicas lag, all reads go to the primary, and its queue would grow to several times its slots:
/// every statement would be late, and those of transactions several times over.
/// The slots limit the share so that, under overload, statements wait in the proxies, which order
/// them by priority and deadline and refuse late ones, and not in the server's queue.
pub fn connections(max_connections: u32, slots: u32, members: usize) -> usize {
    let members = members.max(1);
    let usable = usable(max_connections);
    let useful = (slots as usize * PER_SLOT)
        .div_ceil(members)
        .max(MIN_PER_PROXY);
    (usable / members).min(useful).max(1)
}

/// How many of a server's `max_connections` the proxies share.
pub fn usable(max_connections: u32) -> usize {
    max_connections.saturating_sub(RESERVED) as usize
}

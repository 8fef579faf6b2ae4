//! Key names in the platform KV. One place, so the CLI and the proxy agree.

/// The prefix of what every proxy follows, with one watch: the bundle and the primary records.
pub const SITE_PREFIX: &str = "/dandelionpitch/site/";

/// The key that holds the bundle in force, as TOML text.
pub const BUNDLE: &str = "/dandelionpitch/site/bundle";

/// The prefix under which each proxy keeps its heartbeat record, with a lease.
pub const PROXY_PREFIX: &str = "/dandelionpitch/proxy/";

/// The key of one proxy's heartbeat record.
pub fn proxy(id: &str) -> String {
    format!("{PROXY_PREFIX}{id}")
}

/// The prefix under which the record of each group's primary lies.
pub const PRIMARY_PREFIX: &str = "/dandelionpitch/site/primary/";

/// The key of one group's primary record.
pub fn primary(group: &str) -> String {
    format!("{PRIMARY_PREFIX}{group}")
}

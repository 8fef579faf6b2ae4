//! Key names in the platform KV. One place, so the CLI and the proxy agree.

/// The prefix of what every proxy follows, with one watch: the bundle, the primary records and
/// the heartbeat records. Renewing a heartbeat's lease changes no key, so it wakes no watch.
pub const SITE_PREFIX: &str = "/dandelionpitch/site/";

/// The key that holds the bundle in force, as TOML text.
pub const BUNDLE: &str = "/dandelionpitch/site/bundle";

/// The prefix under which each proxy keeps its heartbeat record, with a lease.
pub const PROXY_PREFIX: &str = "/dandelionpitch/site/proxy/";

/// The key of one proxy's heartbeat record.
pub fn proxy(dc: &str, id: &str) -> String {
    format!("{PROXY_PREFIX}{dc}/{id}")
}

/// The data centre and the id in a heartbeat record's key; `None` for any other key.
pub fn parse_proxy_key(key: &str) -> Option<(&str, &str)> {
    key.strip_prefix(PROXY_PREFIX)?.split_once('/')
}

/// The prefix under which the record of each group's primary lies.
pub const PRIMARY_PREFIX: &str = "/dandelionpitch/site/primary/";

/// The key of one group's primary record.
pub fn primary(group: &str) -> String {
    format!("{PRIMARY_PREFIX}{group}")
}

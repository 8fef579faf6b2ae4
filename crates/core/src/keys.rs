//! Key names in the platform KV. One place, so the CLI and the proxy agree.

/// The key that holds the bundle in force, as TOML text.
pub const BUNDLE: &str = "/dandelionpitch/bundle";

/// The prefix under which each proxy keeps its heartbeat record, with a lease.
pub const PROXY_PREFIX: &str = "/dandelionpitch/proxy/";

/// The key of one proxy's heartbeat record.
pub fn proxy(id: &str) -> String {
    format!("{PROXY_PREFIX}{id}")
}

//! Key names in the platform KV, shared by the CLI and the proxy.

/// Prefix of the bundle, the primary records and the heartbeat records, so that a proxy can observe
/// all of them with a single watch. Renewing the lease of a heartbeat record changes no key and
/// triggers no watch event.
pub const SITE_PREFIX: &str = "/dandelionpitch/site/";

/// Key of the current bundle, as TOML text.
pub const BUNDLE: &str = "/dandelionpitch/site/bundle";

/// Prefix of the proxies' heartbeat records, each of which is attached to a lease.
pub const PROXY_PREFIX: &str = "/dandelionpitch/site/proxy/";

/// Returns the key of the heartbeat record of proxy `id` in data centre `dc`.
pub fn proxy(dc: &str, id: &str) -> String {
    format!("{PROXY_PREFIX}{dc}/{id}")
}

/// Returns the data centre and the proxy id of a heartbeat key, or `None` for any other key.
pub fn parse_proxy_key(key: &str) -> Option<(&str, &str)> {
    key.strip_prefix(PROXY_PREFIX)?.split_once('/')
}

/// Prefix of the groups' primary records.
pub const PRIMARY_PREFIX: &str = "/dandelionpitch/site/primary/";

/// Returns the key of a group's primary record.
pub fn primary(group: &str) -> String {
    format!("{PRIMARY_PREFIX}{group}")
}

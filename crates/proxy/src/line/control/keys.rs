//! The keys that proxies write to the store to announce themselves and the failover leader.

use std::net::SocketAddr;

use dandelionpitch_engine::ownership::Peer;
use serde::{Deserialize, Serialize};

/// The key of the failover leader; its value is the name of the leader's process.
pub const LEADER: &str = "dandelionpitch/duty";

/// The prefix of the live proxies' keys, followed by the proxy's id.
const MEMBER_PREFIX: &str = "dandelionpitch/member/";

/// The prefix of the relays' keys, followed by the proxy's id. The value is that of the proxy's own key.
pub const RELAY_PREFIX: &str = "dandelionpitch/relay/";

/// JSON representation of a live proxy.
#[derive(Deserialize, Serialize)]
struct Entry<'a> {
    /// The name of the process, unique to this incarnation of the proxy.
    name: &'a str,
    dc: &'a str,
    /// Where it accepts statements from other proxies, if it does.
    peer: Option<SocketAddr>,
    capacity: f64,
}

/// The key of the live proxy `id`.
pub fn member_key(id: &str) -> String {
    format!("{MEMBER_PREFIX}{id}")
}

/// The key of the relay `id`.
pub fn relay_key(id: &str) -> String {
    format!("{RELAY_PREFIX}{id}")
}

/// Encodes a live proxy; without a `peer` address, no statements are forwarded to it.
pub fn encode_member(
    name: &str,
    dc: &str,
    peer: Option<SocketAddr>,
    capacity: f64,
) -> Result<Vec<u8>, serde_json::Error> {
    serde_json::to_vec(&Entry {
        name,
        dc,
        peer,
        capacity,
    })
}

/// The id of the live proxy with this key; `None` for other keys.
pub fn member_id(key: &str) -> Option<&str> {
    key.strip_prefix(MEMBER_PREFIX)
}

/// The name of the process that wrote a live proxy's entry; `None` if the entry is invalid.
pub fn member_process(value: &[u8]) -> Option<&str> {
    let entry: Entry<'_> = serde_json::from_slice(value).ok()?;
    Some(entry.name)
}

/// Decodes the live proxy `id`; returns `None` if no statements can be forwarded to it.
pub fn decode_member(id: &str, value: &[u8]) -> Result<Option<Peer>, serde_json::Error> {
    let entry: Entry<'_> = serde_json::from_slice(value)?;
    let capacity = entry.capacity.max(1.0);
    Ok(entry.peer.map(|address| Peer {
        id: id.to_owned(),
        dc: entry.dc.to_owned(),
        address,
        capacity,
    }))
}

//! The proxies' own keys in the store: who is there, who holds the failover duty.

use std::net::SocketAddr;

use dandelionpitch_engine::ownership::Peer;
use serde::{Deserialize, Serialize};

/// The key of the failover duty; its value is the holder's name.
pub const LEADER: &str = "dandelionpitch/duty";

/// The prefix of the keys by which proxies show that they are there.
const MEMBER_PREFIX: &str = "dandelionpitch/member/";

/// What the entry of a proxy says.
#[derive(Deserialize, Serialize)]
struct Entry<'a> {
    /// The process, unique among all that ever ran.
    name: &'a str,
    dc: &'a str,
    /// Where it takes statements of other proxies, if it does.
    peer: Option<SocketAddr>,
    capacity: f64,
}

/// The key of a proxy's entry.
pub fn member_key(id: &str) -> String {
    format!("{MEMBER_PREFIX}{id}")
}

/// The value of a proxy's entry; without an address it takes no statements of others.
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

/// The proxy that a key names.
pub fn member_id(key: &str) -> Option<&str> {
    key.strip_prefix(MEMBER_PREFIX)
}

/// How the proxy `id` is reached for statements, by its entry.
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

//! The messages of the etcd v3 JSON gateway that the client and the stand-in KV use.
//!
//! The gateway encodes keys and values in base64 and 64-bit numbers as decimal strings;
//! [`number`] also accepts plain JSON numbers.

use base64::{engine::general_purpose::STANDARD, Engine};
use serde::{Deserialize, Serialize};

use crate::{era, Error};

/// Serde functions for 64-bit numbers that are encoded as strings.
pub mod number {
    use serde::{de::Error, Deserialize, Deserializer, Serializer};

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Either {
        Text(String),
        Number(i128),
    }

    pub fn serialize<T: ToString, S: Serializer>(value: &T, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_str(&value.to_string())
    }

    /// Deserializes a decimal string or a number.
    pub fn deserialize<'de, T, D>(input: D) -> Result<T, D::Error>
    where
        T: TryFrom<i128>,
        D: Deserializer<'de>,
    {
        let wide = match Either::deserialize(input)? {
            Either::Text(text) => text.parse::<i128>().map_err(D::Error::custom)?,
            Either::Number(number) => number,
        };
        T::try_from(wide).map_err(|_| D::Error::custom("number out of range"))
    }
}

fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

fn decode(text: &str) -> Result<Vec<u8>, Error> {
    STANDARD
        .decode(text)
        .map_err(|error| Error::KvAnswer(format!("invalid base64: {error}")))
}

/// Returns the exclusive end of the range of keys that start with `prefix`.
///
/// If there is no upper bound, this is a zero byte, which etcd defines as the end of the key space.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// The header of every response.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Header {
    /// The KV's revision at the time of the response.
    #[serde(with = "number", default)]
    pub revision: u64,
}

/// A decoded key and value with their metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    pub key: String,
    pub value: Vec<u8>,
    pub create_revision: u64,
    pub mod_revision: u64,
    pub version: u64,
    pub lease: i64,
}

/// JSON representation of [`KeyValue`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct WireKeyValue {
    pub key: String,
    #[serde(default)]
    pub value: String,
    #[serde(with = "number", default)]
    pub create_revision: u64,
    #[serde(with = "number", default)]
    pub mod_revision: u64,
    #[serde(with = "number", default)]
    pub version: u64,
    #[serde(with = "number", default)]
    pub lease: i64,
}

impl TryFrom<WireKeyValue> for KeyValue {
    type Error = Error;

    fn try_from(wire: WireKeyValue) -> Result<Self, Self::Error> {
        let key = String::from_utf8(decode(&wire.key)?)
            .map_err(|_| Error::KvAnswer("key is not UTF-8".to_owned()))?;
        Ok(Self {
            key,
            value: decode(&wire.value)?,
            create_revision: wire.create_revision,
            mod_revision: wire.mod_revision,
            version: wire.version,
            lease: wire.lease,
        })
    }
}

impl KeyValue {
    /// Converts the revisions to stamps of `era`.
    fn stamped(self, era: u64) -> Self {
        Self {
            create_revision: era::stamp(era, self.create_revision),
            mod_revision: era::stamp(era, self.mod_revision),
            ..self
        }
    }
}

impl From<&KeyValue> for WireKeyValue {
    fn from(kv: &KeyValue) -> Self {
        Self {
            key: encode(kv.key.as_bytes()),
            value: encode(&kv.value),
            create_revision: kv.create_revision,
            mod_revision: kv.mod_revision,
            version: kv.version,
            lease: kv.lease,
        }
    }
}

/// `POST /v3/kv/range`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RangeRequest {
    pub key: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub range_end: String,
}

impl RangeRequest {
    pub fn key(key: &str) -> Self {
        Self {
            key: encode(key.as_bytes()),
            range_end: String::new(),
        }
    }

    pub fn prefix(prefix: &str) -> Self {
        Self {
            key: encode(prefix.as_bytes()),
            range_end: encode(&prefix_end(prefix.as_bytes())),
        }
    }

    /// Decodes the first key and, for a range, the exclusive end.
    pub fn bounds(&self) -> Result<(Vec<u8>, Option<Vec<u8>>), Error> {
        let end = match self.range_end.is_empty() {
            true => None,
            false => Some(decode(&self.range_end)?),
        };
        Ok((decode(&self.key)?, end))
    }
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RangeResponse {
    #[serde(default)]
    pub header: Header,
    #[serde(default)]
    pub kvs: Vec<WireKeyValue>,
}

impl RangeResponse {
    /// Decodes the key-value pairs, with their revisions as stamps of `era`.
    pub fn into_values(self, era: u64) -> Result<Vec<KeyValue>, Error> {
        let convert = |wire| KeyValue::try_from(wire).map(|kv| kv.stamped(era));
        self.kvs.into_iter().map(convert).collect()
    }
}

/// `POST /v3/kv/put`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PutRequest {
    pub key: String,
    pub value: String,
    #[serde(with = "number", default)]
    pub lease: i64,
}

impl PutRequest {
    /// Creates a request to write `value` under `key`, attached to `lease` if given.
    pub fn new(key: &str, value: &[u8], lease: Option<i64>) -> Self {
        Self {
            key: encode(key.as_bytes()),
            value: encode(value),
            lease: lease.unwrap_or_default(),
        }
    }

    pub fn decoded(&self) -> Result<(String, Vec<u8>), Error> {
        let key = String::from_utf8(decode(&self.key)?)
            .map_err(|_| Error::KvAnswer("key is not UTF-8".to_owned()))?;
        Ok((key, decode(&self.value)?))
    }
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PutResponse {
    #[serde(default)]
    pub header: Header,
}

/// A comparison of a transaction; only target `MOD` with result `EQUAL` is used.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Compare {
    pub key: String,
    pub target: String,
    pub result: String,
    #[serde(with = "number", default)]
    pub mod_revision: u64,
}

/// An operation of a transaction; only puts are used.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RequestOp {
    pub request_put: PutRequest,
}

/// `POST /v3/kv/txn`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct TxnRequest {
    #[serde(default)]
    pub compare: Vec<Compare>,
    #[serde(default)]
    pub success: Vec<RequestOp>,
    #[serde(default)]
    pub failure: Vec<RequestOp>,
}

impl TxnRequest {
    /// Creates a put on condition that the key was last written at `mod_revision`; zero requires
    /// that the key does not exist.
    pub fn put_if(key: &str, value: &[u8], mod_revision: u64) -> Self {
        Self {
            compare: vec![Compare {
                key: encode(key.as_bytes()),
                target: "MOD".to_owned(),
                result: "EQUAL".to_owned(),
                mod_revision,
            }],
            success: vec![RequestOp {
                request_put: PutRequest::new(key, value, None),
            }],
            failure: Vec::new(),
        }
    }
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct TxnResponse {
    #[serde(default)]
    pub header: Header,
    #[serde(default)]
    pub succeeded: bool,
}

/// `POST /v3/lease/grant`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LeaseGrantRequest {
    #[serde(rename = "TTL", with = "number")]
    pub ttl: u64,
    #[serde(rename = "ID", with = "number", default)]
    pub id: i64,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LeaseGrantResponse {
    #[serde(default)]
    pub header: Header,
    #[serde(rename = "ID", with = "number")]
    pub id: i64,
    #[serde(rename = "TTL", with = "number")]
    pub ttl: u64,
}

/// `POST /v3/lease/keepalive`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LeaseKeepAliveRequest {
    #[serde(rename = "ID", with = "number")]
    pub id: i64,
}

/// The result of a keepalive; a TTL of zero means that the lease has expired.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LeaseKeepAliveResult {
    #[serde(rename = "ID", with = "number")]
    pub id: i64,
    #[serde(rename = "TTL", with = "number", default)]
    pub ttl: u64,
}

/// Response to [`LeaseKeepAliveRequest`], wrapped in a `result` like all streamed responses.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LeaseKeepAliveResponse {
    pub result: LeaseKeepAliveResult,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct WatchCreateRequest {
    pub key: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub range_end: String,
    #[serde(with = "number", default)]
    pub start_revision: u64,
}

/// `POST /v3/watch`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct WatchRequest {
    pub create_request: WatchCreateRequest,
}

impl WatchRequest {
    pub fn new(range: RangeRequest, start_revision: u64) -> Self {
        Self {
            create_request: WatchCreateRequest {
                key: range.key,
                range_end: range.range_end,
                start_revision,
            },
        }
    }

    pub fn bounds(&self) -> Result<(Vec<u8>, Option<Vec<u8>>), Error> {
        let range = RangeRequest {
            key: self.create_request.key.clone(),
            range_end: self.create_request.range_end.clone(),
        };
        range.bounds()
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub enum EventType {
    #[default]
    #[serde(rename = "PUT")]
    Put,
    #[serde(rename = "DELETE")]
    Delete,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub kind: EventType,
    pub kv: KeyValue,
}

/// JSON representation of [`Event`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct WireEvent {
    #[serde(rename = "type", default)]
    pub kind: EventType,
    pub kv: WireKeyValue,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct WatchResult {
    #[serde(default)]
    pub header: Header,
    #[serde(default)]
    pub events: Vec<WireEvent>,
}

impl WatchResult {
    /// Decodes the events, with their revisions as stamps of `era`.
    pub fn into_events(self, era: u64) -> Result<Vec<Event>, Error> {
        let decode = |wire: WireEvent| {
            Ok(Event {
                kind: wire.kind,
                kv: KeyValue::try_from(wire.kv)?.stamped(era),
            })
        };
        self.events.into_iter().map(decode).collect()
    }
}

/// A message of an open watch; the gateway sends one per line.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct WatchResponse {
    pub result: WatchResult,
}

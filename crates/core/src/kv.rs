//! Client of the platform's key-value service, which serves the etcd v3 JSON gateway API.
//!
//! Every call has a timeout, as the KV may be slow or unavailable. None is retried here, as a
//! response may be lost after the operation took effect.
//!
//! Revisions are represented as stamps ([`era`]) and leases with their era. Those of an earlier era
//! are never sent to the KV, which may have reused them.

pub mod wire;

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use futures::StreamExt;

use crate::{era, Error};

pub use wire::{Event, EventType, KeyValue};

/// Timeout of one KV call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time between two messages of a watch. Without this timeout, a connection that was lost
/// without a reset would hide all later changes.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Response header with the KV's era, the number of its restores from a backup.
pub const ERA_HEADER: &str = "Store-Era";

/// A client of the platform KV at one endpoint. Clones share the latest era seen.
#[derive(Clone, Debug)]
pub struct Client {
    endpoint: String,
    http: reqwest::Client,
    era: Arc<AtomicU64>,
}

/// A lease. The KV may reuse its id in a later era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    era: u64,
    id: i64,
}

/// The outcome of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The key held the expected revision and now holds the new value.
    Done {
        /// The stamp of the write.
        revision: u64,
    },
    /// The key was not at the expected revision; nothing was written.
    Conflict,
}

impl Client {
    /// Creates a client for the KV at `endpoint`, for example `http://127.0.0.1:2379`.
    pub fn new(endpoint: &str) -> Self {
        Self {
            endpoint: endpoint.trim_end_matches('/').to_owned(),
            http: reqwest::Client::new(),
            era: Arc::default(),
        }
    }

    /// Returns the latest era seen in a response.
    pub fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    /// Whether a stamp is of the latest era seen. Zero means that there is no revision, and is
    /// always current.
    fn is_current(&self, stamp: u64) -> bool {
        stamp == 0 || era::of(stamp) == self.era()
    }

    /// Returns the era of a response and records it as the latest seen.
    ///
    /// Returns an error for a delayed response of an earlier era.
    fn era_of(&self, response: &reqwest::Response) -> Result<u64, Error> {
        let header = response.headers().get(ERA_HEADER);
        let header = header.and_then(|era| era.to_str().ok()?.trim().parse().ok());
        // A KV that was never restored may omit the header.
        let era = header.unwrap_or_default();
        match self.era.fetch_max(era, Ordering::Relaxed) > era {
            true => Err(Error::KvAnswer("response of an earlier era".to_owned())),
            false => Ok(era),
        }
    }

    /// Sends a request and returns the era of the response and its body.
    async fn call<Q, A>(&self, path: &str, request: &Q) -> Result<(u64, A), Error>
    where
        Q: serde::Serialize + ?Sized,
        A: serde::de::DeserializeOwned,
    {
        let url = format!("{}{path}", self.endpoint);
        let response = self
            .http
            .post(url)
            .timeout(CALL_TIMEOUT)
            .json(request)
            .send()
            .await?;
        let era = self.era_of(&response)?;
        let response = response.error_for_status()?;
        Ok((era, response.json().await?))
    }

    /// Reads one key; returns `None` if it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, Error> {
        let request = wire::RangeRequest::key(key);
        let (era, response): (u64, wire::RangeResponse) =
            self.call("/v3/kv/range", &request).await?;
        let mut kvs = response.into_values(era)?;
        Ok(kvs.pop())
    }

    /// Reads every key that starts with `prefix`.
    pub async fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, Error> {
        let request = wire::RangeRequest::prefix(prefix);
        let (era, response): (u64, wire::RangeResponse) =
            self.call("/v3/kv/range", &request).await?;
        response.into_values(era)
    }

    /// Writes `value` under `key`, attached to `lease` if given, and returns the stamp of the write.
    pub async fn put(&self, key: &str, value: &[u8], lease: Option<Lease>) -> Result<u64, Error> {
        if lease.is_some_and(|lease| lease.era != self.era()) {
            return Err(Error::KvAnswer("lease of an earlier era".to_owned()));
        }
        let request = wire::PutRequest::new(key, value, lease.map(|lease| lease.id));
        let (era, response): (u64, wire::PutResponse) = self.call("/v3/kv/put", &request).await?;
        Ok(era::stamp(era, response.header.revision))
    }

    /// Writes `value` under `key` if the key was last written at the stamp `mod_revision`; zero
    /// requires that the key does not exist.
    pub async fn put_if(&self, key: &str, value: &[u8], mod_revision: u64) -> Result<Swap, Error> {
        if !self.is_current(mod_revision) {
            return Ok(Swap::Conflict);
        }
        let before = self.era();
        let request = wire::TxnRequest::put_if(key, value, era::revision(mod_revision));
        let (era, response): (u64, wire::TxnResponse) = self.call("/v3/kv/txn", &request).await?;
        // If the KV was restored meanwhile, a reused revision may have matched.
        let era_changed = mod_revision != 0 && era != before;
        Ok(match response.succeeded && !era_changed {
            true => Swap::Done {
                revision: era::stamp(era, response.header.revision),
            },
            false => Swap::Conflict,
        })
    }

    /// Requests a lease of `ttl` seconds.
    pub async fn grant(&self, ttl: u64) -> Result<Lease, Error> {
        let request = wire::LeaseGrantRequest { ttl, id: 0 };
        let (era, response): (u64, wire::LeaseGrantResponse) =
            self.call("/v3/lease/grant", &request).await?;
        Ok(Lease {
            era,
            id: response.id,
        })
    }

    /// Renews a lease; returns its remaining time to live in seconds, or zero if it has expired.
    pub async fn keepalive(&self, lease: Lease) -> Result<u64, Error> {
        if lease.era != self.era() {
            return Ok(0);
        }
        let request = wire::LeaseKeepAliveRequest { id: lease.id };
        let (era, response): (u64, wire::LeaseKeepAliveResponse) =
            self.call("/v3/lease/keepalive", &request).await?;
        // In a later era the id may belong to another lease.
        Ok(match era == lease.era {
            true => response.result.ttl,
            false => 0,
        })
    }

    /// Watches keys that start with `prefix` for changes from the stamp `start_revision` on.
    ///
    /// Returns an error if that stamp is of an earlier era.
    pub async fn watch_prefix(&self, prefix: &str, start_revision: u64) -> Result<Watch, Error> {
        let earlier_era =
            || Error::KvAnswer("start revision of the watch is of an earlier era".to_owned());
        if !self.is_current(start_revision) {
            return Err(earlier_era());
        }
        let range = wire::RangeRequest::prefix(prefix);
        let request = wire::WatchRequest::new(range, era::revision(start_revision));
        let url = format!("{}/v3/watch", self.endpoint);
        let open = self.http.post(url).json(&request).send();
        let response = tokio::time::timeout(CALL_TIMEOUT, open)
            .await
            .map_err(|_| Error::KvAnswer("timeout opening a watch".to_owned()))??;
        let era = self.era_of(&response)?;
        if start_revision != 0 && era != era::of(start_revision) {
            return Err(earlier_era());
        }
        let response = response.error_for_status()?;
        Ok(Watch {
            era,
            body: Box::pin(response.bytes_stream()),
            buffer: Vec::new(),
        })
    }
}

type Body = std::pin::Pin<
    Box<dyn futures::Stream<Item = reqwest::Result<bytes::Bytes>> + Send + Sync + 'static>,
>;

/// An open watch, which reads the newline-delimited JSON messages of the etcd gateway.
pub struct Watch {
    era: u64,
    body: Body,
    buffer: Vec<u8>,
}

impl Watch {
    /// Waits for the next batch of events; returns `None` if the KV closed the watch or sent nothing
    /// for [`WATCH_TIMEOUT`].
    pub async fn next(&mut self) -> Result<Option<Vec<Event>>, Error> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                if line.iter().all(u8::is_ascii_whitespace) {
                    continue;
                }
                let response: wire::WatchResponse = serde_json::from_slice(&line)
                    .map_err(|error| Error::KvAnswer(error.to_string()))?;
                return response.result.into_events(self.era).map(Some);
            }
            match tokio::time::timeout(WATCH_TIMEOUT, self.body.next()).await {
                Ok(Some(chunk)) => self.buffer.extend_from_slice(&chunk?),
                Ok(None) | Err(_) => return Ok(None),
            }
        }
    }
}

//! Client of the platform's key-value service, in the shape of the etcd v3 JSON gateway.
//!
//! The platform KV gives compare-and-swap, leases and watches; it is slow at times, has
//! outages and may lose an answer after the action took effect. Every call here therefore has
//! a timeout and returns a value the caller decides on; nothing retries behind its back.
//!
//! Revisions are given out and taken as stamps ([`era`]), leases with their era. One of an earlier era is never
//! sent to the KV, where the same number may mean something else by now.

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

/// How long one KV call may take before it counts as failed.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a watch is trusted in silence before it is opened again. A connection may go
/// silent for good without a reset; the reader would then miss every later change.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// The header that says how often the KV has come back from a copy.
pub const ERA_HEADER: &str = "Store-Era";

/// A handle on the platform KV at one endpoint (`http://host:port`).
#[derive(Clone, Debug)]
pub struct Client {
    endpoint: String,
    http: reqwest::Client,
    /// The latest era that an answer was of, for all clones.
    era: Arc<AtomicU64>,
}

/// A lease. Its number is any that the KV likes, and may be given out again in a later era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    era: u64,
    id: i64,
}

/// The outcome of a compare-and-swap put.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The key held the expected revision and now holds the new value.
    Done {
        /// The store revision of the write.
        revision: u64,
    },
    /// The key had moved on; nothing was written.
    Conflict,
}

impl Client {
    /// A client for the KV at `endpoint`, for example `http://127.0.0.1:2379`.
    pub fn new(endpoint: &str) -> Self {
        Self {
            endpoint: endpoint.trim_end_matches('/').to_owned(),
            http: reqwest::Client::new(),
            era: Arc::default(),
        }
    }

    /// The latest era that an answer was of.
    pub fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    /// Whether a stamp is of the era that the KV was last seen in; zero names nothing of any era.
    fn is_current(&self, stamp: u64) -> bool {
        stamp == 0 || era::of(stamp) == self.era()
    }

    /// The era of an answer; one of an earlier era than an answer before it has come late.
    fn era_of(&self, answer: &reqwest::Response) -> Result<u64, Error> {
        let said = answer.headers().get(ERA_HEADER);
        let said = said.and_then(|era| era.to_str().ok()?.trim().parse().ok());
        // A KV that never came back from a copy may leave the header out.
        let era = said.unwrap_or_default();
        match self.era.fetch_max(era, Ordering::Relaxed) > era {
            true => Err(Error::KvAnswer("an answer of an earlier era".to_owned())),
            false => Ok(era),
        }
    }

    /// Calls the KV; the era of the answer and the answer.
    async fn call<Q, A>(&self, path: &str, request: &Q) -> Result<(u64, A), Error>
    where
        Q: serde::Serialize + ?Sized,
        A: serde::de::DeserializeOwned,
    {
        let url = format!("{}{path}", self.endpoint);
        let answer = self
            .http
            .post(url)
            .timeout(CALL_TIMEOUT)
            .json(request)
            .send()
            .await?;
        let era = self.era_of(&answer)?;
        let answer = answer.error_for_status()?;
        Ok((era, answer.json().await?))
    }

    /// Reads one key; `None` when it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, Error> {
        let request = wire::RangeRequest::key(key);
        let (era, answer): (u64, wire::RangeResponse) = self.call("/v3/kv/range", &request).await?;
        let mut kvs = answer.into_values(era)?;
        Ok(kvs.pop())
    }

    /// Reads every key that starts with `prefix`.
    pub async fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, Error> {
        let request = wire::RangeRequest::prefix(prefix);
        let (era, answer): (u64, wire::RangeResponse) = self.call("/v3/kv/range", &request).await?;
        answer.into_values(era)
    }

    /// Writes `value` under `key`, tied to `lease` when one is given.
    pub async fn put(&self, key: &str, value: &[u8], lease: Option<Lease>) -> Result<u64, Error> {
        if lease.is_some_and(|lease| lease.era != self.era()) {
            return Err(Error::KvAnswer("the lease is of an earlier era".to_owned()));
        }
        let request = wire::PutRequest::new(key, value, lease.map(|lease| lease.id));
        let (era, answer): (u64, wire::PutResponse) = self.call("/v3/kv/put", &request).await?;
        Ok(era::stamp(era, answer.header.revision))
    }

    /// Writes `value` under `key` only if the key's last write was at `mod_revision`; zero
    /// means the key must not exist yet.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        mod_revision: u64,
    ) -> Result<Swap, Error> {
        if !self.is_current(mod_revision) {
            return Ok(Swap::Conflict);
        }
        let before = self.era();
        let request = wire::TxnRequest::put_if(key, value, era::revision(mod_revision));
        let (era, answer): (u64, wire::TxnResponse) = self.call("/v3/kv/txn", &request).await?;
        // In another era the condition held by chance.
        let rests_on_era = mod_revision != 0 && era != before;
        Ok(match answer.succeeded && !rests_on_era {
            true => Swap::Done {
                revision: era::stamp(era, answer.header.revision),
            },
            false => Swap::Conflict,
        })
    }

    /// Grants a lease of `ttl` seconds.
    pub async fn grant(&self, ttl: u64) -> Result<Lease, Error> {
        let request = wire::LeaseGrantRequest { ttl, id: 0 };
        let (era, answer): (u64, wire::LeaseGrantResponse) =
            self.call("/v3/lease/grant", &request).await?;
        Ok(Lease { era, id: answer.id })
    }

    /// Renews a lease; returns the seconds left, zero when the lease had already expired.
    pub async fn keepalive(&self, lease: Lease) -> Result<u64, Error> {
        if lease.era != self.era() {
            return Ok(0);
        }
        let request = wire::LeaseKeepAliveRequest { id: lease.id };
        let (era, answer): (u64, wire::LeaseKeepAliveResponse) =
            self.call("/v3/lease/keepalive", &request).await?;
        // Another may have that number in a later era.
        Ok(match era == lease.era {
            true => answer.result.ttl,
            false => 0,
        })
    }

    /// Watches the keys that start with `prefix` for changes from `start_revision` on; the
    /// stream ends when the KV closes it.
    pub async fn watch_prefix(&self, prefix: &str, start_revision: u64) -> Result<Watch, Error> {
        let gone = || Error::KvAnswer("that history is of an earlier era".to_owned());
        if !self.is_current(start_revision) {
            return Err(gone());
        }
        let range = wire::RangeRequest::prefix(prefix);
        let request = wire::WatchRequest::new(range, era::revision(start_revision));
        let url = format!("{}/v3/watch", self.endpoint);
        let open = self.http.post(url).json(&request).send();
        let answer = tokio::time::timeout(CALL_TIMEOUT, open)
            .await
            .map_err(|_| Error::KvAnswer("no answer to a watch".to_owned()))??;
        let era = self.era_of(&answer)?;
        if start_revision != 0 && era != era::of(start_revision) {
            return Err(gone());
        }
        let answer = answer.error_for_status()?;
        Ok(Watch {
            era,
            body: Box::pin(answer.bytes_stream()),
            buffer: Vec::new(),
        })
    }
}

type Body = std::pin::Pin<
    Box<dyn futures::Stream<Item = reqwest::Result<bytes::Bytes>> + Send + Sync + 'static>,
>;

/// An open watch: newline-separated JSON answers, as the etcd gateway streams them.
pub struct Watch {
    era: u64,
    body: Body,
    buffer: Vec<u8>,
}

impl Watch {
    /// The next batch of events; `None` when the KV closed the watch or it was silent for
    /// [`WATCH_TIMEOUT`].
    pub async fn next(&mut self) -> Result<Option<Vec<Event>>, Error> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                if line.iter().all(u8::is_ascii_whitespace) {
                    continue;
                }
                let answer: wire::WatchResponse = serde_json::from_slice(&line)
                    .map_err(|error| Error::KvAnswer(error.to_string()))?;
                return answer.result.into_events(self.era).map(Some);
            }
            match tokio::time::timeout(WATCH_TIMEOUT, self.body.next()).await {
                Ok(Some(chunk)) => self.buffer.extend_from_slice(&chunk?),
                Ok(None) | Err(_) => return Ok(None),
            }
        }
    }
}

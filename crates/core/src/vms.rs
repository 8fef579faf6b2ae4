//! Client of the platform's VM list, which may lag behind the actual state of the VMs.

use std::{net::SocketAddr, time::Duration};

use reqwest::{
    header::{ETAG, IF_NONE_MATCH},
    StatusCode,
};
use serde::{Deserialize, Serialize};

use crate::Error;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// State of a VM on the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    Live,
    /// The VM is about to be stopped and must not receive new work.
    Leaving,
}

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Vm {
    /// The address that the VM's server listens on.
    pub address: SocketAddr,
    pub state: State,
}

/// A client of the VM list at one URL, which skips unchanged lists by means of an ETag.
#[derive(Clone, Debug)]
pub struct Client {
    url: String,
    http: reqwest::Client,
    etag: Option<String>,
}

impl Client {
    /// Creates a client without a cached ETag, so that its first request returns the whole list.
    pub fn new(url: &str) -> Self {
        Self {
            url: url.to_owned(),
            http: reqwest::Client::new(),
            etag: None,
        }
    }

    /// Fetches the list; returns `None` if it has not changed since the last call.
    pub async fn read(&mut self) -> Result<Option<Vec<Vm>>, Error> {
        let mut request = self.http.get(&self.url).timeout(CALL_TIMEOUT);
        if let Some(etag) = &self.etag {
            request = request.header(IF_NONE_MATCH, etag);
        }
        let response = request.send().await?.error_for_status()?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let etag = response.headers().get(ETAG);
        let etag = etag.and_then(|etag| Some(etag.to_str().ok()?.to_owned()));
        let list = response.json().await?;
        self.etag = etag;
        Ok(Some(list))
    }
}

//! The platform's list of VMs: which are live and which are leaving. It lags.

use std::{net::SocketAddr, time::Duration};

use reqwest::{
    header::{ETAG, IF_NONE_MATCH},
    StatusCode,
};
use serde::{Deserialize, Serialize};

use crate::Error;

/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What the platform is doing with a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    Live,
    /// It will be stopped soon and must get no new work.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Vm {
    /// Where its server listens.
    pub address: SocketAddr,
    pub state: State,
}

/// A reader of the list at one URL; it asks only for what has changed.
#[derive(Clone, Debug)]
pub struct Client {
    url: String,
    http: reqwest::Client,
    etag: Option<String>,
}

impl Client {
    /// A reader that has seen nothing yet.
    pub fn new(url: &str) -> Self {
        Self {
            url: url.to_owned(),
            http: reqwest::Client::new(),
            etag: None,
        }
    }

    /// The list, or `None` when it is the same as last time.
    pub async fn read(&mut self) -> Result<Option<Vec<Vm>>, Error> {
        let mut request = self.http.get(&self.url).timeout(CALL_TIMEOUT);
        if let Some(etag) = &self.etag {
            request = request.header(IF_NONE_MATCH, etag);
        }
        let answer = request.send().await?.error_for_status()?;
        if answer.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let etag = answer.headers().get(ETAG);
        let etag = etag.and_then(|etag| Some(etag.to_str().ok()?.to_owned()));
        let list = answer.json().await?;
        self.etag = etag;
        Ok(Some(list))
    }
}

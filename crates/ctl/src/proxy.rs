//! The proxies of the site, as their heartbeat records name them, and their operator endpoints.

use dandelionpitch_core::{keys, kv};
use serde::{de::DeserializeOwned, Deserialize};

/// A proxy's heartbeat record.
#[derive(Debug, Deserialize)]
pub struct Heartbeat {
    pub id: String,
    pub dc: String,
    pub listen: String,
    pub operator: String,
}

/// The records of all live proxies; the key of each that cannot be read.
pub async fn all(kv: &kv::Client) -> Result<Vec<Result<Heartbeat, String>>, String> {
    let records = kv.list(keys::PROXY_PREFIX).await;
    let records = records.map_err(|error| error.to_string())?;
    let read = |kv: kv::KeyValue| serde_json::from_slice(&kv.value).map_err(|_| kv.key);
    Ok(records.into_iter().map(read).collect())
}

/// What the proxy with this operator address answers on `path`.
pub async fn get<T: DeserializeOwned>(operator: &str, path: &str) -> Result<T, reqwest::Error> {
    let answer = reqwest::Client::new()
        .get(format!("http://{operator}{path}"))
        .timeout(kv::CALL_TIMEOUT)
        .send()
        .await?;
    answer.error_for_status()?.json().await
}

//! Proxy discovery through heartbeat records, and requests to their operator endpoints.

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

/// Lists the heartbeat records of all live proxies. An inner error is the key of a record that
/// could not be parsed.
pub async fn all(kv: &kv::Client) -> Result<Vec<Result<Heartbeat, String>>, String> {
    let records = kv.list(keys::PROXY_PREFIX).await;
    let records = records.map_err(|error| error.to_string())?;
    let parse = |kv: kv::KeyValue| serde_json::from_slice(&kv.value).map_err(|_| kv.key);
    Ok(records.into_iter().map(parse).collect())
}

/// Sends `GET path` to the operator endpoint at address `operator` and decodes the JSON response.
pub async fn get<T: DeserializeOwned>(operator: &str, path: &str) -> Result<T, reqwest::Error> {
    let response = reqwest::Client::new()
        .get(format!("http://{operator}{path}"))
        .timeout(kv::CALL_TIMEOUT)
        .send()
        .await?;
    response.error_for_status()?.json().await
}

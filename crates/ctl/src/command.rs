//! The commands of `dpctl`; each returns the text to print or the reason it failed.

use std::path::Path;

use dandelionpitch_core::{
    bundle::Bundle,
    keys,
    kv::{self, KeyValue, Swap},
    primary::Record,
};
use serde::Deserialize;

use crate::cli::Command;

/// Runs one command.
pub async fn run(command: Command) -> Result<String, String> {
    match command {
        Command::Validate { file } => validate(&file),
        Command::Put { file, kv } => put(&file, &kv::Client::new(&kv)).await,
        Command::Status { kv } => status(&kv::Client::new(&kv)).await,
    }
}

fn read(file: &Path) -> Result<(String, Bundle), String> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| format!("cannot read {}: {error}", file.display()))?;
    let bundle = Bundle::parse(&text).map_err(|error| format!("{}: {error}", file.display()))?;
    Ok((text, bundle))
}

fn validate(file: &Path) -> Result<String, String> {
    let (_, bundle) = read(file)?;
    Ok(format!(
        "bundle version {} is valid: {} groups, {} callers",
        bundle.version,
        bundle.groups.len(),
        bundle.callers.len()
    ))
}

/// Puts the bundle if its version is above the one in force.
///
/// Failure: two operators race, or the KV applies the write and loses the answer. Guard: the
/// write is a compare-and-swap on the revision read, so a racing write makes ours fail
/// instead of reverting theirs; after a lost answer the key is read back to tell which
/// happened.
async fn put(file: &Path, kv: &kv::Client) -> Result<String, String> {
    let (text, bundle) = read(file)?;
    let current = kv
        .get(keys::BUNDLE)
        .await
        .map_err(|error| error.to_string())?;
    let (revision, in_force) = match &current {
        Some(current) => {
            let in_force = Bundle::parse(&String::from_utf8_lossy(&current.value))
                .map_or(0, |bundle| bundle.version);
            (current.mod_revision, in_force)
        }
        None => (0, 0),
    };
    if bundle.version <= in_force {
        return Err(format!(
            "refused: version {} is not above version {in_force} in force; bundles never revert",
            bundle.version
        ));
    }
    match kv.swap(keys::BUNDLE, text.as_bytes(), revision).await {
        Ok(Swap::Done { .. }) => Ok(format!("version {} is in the KV", bundle.version)),
        Ok(Swap::Moved) => {
            Err("refused: another bundle was put meanwhile; check it and try again".to_owned())
        }
        Err(error) => match kv.get(keys::BUNDLE).await {
            Ok(Some(now)) if now.value == text.as_bytes() => Ok(format!(
                "version {} is in the KV (its answer was lost)",
                bundle.version
            )),
            _ => Err(format!(
                "outcome unknown: {error}; run status before trying again"
            )),
        },
    }
}

#[derive(Debug, Deserialize)]
struct Heartbeat {
    id: String,
    dc: String,
    listen: String,
    operator: String,
}

/// The part of a proxy's `GET /status` that is shown here.
#[derive(Debug, Deserialize)]
struct Report {
    bundle_version: u64,
}

async fn status(kv: &kv::Client) -> Result<String, String> {
    let mut lines = proxies(kv).await?;
    lines.push(String::new());
    lines.extend(primaries(kv).await?);
    Ok(lines.join("\n"))
}

/// A line per proxy, with the bundle version that the proxy itself reports.
async fn proxies(kv: &kv::Client) -> Result<Vec<String>, String> {
    let records = list(kv, keys::PROXY_PREFIX).await?;
    let lines = records.iter().map(|record| async {
        match serde_json::from_slice::<Heartbeat>(&record.value) {
            Ok(beat) => format!(
                "{:<16} {:<8} {:<22} {}",
                beat.id,
                beat.dc,
                beat.listen,
                version(&beat.operator).await
            ),
            Err(_) => format!("{}: unreadable record", record.key),
        }
    });
    let mut table = vec![format!(
        "{:<16} {:<8} {:<22} {}",
        "proxy", "dc", "listen", "version"
    )];
    table.extend(futures::future::join_all(lines).await);
    Ok(table)
}

/// The bundle version in force on the proxy with this operator address.
async fn version(operator: &str) -> String {
    let get = async {
        let answer = reqwest::Client::new()
            .get(format!("http://{operator}/status"))
            .timeout(kv::CALL_TIMEOUT)
            .send()
            .await?;
        answer.error_for_status()?.json::<Report>().await
    };
    match get.await {
        Ok(report) => report.bundle_version.to_string(),
        Err(_) => "no answer".to_owned(),
    }
}

/// A line per group whose primary was ever replaced.
async fn primaries(kv: &kv::Client) -> Result<Vec<String>, String> {
    let records = list(kv, keys::PRIMARY_PREFIX).await?;
    let mut lines = vec![format!(
        "{:<16} {:<6} {:<22} {}",
        "group", "term", "primary", "claimed by"
    )];
    for kv in records {
        let group = kv.key.trim_start_matches(keys::PRIMARY_PREFIX);
        lines.push(match Record::parse(&kv.value) {
            Ok(record) => {
                let server = record
                    .server
                    .map_or("none yet".to_owned(), |s| s.to_string());
                let Record { term, claimant, .. } = record;
                format!("{group:<16} {term:<6} {server:<22} {claimant}")
            }
            Err(_) => format!("{group}: unreadable record"),
        });
    }
    Ok(lines)
}

async fn list(kv: &kv::Client, prefix: &str) -> Result<Vec<KeyValue>, String> {
    kv.list(prefix).await.map_err(|error| error.to_string())
}

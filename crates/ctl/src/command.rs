//! The commands of `dpctl`; each returns the text to print or the reason it failed.

use std::path::Path;

use dandelionpitch_core::{
    bundle::Bundle,
    keys,
    kv::{self, Swap},
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
    bundle_version: u64,
}

async fn status(kv: &kv::Client) -> Result<String, String> {
    let records = kv
        .list(keys::PROXY_PREFIX)
        .await
        .map_err(|error| error.to_string())?;
    let mut lines = vec![format!(
        "{:<16} {:<8} {:<22} {}",
        "proxy", "dc", "listen", "version"
    )];
    for record in records {
        match serde_json::from_slice::<Heartbeat>(&record.value) {
            Ok(beat) => lines.push(format!(
                "{:<16} {:<8} {:<22} {}",
                beat.id, beat.dc, beat.listen, beat.bundle_version
            )),
            Err(_) => lines.push(format!("{}: unreadable record", record.key)),
        }
    }
    Ok(lines.join("\n"))
}

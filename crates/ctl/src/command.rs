//! The subcommands of `dpctl`; each returns the text to print or an error message.

use std::path::Path;

use dandelionpitch_core::{
    bundle::Bundle,
    keys,
    kv::{self, Swap},
    primary::Record,
};
use serde::Deserialize;

use crate::{
    burn,
    cli::Command,
    proxy::{self, Heartbeat},
    trace, validate,
};

/// Runs a subcommand.
pub async fn run(command: Command) -> Result<String, String> {
    match command {
        Command::Validate { file } => validate::report(&file),
        Command::Put { file, kv } => put(&file, &kv::Client::new(&kv)).await,
        Command::Burn {
            kv,
            objective,
            window,
        } => burn::report(&kv::Client::new(&kv), objective, window).await,
        Command::Trace {
            id,
            files,
            window,
            output,
        } => trace::report(&id, &files, window, output),
        Command::Status { kv } => status(&kv::Client::new(&kv)).await,
    }
}

/// Writes the bundle to the KV if its version is higher than the current one.
///
/// The compare-and-swap never reverts a concurrent write of another operator. If its response is
/// lost, reading the key again shows whether the write took effect.
async fn put(file: &Path, kv: &kv::Client) -> Result<String, String> {
    let text = validate::read(file)?;
    let bundle = validate::parse_bundle(file, &text)?;
    let current = kv
        .get(keys::BUNDLE)
        .await
        .map_err(|error| error.to_string())?;
    let (revision, current_version) = match &current {
        Some(current) => {
            let current_version = Bundle::parse(&String::from_utf8_lossy(&current.value))
                .map_or(0, |bundle| bundle.version);
            (current.mod_revision, current_version)
        }
        None => (0, 0),
    };
    if bundle.version <= current_version {
        return Err(format!(
            "refused: version {} is not higher than the current version {current_version}; bundles never revert",
            bundle.version
        ));
    }
    match kv.put_if(keys::BUNDLE, text.as_bytes(), revision).await {
        Ok(Swap::Done { .. }) => Ok(format!("version {} is in the KV", bundle.version)),
        Ok(Swap::Conflict) => {
            Err("refused: the bundle was changed meanwhile; review it and try again".to_owned())
        }
        Err(error) => match kv.get(keys::BUNDLE).await {
            Ok(Some(now)) if now.value == text.as_bytes() => Ok(format!(
                "version {} is in the KV (the response to the write was lost)",
                bundle.version
            )),
            _ => Err(format!(
                "outcome unknown: {error}; run `dpctl status` before trying again"
            )),
        },
    }
}

/// The part of the response to a proxy's `GET /status` that `dpctl status` uses.
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

/// Formats a table of the proxies with the bundle version that each reports.
async fn proxies(kv: &kv::Client) -> Result<Vec<String>, String> {
    let all = proxy::all(kv).await?;
    let lines = all.iter().map(|heartbeat| async {
        match heartbeat {
            Ok(Heartbeat {
                id,
                dc,
                listen,
                operator,
            }) => {
                let version = match proxy::get::<Report>(operator, "/status").await {
                    Ok(report) => report.bundle_version.to_string(),
                    Err(_) => "no answer".to_owned(),
                };
                format!("{id:<16} {dc:<8} {listen:<22} {version}")
            }
            Err(key) => format!("{key}: unreadable record"),
        }
    });
    let mut table = vec![format!(
        "{:<16} {:<8} {:<22} {}",
        "proxy", "dc", "listen", "version"
    )];
    table.extend(futures::future::join_all(lines).await);
    Ok(table)
}

/// Formats a table of the groups' primary records.
async fn primaries(kv: &kv::Client) -> Result<Vec<String>, String> {
    let records = kv.list(keys::PRIMARY_PREFIX).await;
    let records = records.map_err(|error| error.to_string())?;
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

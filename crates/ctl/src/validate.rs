//! `dpctl validate`: checks a bundle, or a configuration of the line protocol.

use std::path::Path;

use dandelionpitch_core::bundle::Bundle;
use dandelionpitch_engine::{account::Fault, catalog::Catalog};
use dandelionpitch_platform::config;

/// Checks a file; returns a summary, or what is wrong with it. Neither contains a key.
pub fn report(file: &Path) -> Result<String, String> {
    let text = read(file)?;
    match is_json(file, &text) {
        true => check_configuration(file, &text),
        false => parse_bundle(file, &text).map(|bundle| describe_bundle(&bundle)),
    }
}

/// Reads a file as text.
pub fn read(file: &Path) -> Result<String, String> {
    std::fs::read_to_string(file)
        .map_err(|error| format!("cannot read {}: {error}", file.display()))
}

/// Parses a bundle. JSON is refused without an excerpt, which could contain a key.
pub fn parse_bundle(file: &Path, text: &str) -> Result<Bundle, String> {
    if is_json(file, text) {
        return Err(format!("{}: a bundle is TOML, not JSON", file.display()));
    }
    Bundle::parse(text).map_err(|error| format!("{}: {error}", file.display()))
}

/// Whether a file is JSON. No TOML document starts with a brace.
fn is_json(file: &Path, text: &str) -> bool {
    let is_named_json = file.extension().is_some_and(|name| name == "json");
    is_named_json || text.trim_start().starts_with('{')
}

fn describe_bundle(bundle: &Bundle) -> String {
    format!(
        "bundle version {} is valid: {} groups, {} callers",
        bundle.version,
        bundle.groups.len(),
        bundle.callers.len()
    )
}

fn check_configuration(file: &Path, text: &str) -> Result<String, String> {
    let decoded = config::decode(text.as_bytes());
    let catalog = decoded.map_err(|error| format!("{}: {error}", file.display()))?;
    match catalog.faults() {
        [] => Ok(describe_configuration(&catalog)),
        faults => Err(describe_faults(file, faults)),
    }
}

/// One line for each fault.
fn describe_faults(file: &Path, faults: &[Fault]) -> String {
    let lines = faults
        .iter()
        .map(|fault| format!("{}: {fault}", file.display()));
    lines.collect::<Vec<_>>().join("\n")
}

fn describe_configuration(catalog: &Catalog) -> String {
    let accounts = match &catalog.accounts {
        Some(accounts) => format!("{} accounts", accounts.iter().count()),
        None => "callers need no key".to_owned(),
    };
    format!(
        "configuration version {} is valid: {} routes, {} groups, {accounts}",
        catalog.version,
        catalog.routes.len(),
        catalog.services.len()
    )
}

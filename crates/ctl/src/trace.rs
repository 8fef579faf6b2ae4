//! `dpctl trace`: extracts the lines of one request from the proxies' logs, with the preceding
//! lines on the state of each proxy (`docs/OPERATIONS.md`).

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::PathBuf,
};

use clap::ValueEnum;
use serde_json::Value;

/// Kinds of log lines that are printed as context: changes in the state of the proxy and its
/// dependencies.
const CONTEXT_KINDS: [&str; 17] = [
    "process",
    "stopping",
    "dependency",
    "isolation",
    "leader",
    "superseded",
    "configuration",
    "server",
    "servers gone",
    "duty",
    "lease",
    "failover",
    "promoted",
    "not promoted",
    "ordered",
    "recovery",
    "connect",
];

/// Output formats.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Output {
    /// Readable text, one line per log line.
    Text,
    /// The original JSON lines.
    Json,
}

/// A parsed log line.
struct Line {
    text: String,
    at_ms: u64,
    fields: Value,
}

/// Returns the lines of request `id` in `files`. In each file with such lines, context lines are
/// included from `window_ms` before the first to the last of them.
pub fn report(
    id: &str,
    files: &[PathBuf],
    window_ms: u64,
    output: Output,
) -> Result<String, String> {
    let mut found = Vec::new();
    for file in files {
        let lines = read(file)?;
        let own_lines = lines.iter().filter(|line| line.fields["id"] == id);
        let times: Vec<u64> = own_lines.map(|line| line.at_ms).collect();
        let (Some(first), Some(last)) = (times.iter().min(), times.iter().max()) else {
            continue;
        };
        let span = first.saturating_sub(window_ms)..=*last;
        let wanted = |line: &&Line| {
            let kind = line.fields["kind"].as_str().unwrap_or_default();
            let is_context = CONTEXT_KINDS.contains(&kind) && span.contains(&line.at_ms);
            is_context || line.fields["id"] == id
        };
        let lines = lines.iter().filter(wanted);
        found.extend(lines.map(|line| format_line(file, line, output)));
    }
    match found.is_empty() {
        true => Err(format!("no line about request {id}")),
        false => Ok(found.join("\n")),
    }
}

/// Reads a log file. Lines in other formats, such as the first one with the listen addresses, are
/// skipped.
fn read(file: &PathBuf) -> Result<Vec<Line>, String> {
    let failed = |error: std::io::Error| format!("cannot read {}: {error}", file.display());
    let mut lines = Vec::new();
    for text in BufReader::new(File::open(file).map_err(failed)?).lines() {
        let text = text.map_err(failed)?;
        let Ok(fields) = serde_json::from_str::<Value>(&text) else {
            continue;
        };
        if let Some(at_ms) = fields["at_ms"].as_u64() {
            lines.push(Line {
                text,
                at_ms,
                fields,
            });
        }
    }
    Ok(lines)
}

fn format_line(file: &std::path::Path, line: &Line, output: Output) -> String {
    let Output::Text = output else {
        return line.text.clone();
    };
    let kind = line.fields["kind"].as_str().unwrap_or_default();
    let fields = line.fields.as_object().into_iter().flatten();
    let rest: Vec<String> = fields
        .filter(|(name, _)| !["at_ms", "kind"].contains(&name.as_str()))
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    let file = file.display();
    format!("{file} {} {kind}: {}", line.at_ms, rest.join(" "))
}

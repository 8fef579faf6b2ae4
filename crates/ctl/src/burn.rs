//! `dpctl burn`: reports the burn rate of the error budget.
//!
//! The burn rate is the ratio of failed statements to all statements, divided by the ratio that the
//! objective allows. At a rate of 1, the error budget lasts exactly for its period; at 10, for a
//! tenth of it. A statement has failed if the proxy answered "not run" or "outcome unknown".

use std::{ops::Sub, time::Duration};

use dandelionpitch_core::kv;
use serde::Deserialize;

use crate::proxy::{self, Heartbeat};

/// One value of a metric, in the response to a proxy's `GET /metrics`.
#[derive(Debug, Deserialize)]
struct Sample {
    name: String,
    attributes: Vec<(String, String)>,
    value: f64,
}

/// Number of answered statements, and of those that failed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Statements {
    total: f64,
    failed: f64,
}

impl Sub for Statements {
    type Output = Self;

    fn sub(self, before: Self) -> Self {
        Self {
            total: self.total - before.total,
            failed: self.failed - before.failed,
        }
    }
}

impl Statements {
    fn from_samples(samples: &[Sample]) -> Self {
        let mut count = Self::default();
        for sample in samples.iter().filter(|sample| sample.name == "statements") {
            count.total += sample.value;
            let failed = |(_, value): &(String, String)| value == "failed";
            if sample.attributes.iter().any(failed) {
                count.failed += sample.value;
            }
        }
        count
    }

    /// Returns the burn rate, which is zero if there were no statements.
    fn burn_rate(self, objective: f64) -> f64 {
        let allowed = 1.0 - objective / 100.0;
        match self.total > 0.0 {
            true => self.failed / self.total / allowed,
            false => 0.0,
        }
    }

    fn columns(self, objective: f64) -> String {
        format!(
            "{:>10} {:>8} {:>8.1}",
            self.total,
            self.failed,
            self.burn_rate(objective)
        )
    }
}

/// Reports statements, failures and burn rates per proxy and in total, both since the start of each
/// proxy and within `window` seconds from now. `objective` is in per cent.
pub async fn report(kv: &kv::Client, objective: f64, window: u64) -> Result<String, String> {
    let proxies: Vec<Heartbeat> = proxy::all(kv).await?.into_iter().flatten().collect();
    let before = counts(&proxies).await;
    tokio::time::sleep(Duration::from_secs(window)).await;
    let after = counts(&proxies).await;
    let mut lines = vec![
        format!("objective {objective} %; a burn rate of 1.0 uses exactly the error budget"),
        format!(
            "{:<16} {:<8} {:>10} {:>8} {:>8} | {:>10} {:>8} {:>8}",
            "proxy",
            "dc",
            "since start",
            "failed",
            "burn",
            format!("last {window} s"),
            "failed",
            "burn"
        ),
    ];
    let (mut all_start, mut all_window) = (Statements::default(), Statements::default());
    for (index, proxy) in proxies.iter().enumerate() {
        let (Some(before), Some(after)) = (before[index], after[index]) else {
            lines.push(format!("{:<16} {:<8} no answer", proxy.id, proxy.dc));
            continue;
        };
        lines.push(format_row(
            &proxy.id,
            &proxy.dc,
            after,
            after - before,
            objective,
        ));
        all_start = add(all_start, after);
        all_window = add(all_window, after - before);
    }
    lines.push(format_row("all", "", all_start, all_window, objective));
    Ok(lines.join("\n"))
}

fn format_row(id: &str, dc: &str, start: Statements, window: Statements, objective: f64) -> String {
    let (start, window) = (start.columns(objective), window.columns(objective));
    format!("{id:<16} {dc:<8} {start} | {window}")
}

fn add(one: Statements, other: Statements) -> Statements {
    Statements {
        total: one.total + other.total,
        failed: one.failed + other.failed,
    }
}

async fn counts(proxies: &[Heartbeat]) -> Vec<Option<Statements>> {
    let reads = proxies.iter().map(|proxy| async {
        let samples: Vec<Sample> = proxy::get(&proxy.operator, "/metrics").await.ok()?;
        Some(Statements::from_samples(&samples))
    });
    futures::future::join_all(reads).await
}

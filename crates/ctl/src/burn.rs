//! `dpctl burn`: how fast the service level burns.
//!
//! The burn rate is the share of failed statements over the share the objective allows: at 1
//! the allowance is used up exactly at the end of its period, at 10 in a tenth of it. A proxy
//! fails a statement when it answers "not run" or "outcome unknown".

use std::{ops::Sub, time::Duration};

use dandelionpitch_core::kv;
use serde::Deserialize;

use crate::proxy::{self, Heartbeat};

/// One figure of a proxy's `GET /metrics`.
#[derive(Debug, Deserialize)]
struct Figure {
    name: String,
    attributes: Vec<(String, String)>,
    value: f64,
}

/// Statements answered, and those of them that were failed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Count {
    all: f64,
    failed: f64,
}

impl Sub for Count {
    type Output = Self;

    fn sub(self, before: Self) -> Self {
        Self {
            all: self.all - before.all,
            failed: self.failed - before.failed,
        }
    }
}

impl Count {
    fn of(figures: &[Figure]) -> Self {
        let mut count = Self::default();
        for figure in figures.iter().filter(|figure| figure.name == "statements") {
            count.all += figure.value;
            let failed = |(_, value): &(String, String)| value == "failed";
            if figure.attributes.iter().any(failed) {
                count.failed += figure.value;
            }
        }
        count
    }

    /// The burn rate; nothing burns while nothing is asked.
    fn rate(self, objective: f64) -> f64 {
        let allowed = 1.0 - objective / 100.0;
        match self.all > 0.0 {
            true => self.failed / self.all / allowed,
            false => 0.0,
        }
    }

    fn columns(self, objective: f64) -> String {
        format!(
            "{:>10} {:>8} {:>8.1}",
            self.all,
            self.failed,
            self.rate(objective)
        )
    }
}

/// The report: a line per proxy and one for all, since the proxies started and in the window.
pub async fn report(kv: &kv::Client, objective: f64, window: u64) -> Result<String, String> {
    let proxies: Vec<Heartbeat> = proxy::all(kv).await?.into_iter().flatten().collect();
    let before = counts(&proxies).await;
    tokio::time::sleep(Duration::from_secs(window)).await;
    let after = counts(&proxies).await;
    let mut lines = vec![
        format!("objective {objective} %; burn 1.0 uses the allowance up exactly"),
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
    let (mut all_start, mut all_window) = (Count::default(), Count::default());
    for (index, proxy) in proxies.iter().enumerate() {
        let (Some(before), Some(after)) = (before[index], after[index]) else {
            lines.push(format!("{:<16} {:<8} no answer", proxy.id, proxy.dc));
            continue;
        };
        lines.push(line(&proxy.id, &proxy.dc, after, after - before, objective));
        all_start = add(all_start, after);
        all_window = add(all_window, after - before);
    }
    lines.push(line("all", "", all_start, all_window, objective));
    Ok(lines.join("\n"))
}

fn line(id: &str, dc: &str, start: Count, window: Count, objective: f64) -> String {
    let (start, window) = (start.columns(objective), window.columns(objective));
    format!("{id:<16} {dc:<8} {start} | {window}")
}

fn add(one: Count, other: Count) -> Count {
    Count {
        all: one.all + other.all,
        failed: one.failed + other.failed,
    }
}

async fn counts(proxies: &[Heartbeat]) -> Vec<Option<Count>> {
    let reads = proxies.iter().map(|proxy| async {
        let figures: Vec<Figure> = proxy::get(&proxy.operator, "/metrics").await.ok()?;
        Some(Count::of(&figures))
    });
    futures::future::join_all(reads).await
}

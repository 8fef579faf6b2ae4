//! What callers heard, held against the servers' logs.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde_json::Value;
use tokio::time::sleep;

use super::{
    caller::{Heard, Outcome},
    fixture::line::Site,
};

/// How often each item's data stands in a log.
struct Log(BTreeMap<(String, String), usize>);

impl Log {
    fn new(log: &Value) -> Self {
        let mut counts = BTreeMap::new();
        for entry in log.as_array().into_iter().flatten() {
            let text = |index: usize| entry[index].as_str().unwrap_or_default().to_owned();
            *counts.entry((text(0), text(1))).or_default() += 1;
        }
        Self(counts)
    }

    fn count(&self, item: String, number: u64) -> usize {
        let found = self.0.get(&(item, number.to_string()));
        found.copied().unwrap_or(0)
    }
}

/// How long a failover that the last fault brought about may go on after all proxies served again: its
/// attempt, the wait and the time until it takes effect, twice.
const LED_WITHIN: Duration = Duration::from_secs(3);

/// The group once somebody leads. The old primary may have just stepped down for a failover: until the next
/// leads there is no log to hold anything against.
async fn led(site: &Site) -> Option<Value> {
    let begun = Instant::now();
    while begun.elapsed() < LED_WITHIN {
        let group = site.group().await;
        if group["leader"].is_u64() {
            return Some(group);
        }
        sleep(Duration::from_millis(50)).await;
    }
    None
}

/// Holds what callers heard against the log of the server that leads in the end, and against that of each
/// server that was promoted.
pub async fn compare(site: &Site, heard: &[BTreeMap<u64, Heard>]) -> Vec<String> {
    let Some(group) = led(site).await else {
        return vec![format!("nobody leads within {LED_WITHIN:?}")];
    };
    let mut broken = lost_by_promotions(site, heard).await;
    let log = Log::new(&group["log"]);
    for (index, heard) in heard.iter().enumerate() {
        for (number, Heard { outcome, .. }) in heard {
            let own = log.count(format!("own{index}"), *number);
            let twin = log.count(format!("twin{index}"), *number);
            let right = match outcome {
                Outcome::Kept => own == 1,
                Outcome::NotRun => own == 0,
                Outcome::Unknown => own <= 1,
            };
            if !right || (number % 3 == 0 && twin != own) {
                broken.push(format!(
                    "write {number} of caller {index}, {outcome:?}: {own} and {twin} times in the log"
                ));
            }
        }
    }
    broken
}

/// The writes that callers heard were kept before a promotion took effect, and that the server promoted
/// lacked. A later promotion may bring such a write back, so the last log does not show it.
async fn lost_by_promotions(site: &Site, heard: &[BTreeMap<u64, Heard>]) -> Vec<String> {
    let promotions = site.promotions().await;
    let mut lost = Vec::new();
    for promotion in promotions.as_array().into_iter().flatten() {
        let log = Log::new(&promotion["log"]);
        let at_us = promotion["at_us"].as_u64().unwrap_or_default();
        for (index, heard) in heard.iter().enumerate() {
            let before = heard
                .iter()
                .filter(|(_, heard)| heard.outcome == Outcome::Kept && heard.at_us <= at_us);
            for (number, heard) in before {
                if log.count(format!("own{index}"), *number) == 0 {
                    lost.push(format!(
                        "write {number} of caller {index}, kept {} us before, is not in the log of \
                         server {} promoted for term {}",
                        at_us - heard.at_us,
                        promotion["server"],
                        promotion["term"]
                    ));
                }
            }
        }
    }
    lost
}

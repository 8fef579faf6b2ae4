//! Checks the answers that callers received against the servers' logs.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde_json::Value;
use tokio::time::sleep;

use super::{
    caller::{Outcome, Reply},
    fixture::line::Site,
};

/// Number of entries in a log by item and data.
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

/// Time limit of a failover that is still in progress when all proxies serve writes again: twice
/// the time for an attempt, the wait before the promotion call, and the promotion to take effect.
const PRIMARY_TIMEOUT: Duration = Duration::from_secs(3);

/// Waits for a primary and returns the group's state. Without a primary, for example while a
/// failover has made the old one step down, there is no log to check.
async fn wait_for_primary(site: &Site) -> Option<Value> {
    let started_at = Instant::now();
    while started_at.elapsed() < PRIMARY_TIMEOUT {
        let group = site.group().await;
        if group["leader"].is_u64() {
            return Some(group);
        }
        sleep(Duration::from_millis(50)).await;
    }
    None
}

/// Checks the callers' replies against the log of the final primary and, for acknowledged writes,
/// the log of every promoted server at its promotion. Returns a description of each violation.
pub async fn find_violations(site: &Site, replies: &[BTreeMap<u64, Reply>]) -> Vec<String> {
    let Some(group) = wait_for_primary(site).await else {
        return vec![format!("no primary within {PRIMARY_TIMEOUT:?}")];
    };
    let mut violations = lost_by_promotions(site, replies).await;
    let log = Log::new(&group["log"]);
    for (index, replies) in replies.iter().enumerate() {
        for (number, Reply { outcome, .. }) in replies {
            let own = log.count(format!("own{index}"), *number);
            let twin = log.count(format!("twin{index}"), *number);
            let is_valid = match outcome {
                Outcome::Acked => own == 1,
                Outcome::NotRun => own == 0,
                Outcome::Unknown => own <= 1,
            };
            if !is_valid || (number % 3 == 0 && twin != own) {
                violations.push(format!(
                    "write {number} of caller {index}, {outcome:?}: own item {own} times, twin item \
                     {twin} times in the log"
                ));
            }
        }
    }
    violations
}

/// Finds writes that were acknowledged before a promotion took effect and that the promoted server
/// lacks. The final log does not show all of them, as a later promotion may bring such a write
/// back.
async fn lost_by_promotions(site: &Site, replies: &[BTreeMap<u64, Reply>]) -> Vec<String> {
    let promotions = site.promotions().await;
    let mut lost = Vec::new();
    for promotion in promotions.as_array().into_iter().flatten() {
        let log = Log::new(&promotion["log"]);
        let at_us = promotion["at_us"].as_u64().unwrap_or_default();
        for (index, replies) in replies.iter().enumerate() {
            let before = replies
                .iter()
                .filter(|(_, reply)| reply.outcome == Outcome::Acked && reply.at_us <= at_us);
            for (number, reply) in before {
                if log.count(format!("own{index}"), *number) == 0 {
                    lost.push(format!(
                        "write {number} of caller {index}, acknowledged {} us before the promotion, is \
                         not in the log of server {} promoted for term {}",
                        at_us - reply.at_us,
                        promotion["server"],
                        promotion["term"]
                    ));
                }
            }
        }
    }
    lost
}

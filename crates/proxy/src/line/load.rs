//! Reports what the connections of each group are used for, in the metrics and the status report.

use std::{rc::Rc, time::Duration};

use dandelionpitch_engine::slots::Load;
use serde::Serialize;
use tokio::sync::watch;

use crate::{line::shared::Shared, metrics::Metrics};

/// How often the load is reported.
const INTERVAL: Duration = Duration::from_secs(1);

/// The load of this proxy's connections to the servers of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Report {
    pub service: String,
    #[serde(flatten)]
    pub load: Load,
}

/// Publishes the load of all groups that have any, sorted by name, until the process ends.
pub async fn run(shared: Rc<Shared>, publish: watch::Sender<Vec<Report>>) {
    let mut interval = tokio::time::interval(INTERVAL);
    loop {
        interval.tick().await;
        let reports = reports(&shared);
        publish.send_if_modified(|published| {
            let changed = *published != reports;
            if changed {
                record(&shared.metrics, published, &reports);
                *published = reports;
            }
            changed
        });
    }
}

fn reports(shared: &Shared) -> Vec<Report> {
    let groups = shared.groups.borrow();
    let reports = groups.values().map(|group| Report {
        service: group.name.clone(),
        load: group.load(),
    });
    let is_used = |report: &Report| report.load != Load::default();
    let mut reports: Vec<Report> = reports.filter(is_used).collect();
    reports.sort_unstable_by(|a, b| a.service.cmp(&b.service));
    reports
}

/// Records the loads that changed, and that of a group which has none any more.
fn record(metrics: &Metrics, before: &[Report], now: &[Report]) {
    let find = |reports: &[Report], service: &str| {
        let index = reports.binary_search_by(|report| report.service.as_str().cmp(service));
        index.ok().map(|index| reports[index].load)
    };
    for report in now {
        if find(before, &report.service) != Some(report.load) {
            metrics.load(&report.service, report.load);
        }
    }
    for report in before {
        if find(now, &report.service).is_none() {
            metrics.load(&report.service, Load::default());
        }
    }
}

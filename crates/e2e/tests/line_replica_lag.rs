//! Reads of a group whose replicas apply their log later than the reads' staleness bound.

mod fixture;

use std::time::{Duration, Instant};

use fixture::line::{rows, Site, SESSION};

/// Longer than the staleness bound of [`SESSION`], so that a replica lacks nearly every position that a
/// read requires.
const LAG_MS: &str = "3000";

/// The connections that each server accepts.
const MAX_CONNECTIONS: usize = 30;

/// How long a session writes and reads.
const RUN_TIME: Duration = Duration::from_secs(4);

/// Replicas may be probed at this interval, so that they are found again once they have caught up.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The number of attempts that a replica refused because it lags, as the proxy counts them.
async fn lagging_attempts(site: &Site) -> u64 {
    let url = format!("http://{}/metrics", site.proxies[0].operator);
    let answer = reqwest::get(url).await.expect("the proxy answers");
    let text = answer.text().await.expect("UTF-8 text");
    let count = text
        .lines()
        .find_map(|line| line.strip_prefix("attempts{reason=\"Lagging\"} "));
    count.map_or(0, |count| count.parse().expect("a number"))
}

/// Writes and reads alternately for [`RUN_TIME`]. Every read must see its write, from the primary. Returns
/// the number of reads and of attempts that replicas refused.
async fn write_and_read(name: &str, settings: &str) -> (Site, u64, u64) {
    let site =
        Site::start_with_settings(name, 1, MAX_CONNECTIONS, settings, &["--lag-ms", LAG_MS]).await;
    let mut caller = site.caller(0, SESSION);
    let mut reads = 0;
    let started = Instant::now();
    while started.elapsed() < RUN_TIME {
        assert!(caller.query(&format!("PUT a {reads}")).is_done());
        let seen = caller.query("FETCH a");
        assert_eq!(rows(&seen), [reads.to_string()]);
        assert_eq!(seen.server(), "i-0");
        reads += 1;
    }
    let attempts = lagging_attempts(&site).await;
    (site, reads, attempts)
}

/// Guards against reads that ask replicas which lag, apart from one probe at an interval.
#[tokio::test]
async fn predicted_lag_sends_reads_to_the_primary() {
    let settings = "replica_lag = \"predicted\"\n";

    let (site, reads, attempts) = write_and_read("predicted", settings).await;

    let probes_each = RUN_TIME.as_millis() / PROBE_INTERVAL.as_millis() + 1;
    println!("{reads} reads, {attempts} attempts");
    assert!(reads > 100, "{reads}");
    assert!(u128::from(attempts) <= 2 * probes_each, "{attempts}");
    assert!(site.has_logged(0, "\"kind\":\"replica lag\""));
}

/// The default is as before: a replica that lacked a position is asked again after 150 ms.
#[tokio::test]
async fn observed_lag_is_the_default() {
    let (site, reads, attempts) = write_and_read("observed", "").await;

    println!("{reads} reads, {attempts} attempts");
    assert!(attempts > 30, "{attempts}");
    assert!(!site.has_logged(0, "\"kind\":\"replica lag\""));
}

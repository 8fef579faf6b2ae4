//! A proxy that restarts while the store does not answer copies its content from a live proxy.

mod fixture;

use std::time::{Duration, Instant};

use fixture::line::{rows, Caller, Site, LATEST, SESSION};
use serde_json::Value;

const PROXIES: usize = 3;
const MAX_CONNECTIONS: usize = 30;

/// The proxy that is restarted. It is one of the seeds, as all proxies are.
const RESTARTED: usize = 0;

/// How the store fails for the restarted proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outage {
    /// It refuses all calls of all proxies, so that the seed has lost its source as well.
    Down,
    /// Its calls get no answer.
    Silent,
}

/// How long the store is down before the proxy is restarted, so that the seed's copy is older than one that
/// is relayed.
const OUTAGE: Duration = Duration::from_millis(2_500);

/// Time limit for the restarted proxy to serve its first caller: the store is waited for 600 ms.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(2);

impl Outage {
    async fn begin(self, site: &Site) {
        match self {
            Self::Down => site.store_fault("down", true).await,
            Self::Silent => site.gateways[RESTARTED].set_silent(),
        }
    }

    async fn end(self, site: &Site) {
        match self {
            Self::Down => site.store_fault("down", false).await,
            Self::Silent => site.gateways[RESTARTED].set_open(true),
        }
    }
}

/// How long a proxy that was just started takes to answer a read, or [`SERVICE_TIMEOUT`] if that is longer.
async fn time_to_first_answer(site: &Site, item: &str) -> Duration {
    let started_at = Instant::now();
    while started_at.elapsed() < SERVICE_TIMEOUT {
        let caller = Caller::open(&site.proxies[RESTARTED].listen, SESSION);
        let answer = caller.and_then(|mut caller| caller.try_query(&format!("FETCH {item}")));
        if answer.is_some_and(|answer| rows(&answer) == ["kept"]) {
            return started_at.elapsed();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    SERVICE_TIMEOUT
}

fn age(status: &Value) -> Duration {
    Duration::from_millis(status["changes"]["age_ms"].as_u64().unwrap_or_default())
}

/// Guards against callers that are refused until the store answers, against a copy that looks newer than it
/// is, and against a proxy that stays with the seed's copy when the store is back.
#[yare::parameterized(
    down = { Outage::Down },
    silent = { Outage::Silent },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn restarted_proxy_serves_from_a_seed_while_the_store_fails(outage: Outage) {
    let name = format!("seeds-{outage:?}");
    let mut site = Site::start_with_fixed_peers(&name, PROXIES, MAX_CONNECTIONS, PROXIES).await;
    let mut writer = site.caller(1, LATEST);
    writer.query_until_done("PUT a kept", SERVICE_TIMEOUT);
    outage.begin(&site).await;
    tokio::time::sleep(OUTAGE).await;

    site.restart_proxy(RESTARTED);
    let waited = time_to_first_answer(&site, "a").await;
    let status = site.status(RESTARTED).await;
    let ready = site.is_ready_now(RESTARTED).await;
    outage.end(&site).await;
    site.configure(2, &[LATEST, SESSION]).await;
    let followed = fixture::eventually(Duration::from_secs(3), || async {
        site.status(RESTARTED).await["version"] == 2
    });
    let followed = followed.await;

    let logged = fixture::eventually(Duration::from_secs(3), || async {
        site.has_logged(RESTARTED, "copied_from")
    });
    let logged = logged.await;

    let log = site.proxy_log(RESTARTED);
    assert!(waited < SERVICE_TIMEOUT, "{log:#?}");
    assert!(ready && logged, "{log:#?}");
    assert!(
        outage == Outage::Silent || age(&status) > OUTAGE,
        "{status}"
    );
    assert!(followed, "{log:#?}");
}

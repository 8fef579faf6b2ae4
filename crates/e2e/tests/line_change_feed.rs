//! Store changes reach proxies that do not watch the store, even if the relays they follow fail.

mod fixture;

use std::time::{Duration, Instant};

use fixture::line::{Site, LATEST, SESSION};

/// More proxies than relays, so that some are followers.
const PROXIES: usize = 5;
const RELAYS: usize = 2;

/// Starts a site and waits until its relays are elected. Also returns the indexes of the relays.
async fn start_site(name: &str) -> (Site, Vec<usize>) {
    let site = Site::start(name, PROXIES).await;
    let settled = fixture::eventually(Duration::from_secs(10), || async {
        relays(&site).await.len() == RELAYS
    });
    assert!(settled.await, "relays: {:?}", relays(&site).await);
    let relays = relays(&site).await;
    (site, relays)
}

/// The indexes of the proxies that get changes from the store itself.
async fn relays(site: &Site) -> Vec<usize> {
    let mut relays = Vec::new();
    for index in 0..site.proxies.len() {
        if site.status(index).await["changes"]["from"] == "store" {
            relays.push(index);
        }
    }
    relays
}

/// Waits until all proxies but the `excluded` ones have applied `version`.
async fn wait_for_version_except(site: &Site, version: u64, excluded: &[usize]) {
    for index in (0..PROXIES).filter(|index| !excluded.contains(index)) {
        site.wait_for_version_at(index, version).await;
    }
}

/// Only the relays watch the store, so the number of requests does not grow with the number of
/// proxies. The followers' data stays recent all the same.
#[tokio::test]
async fn followers_do_not_watch_the_store() {
    let (site, _) = start_site("feed-calm").await;
    let before = site.group().await["watches"].as_u64().unwrap_or_default();
    tokio::time::sleep(Duration::from_secs(6)).await;

    let after = site.group().await["watches"].as_u64().unwrap_or_default();
    let mut ages = Vec::new();
    for index in 0..PROXIES {
        let status = site.status(index).await;
        ages.push(status["changes"]["age_ms"].as_u64().unwrap_or(u64::MAX));
    }

    // A watch request waits up to 1.5 s.
    assert!(after - before <= 2 * RELAYS as u64 * 5, "{before} {after}");
    assert!(ages.iter().all(|age| *age < 6_000), "{ages:?}");
}

/// Both relays freeze with their connections open, so their followers get neither changes nor
/// errors. A new configuration must still reach the followers within the usual time.
#[tokio::test]
async fn configuration_reaches_followers_of_frozen_relays() {
    let (site, relays) = start_site("feed-frozen").await;
    for index in &relays {
        site.proxies[*index].process.set_paused(true);
    }

    site.configure(2, &[LATEST, SESSION]).await;
    wait_for_version_except(&site, 2, &relays).await;

    for index in &relays {
        site.proxies[*index].process.set_paused(false);
    }
    site.wait_for_version(2).await;
}

/// Both relays are killed and restarted. A configuration put while they are down and one put after
/// that are both applied in time by all running proxies.
#[tokio::test]
async fn configuration_reaches_followers_of_killed_relays() {
    let (mut site, relays) = start_site("feed-killed").await;
    for index in &relays {
        site.kill_proxy(*index);
    }

    site.configure(2, &[LATEST, SESSION]).await;
    wait_for_version_except(&site, 2, &relays).await;
    for index in &relays {
        let proxy = site.start_proxy(*index);
        site.proxies[*index] = proxy;
    }
    for index in &relays {
        assert!(site.becomes_ready(*index).await, "{index} is not ready");
    }
    site.configure(3, &[LATEST, SESSION]).await;

    site.wait_for_version(3).await;
}

/// A relay gets SIGTERM. Its followers switch to another one before it exits and miss no change.
#[tokio::test]
async fn configuration_reaches_followers_of_a_stopping_relay() {
    let (site, relays) = start_site("feed-stopping").await;
    site.proxies[relays[0]].process.terminate();
    tokio::time::sleep(Duration::from_millis(300)).await;

    site.configure(2, &[LATEST, SESSION]).await;

    wait_for_version_except(&site, 2, &relays[..1]).await;
}

/// The store is down for some seconds and discards its change history. A configuration put after
/// that is applied in time by all proxies, and only the relays watch the store again.
#[tokio::test]
async fn followers_recover_after_a_store_outage() {
    let (site, _) = start_site("feed-away").await;
    site.store_fault("down", true).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    site.store_fault("down", false).await;
    site.store_fault("forget", true).await;

    site.configure(2, &[LATEST, SESSION]).await;
    site.wait_for_version(2).await;

    let settled = fixture::eventually(Duration::from_secs(10), || async {
        relays(&site).await.len() == RELAYS
    });
    assert!(settled.await, "relays: {:?}", relays(&site).await);
}

/// The longest time that one of the `followers` takes to apply a configuration, of `count` that are put
/// with `interval` between them.
async fn longest_delay(
    site: &Site,
    followers: &[usize],
    count: u64,
    interval: Duration,
) -> Duration {
    let mut longest = Duration::ZERO;
    let mut pending: Vec<(u64, Instant)> = Vec::new();
    let mut next_put = Instant::now();
    let mut version = 1;
    while version <= count || !pending.is_empty() {
        if version <= count && Instant::now() >= next_put {
            version += 1;
            site.configure(version, &[LATEST, SESSION]).await;
            pending.push((version, Instant::now()));
            next_put = Instant::now() + interval;
        }
        let mut applied = u64::MAX;
        for index in followers {
            let at = site.status(*index).await["version"].as_u64();
            applied = applied.min(at.unwrap_or_default());
        }
        for (_, put) in pending.iter().filter(|(version, _)| *version <= applied) {
            longest = longest.max(put.elapsed());
        }
        pending.retain(|(version, _)| *version > applied);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    longest
}

/// The store rejects both relays of a data centre. Guards against relays that follow each other and tell
/// their followers that nothing has changed.
#[tokio::test(flavor = "multi_thread")]
async fn configurations_reach_followers_of_relays_that_the_store_rejects() {
    let dcs = ["dc-1", "dc-1", "dc-1", "dc-1", "dc-2", "dc-2"];
    let site = Site::start_behind_gateways("feed-rejected", &dcs).await;
    let settled = fixture::eventually(Duration::from_secs(10), || async {
        relays(&site).await.len() == 2 * RELAYS
    });
    assert!(settled.await, "relays: {:?}", relays(&site).await);
    let is_local = |index: &usize| dcs[*index] == "dc-1";
    let rejected: Vec<usize> = relays(&site).await.into_iter().filter(is_local).collect();
    let followers: Vec<usize> = (0..dcs.len())
        .filter(|index| is_local(index) && !rejected.contains(index))
        .collect();
    for index in &rejected {
        site.gateways[*index].set_open(false);
    }

    let longest = longest_delay(&site, &followers, 30, Duration::from_millis(400)).await;

    assert!(longest < Duration::from_secs(3), "{longest:?}");
}

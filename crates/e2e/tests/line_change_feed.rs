//! Store changes reach proxies that do not watch the store, even if the relays they follow fail.

mod fixture;

use std::time::Duration;

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
    for index in 0..PROXIES {
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

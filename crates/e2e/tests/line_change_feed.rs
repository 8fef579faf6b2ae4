//! Changes of the store reach proxies that do not watch it, whatever happens to those that do.

mod fixture;

use std::time::Duration;

use fixture::line::{Site, LATEST, SESSION};

/// More than watch the store: two of them do.
const PROXIES: usize = 5;
const RELAYS: usize = 2;

/// A site in which two proxies watch the store and the others hear from them; and which those two are.
async fn start_site(name: &str) -> (Site, Vec<usize>) {
    let site = Site::start(name, PROXIES).await;
    let settled = fixture::eventually(Duration::from_secs(10), || async {
        relays(&site).await.len() == RELAYS
    });
    assert!(settled.await, "relays: {:?}", relays(&site).await);
    let relays = relays(&site).await;
    (site, relays)
}

/// The proxies that hear of changes from the store itself.
async fn relays(site: &Site) -> Vec<usize> {
    let mut relays = Vec::new();
    for index in 0..PROXIES {
        if site.status(index).await["changes"]["from"] == "store" {
            relays.push(index);
        }
    }
    relays
}

/// Waits until `version` is in force everywhere but at `left_out`.
async fn wait_for_version_except(site: &Site, version: u64, excluded: &[usize]) {
    for index in (0..PROXIES).filter(|index| !excluded.contains(index)) {
        site.wait_for_version_at(index, version).await;
    }
}

/// Nothing happens for some seconds. Only two of five proxies wait at the store for changes, so calls
/// do not grow with the fleet, and what the others know stays young all the same.
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

    // A watch waits 1.5 s.
    assert!(after - before <= 2 * RELAYS as u64 * 5, "{before} {after}");
    assert!(ages.iter().all(|age| *age < 6_000), "{ages:?}");
}

/// Both feeders are frozen and their connections stay open, so their followers hear nothing and no error
/// either. A configuration is put: it is in force at the others within its bound.
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

/// Both feeders are killed at once, and start again a moment later. Two configurations are put, one while they
/// are gone and one after it; neither is late anywhere, and none goes back to the first.
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

/// A feeder is stopped as planned: its followers turn to others before it ends, and miss nothing.
#[tokio::test]
async fn configuration_reaches_followers_of_a_stopping_relay() {
    let (site, relays) = start_site("feed-stopping").await;
    site.proxies[relays[0]].process.terminate();
    tokio::time::sleep(Duration::from_millis(300)).await;

    site.configure(2, &[LATEST, SESSION]).await;

    wait_for_version_except(&site, 2, &relays[..1]).await;
}

/// The store is away for some seconds and forgets its history. Nobody hears anything; when it is back a new
/// configuration is in force everywhere within its bound, and the followers leave the store to the feeders again.
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

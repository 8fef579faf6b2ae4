//! Changes of the store reach proxies that do not watch it, whatever happens to those that do.

mod fixture;

use std::time::Duration;

use fixture::line::{Site, LATEST, SESSION};

/// More than watch the store: two of them do.
const PROXIES: usize = 5;
const FEEDERS: usize = 2;

/// A site in which two proxies watch the store and the others hear from them; and which those two are.
async fn fed(name: &str) -> (Site, Vec<usize>) {
    let site = Site::start(name, PROXIES).await;
    let settled = fixture::eventually(Duration::from_secs(10), || async {
        feeders(&site).await.len() == FEEDERS
    });
    assert!(settled.await, "feeders: {:?}", feeders(&site).await);
    let feeders = feeders(&site).await;
    (site, feeders)
}

/// The proxies that hear of changes from the store itself.
async fn feeders(site: &Site) -> Vec<usize> {
    let mut feeders = Vec::new();
    for index in 0..PROXIES {
        if site.status(index).await["changes"]["from"] == "store" {
            feeders.push(index);
        }
    }
    feeders
}

/// Waits until `version` is in force everywhere but at `left_out`.
async fn in_force_but_at(site: &Site, version: u64, left_out: &[usize]) {
    for index in (0..PROXIES).filter(|index| !left_out.contains(index)) {
        site.wait_for_version_at(index, version).await;
    }
}

/// Nothing happens for some seconds. Only two of five proxies wait at the store for changes, so calls
/// do not grow with the fleet, and what the others know stays young all the same.
#[tokio::test]
async fn followers_do_not_call_the_store() {
    let (site, _) = fed("feed-calm").await;
    let before = site.group().await["watches"].as_u64().unwrap_or_default();
    tokio::time::sleep(Duration::from_secs(6)).await;

    let after = site.group().await["watches"].as_u64().unwrap_or_default();
    let mut ages = Vec::new();
    for index in 0..PROXIES {
        let status = site.status(index).await;
        ages.push(status["changes"]["age_ms"].as_u64().unwrap_or(u64::MAX));
    }

    // A watch waits 1.5 s.
    assert!(after - before <= 2 * FEEDERS as u64 * 5, "{before} {after}");
    assert!(ages.iter().all(|age| *age < 6_000), "{ages:?}");
}

/// Both feeders are frozen and their connections stay open, so their followers hear nothing and no error
/// either. A configuration is put: it is in force at the others within its bound.
#[tokio::test]
async fn configuration_arrives_past_frozen_feeders() {
    let (site, feeders) = fed("feed-frozen").await;
    for index in &feeders {
        site.proxies[*index].process.set_paused(true);
    }

    site.configure(2, &[LATEST, SESSION]).await;
    in_force_but_at(&site, 2, &feeders).await;

    for index in &feeders {
        site.proxies[*index].process.set_paused(false);
    }
    site.wait_for_version(2).await;
}

/// Both feeders are killed at once, and start again a moment later. Two configurations are put, one while they
/// are gone and one after it; neither is late anywhere, and none goes back to the first.
#[tokio::test]
async fn configuration_arrives_past_killed_feeders() {
    let (mut site, feeders) = fed("feed-killed").await;
    for index in &feeders {
        site.kill_proxy(*index);
    }

    site.configure(2, &[LATEST, SESSION]).await;
    in_force_but_at(&site, 2, &feeders).await;
    for index in &feeders {
        let proxy = site.start_proxy(*index);
        site.proxies[*index] = proxy;
    }
    for index in &feeders {
        assert!(site.becomes_ready(*index).await, "{index} is not ready");
    }
    site.configure(3, &[LATEST, SESSION]).await;

    site.wait_for_version(3).await;
}

/// A feeder is stopped as planned: its followers turn to others before it ends, and miss nothing.
#[tokio::test]
async fn configuration_arrives_past_a_stopping_feeder() {
    let (site, feeders) = fed("feed-stopping").await;
    site.proxies[feeders[0]].process.terminate();
    tokio::time::sleep(Duration::from_millis(300)).await;

    site.configure(2, &[LATEST, SESSION]).await;

    in_force_but_at(&site, 2, &feeders[..1]).await;
}

/// The store is away for some seconds and forgets its history. Nobody hears anything; when it is back a new
/// configuration is in force everywhere within its bound, and the followers leave the store to the feeders again.
#[tokio::test]
async fn followers_hear_again_after_the_store_was_away() {
    let (site, _) = fed("feed-away").await;
    site.store_fault("down", true).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    site.store_fault("down", false).await;
    site.store_fault("forget", true).await;

    site.configure(2, &[LATEST, SESSION]).await;
    site.wait_for_version(2).await;

    let settled = fixture::eventually(Duration::from_secs(10), || async {
        feeders(&site).await.len() == FEEDERS
    });
    assert!(settled.await, "feeders: {:?}", feeders(&site).await);
}

//! Basic operation end to end, with the KV, the group, two proxies and the CLI as separate
//! processes.

mod fixture;

use std::time::Duration;

use fixture::{connect, eventually, operator_json, scalar, Site};

const TIMEOUT: Duration = Duration::from_secs(10);

/// A session moves to another proxy with its token and reads its write at once. The replicas lag,
/// so a read that ignored the token would miss the write.
#[tokio::test]
async fn read_your_writes_after_roaming() {
    let site = Site::start("roam", 2, 300).await;
    let first = connect(&site.proxies[0], "member", "").await;

    first
        .simple_query("INSERT INTO ledger (id, body) VALUES ('order-1', 'placed')")
        .await
        .expect("the write is acknowledged");
    let token = scalar(&first, "SHOW dandelionpitch.position")
        .await
        .expect("a token");
    let option = format!("-c dandelionpitch.position={token}");
    let second = connect(&site.proxies[1], "member", &option).await;
    let seen = scalar(&second, "SELECT * FROM ledger WHERE id = 'order-1'").await;

    assert_eq!(seen.as_deref(), Some("order-1"), "token {token}");
}

/// A new session without a token sees all writes acknowledged before it connected, as the proxy
/// asks the primary for its position before the first read.
#[tokio::test]
async fn read_your_writes_without_token() {
    let site = Site::start("barrier", 2, 300).await;
    let first = connect(&site.proxies[0], "member", "").await;

    first
        .simple_query("INSERT INTO ledger (id, body) VALUES ('order-2', 'placed')")
        .await
        .expect("the write is acknowledged");
    let second = connect(&site.proxies[1], "member", "").await;
    let seen = scalar(&second, "SELECT * FROM ledger WHERE id = 'order-2'").await;

    assert_eq!(seen.as_deref(), Some("order-2"));
}

/// A caller that accepts 5 s of staleness is served by a replica, according to the answer and to
/// the proxy's metrics.
#[tokio::test]
async fn stale_tolerant_read_goes_to_replica() {
    let site = Site::start("replica", 1, 20).await;
    let client = connect(&site.proxies[0], "lookup", "").await;

    let served_by_replica = eventually(TIMEOUT, || async {
        scalar(&client, "SHOW dandelionpitch.server")
            .await
            .is_some_and(|s| s != "0")
    })
    .await;
    let metrics = operator_json(&site.proxies[0], "/metrics").await;

    assert!(served_by_replica);
    let replica_reads = metrics
        .as_array()
        .unwrap()
        .iter()
        .any(|sample| sample["name"] == "reads" && sample["attributes"][0][1] == "replica");
    assert!(replica_reads, "{metrics}");
}

/// A bundle put with the CLI is applied by both proxies, and an older version is refused.
#[tokio::test]
async fn bundle_is_applied_everywhere_and_never_reverts() {
    let site = Site::start("bundle", 2, 20).await;

    let (put, text) = site.put_bundle(2);
    let everywhere = eventually(TIMEOUT, || async {
        let mut all = true;
        for proxy in &site.proxies {
            all &= operator_json(proxy, "/status").await["bundle_version"] == 2;
        }
        all
    })
    .await;
    let (older, refusal) = site.put_bundle(1);

    assert!(put, "{text}");
    assert!(everywhere);
    assert!(!older, "{refusal}");
    assert!(refusal.contains("never revert"), "{refusal}");
}

/// A new bundle that forbids stale reads, and one that removes the user, apply to an open session
/// and not only to later ones.
#[tokio::test]
async fn bundle_applies_to_open_sessions() {
    let site = Site::start("open-session", 1, 20).await;
    let lookup = connect(&site.proxies[0], "lookup", "").await;
    let server = || scalar(&lookup, "SHOW dandelionpitch.server");
    let on_replica = eventually(TIMEOUT, || async {
        server().await.is_some_and(|s| s != "0")
    })
    .await;

    let strict = |text: String| text.replace("\"5s\"", "\"0s\"");
    assert!(site.put_bundle_with(2, strict).0);
    let is_applied = eventually(TIMEOUT, || async {
        operator_json(&site.proxies[0], "/status").await["bundle_version"] == 2
    })
    .await;
    let mut after = Vec::new();
    for _ in 0..20 {
        after.push(server().await.expect("an answer"));
    }
    let unknown = |text: String| text.replace("\"lookup\"", "\"someone\"");
    assert!(site.put_bundle_with(3, unknown).0);
    let refused = eventually(TIMEOUT, || async {
        let code = fixture::refusal(&lookup, "SELECT 1").await;
        code.as_deref() == Some("28000")
    })
    .await;

    assert!(on_replica && is_applied);
    assert!(after.iter().all(|server| server == "0"), "{after:?}");
    assert!(refused, "the session of an unknown caller continues");
}

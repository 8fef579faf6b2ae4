//! Failovers while the platform KV loses answers or is down.

use super::*;

/// The KV applies every write of the failover and loses each answer. The claimant must read the
/// record again, find its own claim and continue, instead of claiming another term.
#[tokio::test]
async fn kv_answers_lost_after_applying() {
    let site = Site::build(&Layout::new("kv-lost", TWO_IN_ONE_DC)).await;
    let writers = vec![Writer::start(&site.proxies[0], "a")];
    tokio::time::sleep(OBSERVATION_PERIOD).await;
    let lose = serde_json::json!({ "lose_answer": true });
    site.kv_fault("dc-1", lose).await;

    site.fault(1, "kill", 0, "").await;
    let record = site.wait_for_new_primary(1).await;
    let promoted_at = Instant::now();
    tokio::time::sleep(OBSERVATION_PERIOD).await;
    let (attempts, violations) = stop_and_check(&site, writers, promoted_at).await;

    assert_eq!(violations, Violations::default());
    history::assert_writes_resumed(&attempts, promoted_at);
    assert_eq!(record.term, 2);
}

/// The KV is down when the primary dies, so no term can be claimed and no server is promoted.
/// Writes are refused as not run. Once the KV is available again, the failover completes at term 2.
#[tokio::test]
async fn kv_down_during_failover() {
    let site = Site::build(&Layout::new("kv-down", TWO_IN_ONE_DC)).await;
    let member = connect(&site.proxies[0], "member", "").await;
    site.kv_fault("dc-1", serde_json::json!({ "down": true }))
        .await;

    site.fault(1, "kill", 0, "").await;
    fixture::wait_for_no_primary(&site.proxies[0]).await;
    let refused = refusal(&member, &insert("order-1")).await;
    let while_down = reported_primaries(&site, &[1, 2]).await;
    site.kv_fault("dc-1", serde_json::json!({})).await;
    let record = site.wait_for_new_primary(1).await;
    wait_for_writes(&site, 0, "order-2").await;

    assert_eq!(refused.as_deref(), Some("57P03"));
    assert_eq!(while_down, []);
    assert_eq!(record.term, 2);
    let rows = history::read_log(&site.server(1).await).await;
    assert!(
        !rows.contains_key("order-1"),
        "the refused write was applied"
    );
}

/// The KV goes down between the claim and the promotion. The claim remains valid, so the promotion
/// completes and writes are acknowledged while the KV is still down. Once the KV is available
/// again, the record names the new primary at the same term.
#[tokio::test]
async fn kv_down_after_the_claim() {
    let site = Site::build(&Layout::new("kv-late", TWO_IN_ONE_DC)).await;
    for server in [1, 2] {
        site.fault(0, "slow_fence", server, "600").await;
    }

    site.fault(1, "kill", 0, "").await;
    wait_for_claim(&site).await;
    site.kv_fault("dc-1", serde_json::json!({ "down": true }))
        .await;
    wait_for_writes(&site, 0, "while-down").await;
    let while_down = site.primary_record().await.expect("the claim");
    site.kv_fault("dc-1", serde_json::json!({})).await;
    let record = site.wait_for_new_primary(1).await;

    assert_eq!((while_down.term, while_down.server), (2, None));
    assert_eq!(record.term, 2);
    let primaries = reported_primaries(&site, &[1, 2]).await;
    assert_eq!(primaries.len(), 1);
    assert_eq!(
        record.server.unwrap().to_string(),
        site.servers()[primaries[0].0]
    );
}

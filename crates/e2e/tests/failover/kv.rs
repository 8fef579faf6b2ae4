//! Failovers while the platform KV loses answers or is down.

use super::*;

/// The KV applies every write of the failover and loses each answer. The claimant reads the
/// record back, finds its own claim, and goes on; nobody claims a second term.
#[tokio::test]
async fn kv_answers_lost_after_applying() {
    let site = Site::build(&Layout::new("kv-lost", TWO_IN_ONE_DC)).await;
    let writers = vec![Writer::start(&site.proxies[0], "a")];
    tokio::time::sleep(OBSERVATION_PERIOD).await;
    let lose = serde_json::json!({ "lose_answer": true });
    site.kv_fault("dc-1", lose).await;

    site.fault(1, "kill", 0, "").await;
    let record = site.wait_for_new_primary(1).await;
    let exists = Instant::now();
    tokio::time::sleep(OBSERVATION_PERIOD).await;
    let (attempts, broken) = stop_and_check(&site, writers, exists).await;

    assert_eq!(broken, Violations::default());
    history::assert_writes_resumed(&attempts, exists);
    assert_eq!(record.term, 2);
}

/// The KV is down when the primary dies, so no term can be claimed and nobody is promoted;
/// members are told "not run" after the wait they were promised. Once the KV is back, the
/// failover goes through, at term 2.
#[tokio::test]
async fn kv_down_during_failover() {
    let site = Site::build(&Layout::new("kv-down", TWO_IN_ONE_DC)).await;
    let member = connect(&site.proxies[0], "member", "").await;
    site.kv_fault("dc-1", serde_json::json!({ "down": true }))
        .await;

    site.fault(1, "kill", 0, "").await;
    fixture::wait_for_no_primary(&site.proxies[0]).await;
    let told = refusal(&member, &insert("order-1")).await;
    let while_down = reported_primaries(&site, &[1, 2]).await;
    site.kv_fault("dc-1", serde_json::json!({})).await;
    let record = site.wait_for_new_primary(1).await;
    wait_for_writes(&site, 0, "order-2").await;

    assert_eq!(told.as_deref(), Some("57P03"));
    assert_eq!(while_down, []);
    assert_eq!(record.term, 2);
    let rows = history::read_log(&site.server(1).await).await;
    assert!(!rows.contains_key("order-1"), "it was not run");
}

/// The KV goes down between the claim and the promotion. The claim stands, so the promotion
/// goes on and members write again while the KV is still down; when it is back, the record is
/// completed at the same term.
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
    let leader = reported_primaries(&site, &[1, 2]).await;
    assert_eq!(leader.len(), 1);
    assert_eq!(
        record.server.unwrap().to_string(),
        site.servers()[leader[0].0]
    );
}

//! The stand-in platform without a proxy: servers and promotions behave as the platform's
//! documentation says, so that faults found by the soak can occur on the platform too.

mod fixture;

use std::time::Duration;

use fixture::line::{rows, Answer, Caller, Site};

/// The time from a promotion call until the promotion takes effect.
const PROMOTION_DELAY: Duration = Duration::from_millis(300);

/// How long an old primary keeps its role once it reaches the new one.
const STEP_DOWN_DELAY: Duration = Duration::from_millis(500);

/// Longer than a replica takes to receive a commit.
const REPLICATION_TIME: Duration = Duration::from_millis(120);

async fn start_site(name: &str) -> Site {
    let arguments = [
        "--promote-ms",
        "0",
        "--effect-ms",
        "300",
        "--outranked-ms",
        "500",
    ];
    Site::start_with(name, 0, &arguments).await
}

/// The role, term, log position and pause term in the answer to `STATUS`.
fn parse_status(answer: &Answer) -> Vec<String> {
    let row = rows(answer)[0];
    row.split(' ').take(4).map(str::to_owned).collect()
}

fn query_status(server: &mut Caller) -> Vec<String> {
    parse_status(&server.query("STATUS"))
}

/// Until a promotion takes effect the old primary leads and the replica stays paused. Then the
/// pauses end and the others follow the new term. A second call changes nothing, and the old
/// primary keeps its role for [`STEP_DOWN_DELAY`].
#[tokio::test]
async fn promotion_takes_effect_after_its_call() {
    let site = start_site("effect").await;
    let (mut first, mut second) = (site.server(0).await, site.server(1).await);
    assert!(first.query("PUT a one").is_done());
    assert_eq!(
        parse_status(&second.query("PAUSE 2")),
        ["replica", "1", "1.1", "2"]
    );

    site.promote(1).await;
    let at_call = query_status(&mut second);
    tokio::time::sleep(PROMOTION_DELAY + REPLICATION_TIME).await;
    let in_effect = (query_status(&mut second), query_status(&mut first));
    site.promote(1).await;
    tokio::time::sleep(PROMOTION_DELAY + STEP_DOWN_DELAY).await;
    let later = (query_status(&mut second), query_status(&mut first));

    assert_eq!(at_call, ["replica", "1", "1.1", "2"]);
    assert_eq!(in_effect.0, ["primary", "2", "1.1", "0"]);
    assert_eq!(in_effect.1, ["primary", "1", "1.1", "0"]);
    assert_eq!(later.0, ["primary", "2", "1.1", "0"]);
    assert_eq!(later.1, ["replica", "2", "1.1", "0"]);
}

/// A paused replica crashes and restarts. It has its log but not its pause, so it receives from the
/// old primary again. Connections to its earlier incarnation are closed.
#[tokio::test]
async fn restarted_replica_keeps_its_log_and_loses_its_pause() {
    let site = start_site("comes-back").await;
    let (mut first, mut second) = (site.server(0).await, site.server(1).await);
    assert!(first.query("PUT a one").is_done());
    assert_eq!(parse_status(&second.query("PAUSE 2"))[3], "2");

    site.fault(1, "crashed", true).await;
    site.fault(1, "crashed", false).await;
    let earlier = second.try_query("STATUS");
    let mut second = site.server(1).await;
    let restarted = query_status(&mut second);
    assert!(first.query("PUT a two").is_done());
    tokio::time::sleep(REPLICATION_TIME).await;

    assert_eq!(earlier, None);
    assert_eq!(restarted, ["replica", "1", "1.1", "0"]);
    assert_eq!(query_status(&mut second), ["replica", "1", "1.2", "0"]);
}

/// A primary that crashes and restarts is still the primary, unless another server was promoted
/// meanwhile.
#[tokio::test]
async fn restarted_primary_leads_unless_another_was_promoted() {
    let site = start_site("primary-back").await;
    assert!(site.server(0).await.query("PUT a one").is_done());

    site.fault(0, "crashed", true).await;
    site.fault(0, "crashed", false).await;
    let alone = query_status(&mut site.server(0).await);
    site.fault(0, "crashed", true).await;
    site.promote(1).await;
    tokio::time::sleep(PROMOTION_DELAY + REPLICATION_TIME).await;
    site.fault(0, "crashed", false).await;
    let superseded = query_status(&mut site.server(0).await);

    assert_eq!(alone, ["primary", "1", "1.1", "0"]);
    assert_eq!(superseded[0], "replica");
}

/// A replica that is partitioned from the promoted server alone does not learn of the promotion.
/// Its pause ends all the same, so it receives from the old primary and acknowledges its commits.
#[tokio::test]
async fn replica_partitioned_from_the_new_primary_follows_the_old_one() {
    let site = start_site("cut-from").await;
    let mut servers = (site.server(0).await, site.server(2).await);
    site.partition_servers(1, 2, true).await;
    assert_eq!(parse_status(&servers.1.query("PAUSE 2"))[3], "2");

    site.promote(1).await;
    tokio::time::sleep(PROMOTION_DELAY + REPLICATION_TIME).await;
    let acknowledged = servers.0.query("PUT a one");
    let partitioned = query_status(&mut servers.1);
    site.partition_servers(1, 2, false).await;
    tokio::time::sleep(STEP_DOWN_DELAY + REPLICATION_TIME).await;
    let rejoined = query_status(&mut servers.1);

    assert!(acknowledged.is_done());
    assert_eq!(partitioned, ["replica", "1", "1.1", "0"]);
    assert_eq!(rejoined, ["replica", "2", "1.0", "0"]);
}

/// A busy server rejects commands and statements without executing them and keeps the connection.
#[tokio::test]
async fn busy_server_does_not_execute_what_it_refuses() {
    let site = start_site("busy").await;
    let (mut first, mut second) = (site.server(0).await, site.server(1).await);

    site.fault(0, "busy", true).await;
    site.fault(1, "busy", true).await;
    let refused = [
        first.query("STATUS"),
        first.query("STEPDOWN 2"),
        first.query("PUT a one"),
        second.query("PAUSE 2"),
    ];
    site.fault(0, "busy", false).await;
    site.fault(1, "busy", false).await;

    let codes: Vec<&str> = refused.iter().map(Answer::code).collect();
    assert_eq!(codes, ["BUSY"; 4]);
    assert_eq!(query_status(&mut first), ["primary", "1", "1.0", "0"]);
    assert_eq!(query_status(&mut second), ["replica", "1", "1.0", "0"]);
}

/// Each promotion is recorded with the log of its server, so that tests can compare it with the
/// acknowledged commits.
#[tokio::test]
async fn promotions_are_recorded_with_their_logs() {
    let site = start_site("noted").await;
    let mut first = site.server(0).await;
    assert!(first.query("PUT a one").is_done());
    assert_eq!(parse_status(&site.server(1).await.query("PAUSE 2"))[3], "2");
    assert!(first.query("PUT a two").is_done());

    site.promote(1).await;
    tokio::time::sleep(PROMOTION_DELAY + REPLICATION_TIME).await;
    let promotions = site.promotions().await;

    assert_eq!(promotions[0]["server"], 1);
    assert_eq!(promotions[0]["term"], 2);
    assert_eq!(promotions[0]["log"], serde_json::json!([["a", "one"]]));
}

/// A server that loses its log between the promotion call and its effect is not promoted.
#[tokio::test]
async fn server_that_has_lost_its_log_is_not_promoted() {
    let site = start_site("lost-log").await;
    assert!(site.server(0).await.query("PUT a one").is_done());

    site.promote(1).await;
    site.restart_empty(1).await;
    tokio::time::sleep(PROMOTION_DELAY + REPLICATION_TIME).await;

    assert_eq!(site.group().await["leader"], 0);
    assert_eq!(site.promotions().await, serde_json::json!([]));
}

/// A test can overload the next server to be promoted: from the promotion call on it rejects most
/// requests.
#[tokio::test]
async fn promoted_server_is_overloaded_on_request() {
    let site = start_site("crowded").await;
    let mut second = site.server(1).await;
    site.overload_next_primary(PROMOTION_DELAY * 2).await;

    let before = second.query("STATUS");
    site.promote(1).await;
    let answers: Vec<Answer> = (0..16).map(|_| second.query("STATUS")).collect();
    let reads: Vec<Answer> = (0..16).map(|_| second.query("FETCH a")).collect();
    tokio::time::sleep(PROMOTION_DELAY * 3).await;
    let after = second.query("STATUS");

    assert!(before.is_done() && after.is_done());
    assert_eq!(answers.iter().filter(|answer| answer.is_done()).count(), 1);
    assert_eq!(reads.iter().filter(|answer| answer.is_done()).count(), 4);
}

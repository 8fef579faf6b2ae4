//! The stand-in of the platform itself, without a proxy: what it does to servers and promotions is as the
//! platform's pages say, so that what a soak finds in it can happen there.

mod fixture;

use std::time::Duration;

use fixture::line::{rows, Answer, Caller, Site};

/// How long a promotion of these tests takes to take effect.
const PROMOTION_DELAY: Duration = Duration::from_millis(300);

/// How long an old primary of these tests goes on once it reaches the new one.
const SUPERSEDED_DELAY: Duration = Duration::from_millis(500);

/// Longer than a replica needs to receive a commit.
const REPLICATION_TIME: Duration = Duration::from_millis(120);

async fn site(name: &str) -> Site {
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

/// Role, term, position, and the term for which it is held.
fn parse_status(answer: &Answer) -> Vec<String> {
    let row = rows(answer)[0];
    row.split(' ').take(4).map(str::to_owned).collect()
}

fn query_status(server: &mut Caller) -> Vec<String> {
    parse_status(&server.query("STATUS"))
}

/// A replica is called to be promoted. Until that takes effect the old primary leads and the replica stays
/// held; then holds end, the others follow, and a second call changes nothing. The old primary goes on
/// for as long as it may.
#[tokio::test]
async fn promotion_takes_effect_after_its_call() {
    let site = site("effect").await;
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
    tokio::time::sleep(PROMOTION_DELAY + SUPERSEDED_DELAY).await;
    let later = (query_status(&mut second), query_status(&mut first));

    assert_eq!(at_call, ["replica", "1", "1.1", "2"]);
    assert_eq!(in_effect.0, ["primary", "2", "1.1", "0"]);
    assert_eq!(in_effect.1, ["primary", "1", "1.1", "0"]);
    assert_eq!(later.0, ["primary", "2", "1.1", "0"]);
    assert_eq!(later.1, ["replica", "2", "1.1", "0"]);
}

/// A held replica crashes and comes back under its id. It has its log and has forgotten the hold, so it
/// receives from the old primary again; connections to its earlier life end.
#[tokio::test]
async fn restarted_replica_keeps_its_log_and_loses_its_pause() {
    let site = site("comes-back").await;
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

/// The primary crashes and comes back: as the primary, if nobody was promoted meanwhile, else as a replica.
#[tokio::test]
async fn restarted_primary_leads_unless_another_was_promoted() {
    let site = site("primary-back").await;
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

/// A replica is cut off from the server that is promoted and from no other. It never hears of the promotion:
/// its hold ends, and it goes on receiving from the old primary, whose commits it acknowledges.
#[tokio::test]
async fn replica_partitioned_from_the_new_primary_follows_the_old_one() {
    let site = site("cut-from").await;
    let mut servers = (site.server(0).await, site.server(2).await);
    site.partition_servers(1, 2, true).await;
    assert_eq!(parse_status(&servers.1.query("PAUSE 2"))[3], "2");

    site.promote(1).await;
    tokio::time::sleep(PROMOTION_DELAY + REPLICATION_TIME).await;
    let acknowledged = servers.0.query("PUT a one");
    let partitioned = query_status(&mut servers.1);
    site.partition_servers(1, 2, false).await;
    tokio::time::sleep(SUPERSEDED_DELAY + REPLICATION_TIME).await;
    let rejoined = query_status(&mut servers.1);

    assert!(acknowledged.is_done());
    assert_eq!(partitioned, ["replica", "1", "1.1", "0"]);
    assert_eq!(rejoined, ["replica", "2", "1.0", "0"]);
}

/// A busy server refuses orders and statements without carrying them out, and keeps the connection.
#[tokio::test]
async fn busy_server_does_not_execute_what_it_refuses() {
    let site = site("busy").await;
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

/// Each promotion is noted with what its server had, for those who were told of commits to compare.
#[tokio::test]
async fn promotions_are_recorded_with_their_logs() {
    let site = site("noted").await;
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

/// A server loses its log between the call for its promotion and its effect: it is not promoted.
#[tokio::test]
async fn server_that_has_lost_its_log_is_not_promoted() {
    let site = site("lost-log").await;
    assert!(site.server(0).await.query("PUT a one").is_done());

    site.promote(1).await;
    site.restart_empty(1).await;
    tokio::time::sleep(PROMOTION_DELAY + REPLICATION_TIME).await;

    assert_eq!(site.group().await["leader"], 0);
    assert_eq!(site.promotions().await, serde_json::json!([]));
}

/// A server has little time from the call for its promotion on: most of its answers are refusals, some are not.
#[tokio::test]
async fn promoted_server_is_overloaded_on_request() {
    let site = site("crowded").await;
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

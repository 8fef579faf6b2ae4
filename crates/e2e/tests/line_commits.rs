//! What a caller hears of its commit while a primary is replaced, as separate processes.

mod fixture;

use std::time::Duration;

use fixture::line::{Caller, Site, LATEST};

/// How long a promoter keeps the replicas held before it promotes one, and some more.
const REPLICA_PAUSE: Duration = Duration::from_millis(600);

/// How long a statement takes from its caller to the primary's log, at most.
const DELIVERY_TIME: Duration = Duration::from_millis(50);

/// A site on which an old primary's commit waits for held replicas when server 2, which no other server
/// reaches, is promoted; and the caller that waits for its answer.
async fn pending_commit_at_promotion(name: &str) -> (Site, Caller) {
    let site = Site::start(name, 1).await;
    let mut caller = site.caller(0, LATEST);
    assert!(caller.query("PUT a first").is_done());
    site.fault(2, "cut", true).await;
    for paused in [1, 2] {
        assert!(site.send_command(paused, "PAUSE 2").await.is_done());
    }
    tokio::time::sleep(REPLICA_PAUSE).await;
    caller.send("QUERY late PUT a second");
    tokio::time::sleep(DELIVERY_TIME).await;
    site.promote(2).await;
    (site, caller)
}

/// A primary out of its promoter's reach goes on while its replicas are held, and a caller's commit
/// waits there. When the promotion takes effect the holds end. The replica that the new primary
/// does not reach receives the commit from the old one, which takes it for acknowledged. The server
/// that leads now has never seen it, so the caller must not hear that it is kept. Seen as: a commit
/// was run at 14.564 s, received by a replica at 15.121 s, acknowledged at 15.257 s, and lost.
#[tokio::test]
async fn commit_received_after_a_promotion_is_not_acknowledged() {
    let (site, mut caller) = pending_commit_at_promotion("late-commit").await;

    let answer = caller.read_answer();

    assert_eq!(site.group().await["leader"], 2);
    assert_eq!(site.count_in_log("a", "second").await, 0);
    assert!(!answer.is_done(), "{answer:?}");
}

/// As above, but the new primary is reached again while the old one's commit still waits, and serves
/// other callers. What a replica said of the commit before is about another primary than the one that
/// is proved to lead now: the caller must not hear that it is kept.
#[tokio::test]
async fn later_lease_of_another_primary_does_not_confirm_a_commit() {
    let (site, mut caller) = pending_commit_at_promotion("later-lease").await;
    let mut other = site.caller(0, LATEST);

    tokio::time::sleep(Duration::from_millis(100)).await;
    site.fault(2, "cut", false).await;
    let third = other.query("PUT a third");
    let answer = caller.read_answer();

    assert_eq!(site.group().await["leader"], 2);
    assert_eq!(site.count_in_log("a", "second").await, 0);
    assert!(!answer.is_done(), "{answer:?}, after {third:?}");
}

//! Commits that are pending while a new primary is promoted.

mod fixture;

use std::time::Duration;

use fixture::line::{Caller, Site, LATEST};

/// Longer than a failover leader pauses the replicas before it promotes one.
const REPLICA_PAUSE: Duration = Duration::from_millis(600);

/// Longer than a statement takes from its caller to the log of the primary.
const DELIVERY_TIME: Duration = Duration::from_millis(50);

/// Promotes server 2, which is partitioned from the other servers, while a commit on the old
/// primary waits for the paused replicas. Returns the caller that waits for the answer.
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

/// The old primary does not know of the promotion. When that takes effect the pauses end, and the
/// replica that the new primary does not reach receives the pending commit from the old primary,
/// which then reports it as committed. The new primary lacks the commit, so the caller must not get
/// an acknowledgement.
#[tokio::test]
async fn commit_received_after_a_promotion_is_not_acknowledged() {
    let (site, mut caller) = pending_commit_at_promotion("late-commit").await;

    let answer = caller.read_answer();

    assert_eq!(site.group().await["leader"], 2);
    assert_eq!(site.count_in_log("a", "second").await, 0);
    assert!(!answer.is_done(), "{answer:?}");
}

/// As above, but the new primary becomes reachable and serves other callers while the commit is
/// still pending. The replica received the commit from another primary than the one that is now
/// confirmed, so the caller must not get an acknowledgement.
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

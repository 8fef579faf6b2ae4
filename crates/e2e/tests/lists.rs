//! A new bundle changes which servers a group has; what was acknowledged before stays.

mod fixture;

use std::time::Duration;

use fixture::{connect, eventually, insert, operator, Layout, Site};

const WAIT: Duration = Duration::from_secs(20);

/// Replica 1 is cut off, so a member's order is acknowledged by replica 2 alone. Operators then take
/// replica 2 out of the group, and the primary dies. Of the servers still listed only replica 1 is
/// left, which lacks the order: it must not lead, however few servers the new list has.
#[tokio::test]
async fn server_taken_out_still_counts_for_its_commits() {
    let site = Site::build(&Layout::new("shrink", &["dc-1"])).await;
    site.fault(2, "isolate", 1, "").await;
    let member = connect(&site.proxies[0], "member", "").await;
    let order = member.simple_query(&insert("order-1")).await;
    order.expect("the write is acknowledged");

    let out = format!(", \"{}\"", site.servers()[2]);
    let (put, text) = site.put_edited(2, |bundle| bundle.replace(&out, ""));
    let in_force = eventually(WAIT, || async {
        operator(&site.proxies[0], "/status").await["bundle_version"] == 2
    })
    .await;
    site.fault(2, "kill", 0, "").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let record = site.record().await.expect("a record");

    assert!(put && in_force, "{text}");
    if record.term > 1 && record.server.is_some() {
        let rows = site.leader_rows(&record).await;
        assert!(rows.contains_key("order-1"), "lost: {record:?}");
    }
}

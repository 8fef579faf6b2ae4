//! A term belongs to the proxy that claimed it. No other proxy uses it, even if the claimant is
//! late.

mod fixture;

use std::time::Duration;

use dandelionpitch_core::{
    keys,
    kv::{self, Swap},
    primary::Record,
};
use fixture::{connect, eventually, insert, Layout, Site};

const TIMEOUT: Duration = Duration::from_secs(20);
/// The number of servers that must accept a term before a promotion.
const QUORUM: usize = 2;

/// Claims the next term, as a proxy does that is paused right after that. Returns the term.
async fn claim(site: &Site) -> u64 {
    let kv = kv::Client::new(site.kv_url());
    let key = keys::primary("ledger");
    let now = kv
        .get(&key)
        .await
        .expect("the KV answers")
        .expect("a record");
    let recorded = Record::parse(&now.value).expect("a record");
    let claim = Record {
        term: recorded.term + 1,
        server: None,
        claimant: "proxy-paused".to_owned(),
        members: recorded.members,
    };
    let update = kv.put_if(&key, &claim.to_value(), now.mod_revision).await;
    assert!(matches!(update, Ok(Swap::Done { .. })));
    claim.term
}

/// Does what a claimant does after its claim: fences the servers at `term` and, with a quorum,
/// promotes one of them. Returns the index of that server.
async fn resume_claim(site: &Site, term: u64) -> Option<usize> {
    let mut fenced = Vec::new();
    for index in 0..site.servers().len() {
        let fence = format!("SELECT dandelionpitch_fence({term})");
        if site.server(index).await.simple_query(&fence).await.is_ok() {
            fenced.push(index);
        }
    }
    if fenced.len() < QUORUM {
        return None;
    }
    let promote = format!("SELECT dandelionpitch_promote({term})");
    let promoted = site.server(fenced[0]).await.simple_query(&promote).await;
    promoted.is_ok().then_some(fenced[0])
}

/// Waits until the record names a primary.
async fn wait_for_recorded_primary(site: &Site) -> Record {
    let named = eventually(TIMEOUT, || async {
        let record = site.primary_record().await;
        record.is_some_and(|record| record.server.is_some())
    })
    .await;
    assert!(named, "the record names a primary");
    site.primary_record().await.expect("a record")
}

/// A proxy claims term 2 and is paused before it has fenced a server. The claim expires, the
/// primary dies and is replaced, and then the claimant resumes. If the record went back to term 1,
/// the replacement would have term 2 too. The claimant would then promote a second primary at that
/// term, whose commits overwrite those of the first.
#[tokio::test]
async fn expired_claim_reserves_its_term() {
    let site = Site::build(&Layout::new("expired", &["dc-1", "dc-1"])).await;
    wait_for_recorded_primary(&site).await;

    let claimed = claim(&site).await;
    let after_expiry = wait_for_recorded_primary(&site).await;
    let killed = site.primary_index(&after_expiry);
    let via = (killed + 1) % site.servers().len();
    site.fault(via, "kill", killed, "").await;
    let replaced = site.wait_for_new_primary(after_expiry.term).await;
    site.fault(via, "start", killed, "").await;
    let second_primary = resume_claim(&site, claimed).await;
    let written = eventually(TIMEOUT, || async {
        let member = connect(&site.proxies[0], "member", "").await;
        member.simple_query(&insert("order-1")).await.is_ok()
    })
    .await;

    assert_eq!(
        second_primary, None,
        "the claimant promoted a second primary at term {claimed}"
    );
    assert!(after_expiry.term > claimed, "{after_expiry:?}");
    assert!(replaced.term > after_expiry.term, "{replaced:?}");
    assert!(written);
}

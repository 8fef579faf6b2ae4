//! When a proxy issues quota permits.

use std::{sync::Arc, time::Duration};

use dandelionpitch_engine::{ownership::Peer, quota::Tolerance};
use dandelionpitch_platform::{config, quota::Request};
use dandelionpitch_proxy::line::{quota::Quota, view::View};

const OWN: &str = "proxy-1";
const COLLECTOR: &str = "proxy-2";

fn peer(id: &str) -> Peer {
    Peer {
        id: id.to_owned(),
        dc: "dc-1".to_owned(),
        address: ([127, 0, 0, 1], 5000).into(),
        capacity: 300.0,
    }
}

/// A view with accounts, some of which prefer the other proxy as their collector, in which an earlier process
/// of this proxy is registered.
fn view(is_unconfirmed: bool) -> View {
    let account = |n| {
        format!("{{\"name\":\"account-{n}\",\"api_keys\":[\"key-{n}\"],\"priority\":1,\"rate_per_s\":100,\"burst\":100}}")
    };
    let accounts: Vec<String> = (0..20).map(account).collect();
    let text = format!(
        "{{\"version\":1,\"routes\":[],\"services\":[],\"tenants\":[{}],\"limits\":{{\"tx_idle_ms\":700}}}}",
        accounts.join(",")
    );
    View {
        catalog: Some(Arc::new(config::decode(text.as_bytes()).expect("valid"))),
        peers: [peer(OWN), peer(COLLECTOR)].into(),
        quota_members: 2,
        has_predecessor: true,
        is_unconfirmed,
        ..View::default()
    }
}

/// The rights that the proxy lends, which are those that it has.
fn rights(view: &View) -> String {
    let tolerance = Tolerance {
        window: Duration::from_secs(5),
        excess: 0.1,
        margin: 20.0,
    };
    let quota = Quota::new(OWN, tolerance);
    quota.update(view, OWN);
    quota.respond(Request::Collect { by: COLLECTOR })
}

/// The store is down, and the seed's copy has the entry of an earlier process, which may have expired since.
/// Guards against permits above an account's limit: the others may no longer count this proxy.
#[test]
fn entry_in_a_copy_from_a_seed_gives_no_right_to_issue_permits() {
    assert!(rights(&view(false)).contains("account-"));
    assert!(!rights(&view(true)).contains("account-"));
}

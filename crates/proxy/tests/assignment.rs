//! Which proxies count as live after an outage of the key-value store (KV).

use std::time::{Duration, Instant};

use dandelionpitch_proxy::control::assignment::{Member, Roster, MISSING_TIMEOUT};

fn member(index: usize) -> Member {
    Member {
        dc: format!("dc-{}", index % 3),
        id: format!("proxy-{index}"),
    }
}

fn all() -> Vec<Member> {
    (0..12).map(member).collect()
}

/// Guards against a proxy that watches every group because the first list after a KV outage does
/// not yet contain the other proxies.
#[test]
fn missing_proxies_count_until_timeout_after_kv_outage() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.replace(all(), now);

    roster.replace(vec![member(0)], now);
    let at_once = roster.len();
    roster.add(member(1));
    let changed_early = roster.expire(now + MISSING_TIMEOUT - Duration::from_millis(1));
    let changed_late = roster.expire(now + MISSING_TIMEOUT);

    assert_eq!(at_once, 12);
    assert!(!changed_early);
    assert!(changed_late);
    assert_eq!(roster.len(), 2);
}

/// Guards against counting a proxy whose lease expired while the KV is available.
#[test]
fn proxy_with_expired_lease_is_removed_at_once() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.replace(all(), now);

    roster.remove(&member(3));

    assert_eq!(roster.len(), 11);
}

//! Which proxies count as live when the KV has been away.

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

/// The KV was down for longer than its leases last. On its return a proxy's first list holds only
/// itself, as the others have not renewed yet. If it took itself for the only one, it would watch every
/// group; at 3,400 proxies that is a burst of status reads at 12,000 servers.
#[test]
fn proxies_missing_after_an_outage_count_until_they_had_time_to_return() {
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

/// A lease that runs out while the KV answers is news: its proxy is gone.
#[test]
fn proxy_whose_lease_ran_out_is_gone_at_once() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.replace(all(), now);

    roster.remove(&member(3));

    assert_eq!(roster.len(), 11);
}

//! Distribution of the hashes that are equal in all processes.

use dandelionpitch_core::hash::stable_hash;

/// Proxies whose names differ only in the last characters must not all prefer the same of two peers.
#[test]
fn order_by_stable_hash_differs_between_proxies() {
    let prefers_first = |own: &String| {
        let first = stable_hash(&(own, "edge-riga-centrs-12"));
        let second = stable_hash(&(own, "edge-riga-centrs-31"));
        first < second
    };
    let names = (0..40).map(|n| format!("edge-riga-centrs-{n}"));

    let first = names.filter(prefers_first).count();

    assert!((10..=30).contains(&first), "{first} of 40");
}

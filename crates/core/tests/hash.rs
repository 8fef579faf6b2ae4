//! Numbers that every process derives alike from the same key.

use dandelionpitch_core::hash::stable_hash;

/// Forty proxies choose among two, each by its own order. Their names differ in the last characters only;
/// neither of the two may get nearly all of them.
#[test]
fn order_by_salt_differs_from_proxy_to_proxy() {
    let prefers_first = |own: &String| {
        let first = stable_hash(&(own, "edge-riga-centrs-12"));
        let second = stable_hash(&(own, "edge-riga-centrs-31"));
        first < second
    };
    let names = (0..40).map(|n| format!("edge-riga-centrs-{n}"));

    let first = names.filter(prefers_first).count();

    assert!((10..=30).contains(&first), "{first} of 40");
}

//! Hash maps with a fast non-cryptographic hasher, and hashes that are equal in all processes.

use std::hash::{Hash, Hasher};

/// A hash map with a fast hasher that does not protect against hash flooding.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the same hasher.
pub type Set<T> = rustc_hash::FxHashSet<T>;

/// Returns a 64-bit hash of `key` that is the same in every process.
pub fn stable_hash(key: &impl Hash) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    key.hash(&mut hasher);
    fmix64(hasher.finish())
}

/// The finalizer of MurmurHash3: each input bit affects about half of the output bits.
///
/// Without it, keys that differ only in their last characters, such as VM names, hash to numbers whose
/// order does not depend on the preceding characters, so all proxies would prefer the same VM.
fn fmix64(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Maps the [`stable_hash`] of `key` to a number from 0 to 1.
pub fn stable_fraction(key: &impl Hash) -> f64 {
    (stable_hash(key) >> 32) as f64 / f64::from(u32::MAX)
}

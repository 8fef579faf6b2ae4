//! The hash map used throughout: a fast non-cryptographic hasher behind one alias, and the numbers that
//! every process derives alike from the same key.

use std::hash::{Hash, Hasher};

/// A hash map keyed by values we produce ourselves, so hash flooding is not a concern.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the same hasher.
pub type Set<T> = rustc_hash::FxHashSet<T>;

/// A number spread over all 64 bits, the same each time and in each process for the same key.
pub fn stable_hash(key: &impl Hash) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    key.hash(&mut hasher);
    mix(hasher.finish())
}

/// The last step of MurmurHash3: each bit of `hash` changes about half of the result's.
///
/// Failure: keys that differ in their last characters only, as names of VMs do, hash to numbers in the
/// same order whatever stands before them, and every proxy prefers the same one.
fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// A number from zero up to one, the same each time for the same key.
pub fn stable_fraction(key: &impl Hash) -> f64 {
    (stable_hash(key) >> 32) as f64 / f64::from(u32::MAX)
}

//! The hash map used throughout: a fast non-cryptographic hasher behind one alias.

/// A hash map keyed by values we produce ourselves, so hash flooding is not a concern.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the same hasher.
pub type Set<T> = rustc_hash::FxHashSet<T>;

//! Orders what the store says across the times at which it came back from a copy.
//!
//! The store may lose what it acknowledged in its last seconds and give its revisions out again; its era
//! rises by one each time (`docs/DESIGN.md`, "The store comes back from a copy"). A stamp is a revision
//! with its era before it, so that whatever was said in a later era is the newer one: mirrors, fencing
//! tokens and records go by stamps alone. A store that says nothing of eras is always in era zero, where
//! a stamp is the revision itself.

/// How many bits of a stamp hold the revision. Those above it hold eras up to 31 in a number that JSON
/// readers take as a whole one.
const REVISION_BITS: u32 = 48;

/// The stamp of a revision.
pub fn stamp(era: u64, revision: u64) -> u64 {
    era << REVISION_BITS | revision
}

/// The era of a stamp.
pub fn of(stamp: u64) -> u64 {
    stamp >> REVISION_BITS
}

/// The revision of a stamp, as the store counts within its era.
pub fn revision(stamp: u64) -> u64 {
    stamp & ((1 << REVISION_BITS) - 1)
}

//! Orders store revisions across restores of the store from a backup.
//!
//! A restored store may have lost its last acknowledged writes and reuses their revisions, but it
//! increments its era (`docs/DESIGN.md`, "The store comes back from a copy"). A stamp is a revision
//! prefixed with its era, so only stamps may be compared. A store that reports no era is in era
//! zero, where the stamp equals the revision.

/// Number of low bits of a stamp that contain the revision. The bits above contain the era, which
/// must not exceed 31 if the stamp has to fit into the 53 bits of a JSON number.
const REVISION_BITS: u32 = 48;

/// Combines an era and a revision into a stamp.
pub fn stamp(era: u64, revision: u64) -> u64 {
    era << REVISION_BITS | revision
}

/// Returns the era of a stamp.
pub fn of(stamp: u64) -> u64 {
    stamp >> REVISION_BITS
}

/// Returns the revision of a stamp, which is only unique within its era.
pub fn revision(stamp: u64) -> u64 {
    stamp & ((1 << REVISION_BITS) - 1)
}

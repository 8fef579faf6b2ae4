//! Order of stamps before and after a restore of the store.

use dandelionpitch_core::era;

/// A reused revision must not compare as equal to or lower than a revision of an earlier era.
#[test]
fn stamps_of_later_eras_are_higher() {
    let before = era::stamp(1, 4_000_000);
    let after = era::stamp(2, 17);

    assert!(after > before);
    assert_eq!((era::of(after), era::revision(after)), (2, 17));
}

/// Without eras, stamps must equal revisions.
#[test]
fn stamp_of_era_zero_equals_revision() {
    assert_eq!(era::stamp(0, 17), 17);
    assert_eq!((era::of(17), era::revision(17)), (0, 17));
}

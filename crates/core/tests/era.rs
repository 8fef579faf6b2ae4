//! The order of what the store says before and after it came back from a copy.

use dandelionpitch_core::era;

/// Guards against a revision that is given out again and passes for the earlier one, or for an older one.
#[test]
fn stamps_of_a_later_era_are_higher() {
    let before = era::stamp(1, 4_000_000);
    let after = era::stamp(2, 17);

    assert!(after > before);
    assert_eq!((era::of(after), era::revision(after)), (2, 17));
}

/// Guards against other numbers where the store says nothing of eras.
#[test]
fn stamp_of_the_first_era_is_the_revision() {
    assert_eq!(era::stamp(0, 17), 17);
    assert_eq!((era::of(17), era::revision(17)), (0, 17));
}

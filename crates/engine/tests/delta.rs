//! Delta encoding of values.

use dandelionpitch_engine::delta::{Delta, Piece};

const BASE_REVISION: u64 = 7;

/// A configuration of `routes` routes, of which the one at `changed` has a different timeout.
fn configuration(version: u64, routes: usize, changed: usize) -> Vec<u8> {
    let route = |index: usize| {
        let timeout = match index == changed {
            true => 900 + version,
            false => 1_000,
        };
        format!(
            "{{\"name\":\"r-{index}\",\"service\":\"ledger-{index}\",\"timeout_ms\":{timeout}}}"
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}]}}",
        routes.join(",")
    )
    .into_bytes()
}

/// The number of bytes that are not copied from the base.
fn literal_bytes(pieces: &[Piece]) -> usize {
    let length = |piece: &Piece| match piece {
        Piece::Literal(bytes) => bytes.len(),
        Piece::Copy { .. } => 0,
    };
    pieces.iter().map(length).sum()
}

/// Guards against a delta that grows with the configuration when only a few routes change.
#[test]
fn delta_size_does_not_depend_on_the_configuration_size() {
    for routes in [10, 10_000] {
        let old = configuration(1, routes, 3);
        let new = configuration(2, routes, 7);

        let delta = Delta::new(BASE_REVISION, &old, &new);

        let pieces = &delta.pieces;
        assert_eq!(
            delta.apply(BASE_REVISION, &old).as_deref(),
            Some(new.as_slice())
        );
        assert!(
            literal_bytes(pieces) < 400,
            "{routes}: {}",
            literal_bytes(pieces)
        );
        assert!(pieces.len() < 10, "{routes}: {}", pieces.len());
    }
}

#[test]
fn routes_may_be_added_removed_and_moved() {
    let old = configuration(1, 50, 3);
    for new in [
        configuration(2, 60, 9),
        configuration(2, 5, 1),
        b"{}".to_vec(),
        Vec::new(),
        b"no object at all".to_vec(),
    ] {
        let from_empty = Delta::new(BASE_REVISION, &[], &new);
        assert_eq!(
            Delta::new(BASE_REVISION, &old, &new).apply(BASE_REVISION, &old),
            Some(new.clone())
        );
        assert_eq!(from_empty.apply(BASE_REVISION, &[]), Some(new));
    }
}

/// The receiver has a different base: a shorter one, one of the same length, or the same at another
/// revision. It must reject the delta instead of producing a value that never existed.
#[test]
fn delta_is_rejected_for_another_base() {
    let old = configuration(1, 50, 3);
    let delta = Delta::new(BASE_REVISION, &old, &configuration(2, 50, 3));

    assert_eq!(delta.apply(BASE_REVISION, b"{}"), None);
    assert_eq!(delta.apply(BASE_REVISION, &configuration(3, 50, 9)), None);
    assert_eq!(delta.apply(BASE_REVISION + 1, &old), None);
}

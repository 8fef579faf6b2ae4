//! Values told by what of them is new.

use dandelionpitch_engine::delta::{Delta, Piece};

/// The revision of the earlier value.
const OF: u64 = 7;

/// A configuration of `routes` routes, in which the one at `changed` has another timeout.
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

fn new_bytes(pieces: &[Piece]) -> usize {
    let new = |piece: &Piece| match piece {
        Piece::Literal(bytes) => bytes.len(),
        Piece::Copy { .. } => 0,
    };
    pieces.iter().map(new).sum()
}

/// One route of thousands gets another timeout. Told whole, the configuration would be as long as the
/// fleet is large; what is told of it is not.
#[test]
fn change_costs_the_same_in_a_long_configuration() {
    for routes in [10, 10_000] {
        let old = configuration(1, routes, 3);
        let new = configuration(2, routes, 7);

        let delta = Delta::new(OF, &old, &new);

        let pieces = &delta.pieces;
        assert_eq!(delta.apply(OF, &old).as_deref(), Some(new.as_slice()));
        assert!(new_bytes(pieces) < 400, "{routes}: {}", new_bytes(pieces));
        assert!(pieces.len() < 10, "{routes}: {}", pieces.len());
    }
}

#[test]
fn routes_may_come_go_and_move() {
    let old = configuration(1, 50, 3);
    for new in [
        configuration(2, 60, 9),
        configuration(2, 5, 1),
        b"{}".to_vec(),
        Vec::new(),
        b"no object at all".to_vec(),
    ] {
        let of_nothing = Delta::new(OF, &[], &new);
        assert_eq!(
            Delta::new(OF, &old, &new).apply(OF, &old),
            Some(new.clone())
        );
        assert_eq!(of_nothing.apply(OF, &[]), Some(new));
    }
}

/// The other end has another value than the one that was compared: a shorter one, one of the same shape, or the
/// same under another revision. It makes nothing of the delta rather than a value that never was.
#[test]
fn delta_of_another_value_makes_none() {
    let old = configuration(1, 50, 3);
    let delta = Delta::new(OF, &old, &configuration(2, 50, 3));

    assert_eq!(delta.apply(OF, b"{}"), None);
    assert_eq!(delta.apply(OF, &configuration(3, 50, 9)), None);
    assert_eq!(delta.apply(OF + 1, &old), None);
}

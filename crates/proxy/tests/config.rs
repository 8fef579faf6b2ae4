//! The settings of a proxy.

use std::net::SocketAddr;

use dandelionpitch_proxy::config::{Config, Recovery, ReplicaLag, DEFAULT_SETTINGS};
use yare::parameterized;

/// Settings with these in their section `[line]`.
fn parse(line: &str) -> Result<Config, String> {
    let required = "promoter = \"127.0.0.1:1\"\ngrace = \"6s\"";
    let text = format!("{DEFAULT_SETTINGS}\n[line]\n{required}\n{line}\n");
    Config::parse(&text).map_err(|error| error.to_string())
}

fn seeds(line: &str) -> Vec<SocketAddr> {
    let config = parse(line).expect("valid settings");
    config.line.expect("the section is there").seeds
}

#[test]
fn seeds_are_optional() {
    let some = seeds("seeds = [\"10.0.0.1:7000\", \"10.0.0.2:7000\"]");

    assert_eq!(
        some,
        [([10, 0, 0, 1], 7000).into(), ([10, 0, 0, 2], 7000).into()]
    );
    assert!(seeds("").is_empty());
}

/// Guards against a proxy that finds out only in an outage of the store that its seeds are unusable.
#[parameterized(
    name = { "[\"proxy-1:7000\"]", "invalid socket address" },
    no_port = { "[\"10.0.0.1\"]", "invalid socket address" },
    port_zero = { "[\"10.0.0.1:0\"]", "line.seeds: 10.0.0.1:0 is not the address of a proxy" },
    any_address = { "[\"0.0.0.0:7000\"]", "line.seeds: 0.0.0.0:7000 is not the address" },
    too_many = { "[\"10.0.0.1:1\", \"10.0.0.1:2\", \"10.0.0.1:3\", \"10.0.0.1:4\"]", "4 addresses, at most 3" },
)]
fn unusable_seeds_are_errors(seeds: &str, why: &str) {
    let error = parse(&format!("seeds = {seeds}")).expect_err("invalid settings");

    assert!(error.contains(why), "{error}");
}

fn replica_lag(setting: &str) -> Result<ReplicaLag, String> {
    let config = parse(setting)?;
    Ok(config.line.expect("the section is set").replica_lag)
}

/// Guards against a misspelt value that falls back to the default.
#[test]
fn replica_lag_has_two_values() {
    let misspelt = replica_lag("replica_lag = \"predict\"");

    assert_eq!(replica_lag(""), Ok(ReplicaLag::Observed));
    assert_eq!(
        replica_lag("replica_lag = \"observed\""),
        Ok(ReplicaLag::Observed)
    );
    assert_eq!(
        replica_lag("replica_lag = \"predicted\""),
        Ok(ReplicaLag::Predicted)
    );
    let error = misspelt.expect_err("the value is unknown");
    assert!(error.contains("`observed` or `predicted`"), "{error}");
}

#[parameterized(
    default = { "", Recovery::Refuse },
    refuse = { "recovery = \"refuse\"", Recovery::Refuse },
    wait = { "recovery = \"wait\"", Recovery::Wait },
)]
fn recovery_is_read(line: &str, expected: Recovery) {
    let config = parse(line).expect("valid settings");

    assert_eq!(config.line.map(|line| line.recovery), Some(expected));
}

/// Guards against a misspelt value that silently falls back to the default.
#[test]
fn unknown_recovery_is_named_with_the_values_there_are() {
    let error = parse("recovery = \"later\"").expect_err("an error");

    assert!(error.contains("recovery = \"later\""), "{error}");
    assert!(error.contains("`refuse` or `wait`"), "{error}");
}

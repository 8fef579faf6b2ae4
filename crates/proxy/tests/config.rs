//! Settings of the line protocol.

use dandelionpitch_proxy::config::{Config, Recovery, DEFAULT_SETTINGS};
use yare::parameterized;

fn parse(line: &str) -> Result<Config, String> {
    let text =
        format!("{DEFAULT_SETTINGS}[line]\npromoter = \"127.0.0.1:1\"\ngrace = \"6s\"\n{line}\n");
    Config::parse(&text).map_err(|error| error.to_string())
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

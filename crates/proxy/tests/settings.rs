//! Settings of the line protocol.

use dandelionpitch_engine::slots::Mode;
use dandelionpitch_proxy::{
    config::{Config, DEFAULT_SETTINGS},
    error::Error,
};
use yare::parameterized;

/// The settings of a proxy with this line in the section `[line]`.
fn parse(line: &str) -> Result<Config, Error> {
    let section = "[line]\npromoter = \"127.0.0.1:1\"\ngrace = \"6s\"\n";
    Config::parse(&format!("{DEFAULT_SETTINGS}{section}{line}\n"))
}

/// Without the setting, idle transactions count as they did before it existed.
#[parameterized(
    not_set = { "", Mode::Counted },
    counted = { "idle_transactions = \"counted\"", Mode::Counted },
    separate = { "idle_transactions = \"separate\"", Mode::Separate },
)]
fn idle_transactions_are_counted_unless_set(line: &str, expected: Mode) {
    let config = parse(line).unwrap_or_else(|error| panic!("{error}"));

    let settings = config.line.expect("a section for the line protocol");
    assert_eq!(settings.idle_transactions, expected);
}

/// A misspelt value must not silently mean the default.
#[test]
fn unknown_value_is_an_error() {
    let error = parse("idle_transactions = \"seperate\"").expect_err("an unknown value");

    let text = error.to_string();
    assert!(text.contains("seperate"), "{text}");
    assert!(text.contains("separate"), "{text}");
}

//! The settings file.

use dandelionpitch_proxy::config::{Config, ReplicaLag, DEFAULT_SETTINGS};

fn replica_lag(setting: &str) -> Result<ReplicaLag, String> {
    let line = "[line]\npromoter = \"127.0.0.1:1\"\ngrace = \"6s\"\n";
    let config = Config::parse(&format!("{DEFAULT_SETTINGS}{line}{setting}"));
    let config = config.map_err(|error| error.to_string())?;
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

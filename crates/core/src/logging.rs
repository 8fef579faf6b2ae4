//! Logging setup shared by both binaries: `fern` writes `log` records to standard error.
//!
//! Each line contains the last segment of the record's target (`session`, `failover`, ...), so that
//! lines can be filtered by module.

use log::LevelFilter;

/// Installs the global logger, which writes records at `level` and above to standard error.
///
/// Returns an error if a logger is already installed.
pub fn init(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!(
                "{} {:<5} {}: {}",
                unix_timestamp(),
                record.level(),
                record.target().rsplit("::").next().unwrap_or_default(),
                message
            ))
        })
        .level(level)
        // Rocket logs a warning for each error response, including readiness probes during
        // shutdown.
        .level_for("rocket", LevelFilter::Error)
        .level_for("_", LevelFilter::Error)
        .level_for("hyper", LevelFilter::Warn)
        .level_for("reqwest", LevelFilter::Warn)
        .level_for("tokio_postgres", LevelFilter::Warn)
        .chain(std::io::stderr())
        .apply()
}

fn unix_timestamp() -> String {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    format!("{}.{:03}", now.as_secs(), now.subsec_millis())
}

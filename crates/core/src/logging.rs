//! Log set-up shared by both binaries: `log` records written by `fern` to standard error.
//!
//! Each part logs with its own target (`router`, `control`, ...), which becomes the fixed
//! prefix of the line, so one part's lines can be picked out with a plain search.

use log::LevelFilter;

/// Sends log records at `level` and above to standard error.
///
/// Errors only when a logger is already set, which is a programming fault in `main`.
pub fn init(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!(
                "{} {:<5} {}: {}",
                humantime_now(),
                record.level(),
                record.target().rsplit("::").next().unwrap_or_default(),
                message
            ))
        })
        .level(level)
        // Rocket warns of each request that it answers with an error, such as the readiness probe
        // of a stopping proxy.
        .level_for("rocket", LevelFilter::Error)
        .level_for("_", LevelFilter::Error)
        .level_for("hyper", LevelFilter::Warn)
        .level_for("reqwest", LevelFilter::Warn)
        .level_for("tokio_postgres", LevelFilter::Warn)
        .chain(std::io::stderr())
        .apply()
}

fn humantime_now() -> String {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    format!("{}.{:03}", now.as_secs(), now.subsec_millis())
}

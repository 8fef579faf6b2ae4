//! The command line of the proxy daemon.

use std::path::PathBuf;

use clap::Parser;

/// Database proxy: serves callers over the PostgreSQL wire protocol, pools connections to
/// replicated database groups, and guarantees read-your-writes for every session.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// Settings file (TOML); if omitted, built-in defaults apply.
    #[arg(long, short)]
    pub config: Option<PathBuf>,
    /// Minimum severity of log lines.
    #[arg(long, default_value = "info")]
    pub log_level: log::LevelFilter,
}

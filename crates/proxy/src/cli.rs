//! The command line of the proxy daemon.

use std::path::PathBuf;

use clap::Parser;

/// The dandelionpitch proxy: PostgreSQL wire protocol to callers, pooled connections to
/// replicated database groups, read-your-writes for every session.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// The settings file (TOML); without it the embedded defaults apply.
    #[arg(long, short)]
    pub config: Option<PathBuf>,
    /// The least severe log level written.
    #[arg(long, default_value = "info")]
    pub log_level: log::LevelFilter,
}

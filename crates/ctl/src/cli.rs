//! The command line of `dpctl`.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// Operate dandelionpitch: check configuration bundles, put them in force, see what runs.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

/// One operator action.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a bundle file and print what it holds.
    Validate {
        /// The bundle file (TOML).
        file: PathBuf,
    },
    /// Put a bundle in force as the next version, by compare-and-swap in the platform KV.
    Put {
        /// The bundle file (TOML).
        file: PathBuf,
        /// The platform KV endpoint.
        #[arg(long, default_value = "http://127.0.0.1:2379")]
        kv: String,
    },
    /// Show which bundle version each proxy runs.
    Status {
        /// The platform KV endpoint.
        #[arg(long, default_value = "http://127.0.0.1:2379")]
        kv: String,
    },
}

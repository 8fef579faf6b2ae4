//! The command line of `dpctl`.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

use crate::trace::Output;

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
    /// Report how fast the service level burns: the share of statements the proxies failed,
    /// over the share the objective allows.
    Burn {
        /// The platform KV endpoint.
        #[arg(long, default_value = "http://127.0.0.1:2379")]
        kv: String,
        /// The share of statements that must not fail, in per cent.
        #[arg(long, default_value_t = 99.9, value_parser = objective)]
        objective: f64,
        /// How long to watch, in seconds, besides the time since each proxy started.
        #[arg(long, default_value_t = 10)]
        window: u64,
    },
    /// Follow one request through log files: its lines, and what the proxy believed before them.
    Trace {
        /// The request's id, as the caller sent it.
        id: String,
        /// Log files, one a proxy process.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// How much earlier context is shown, in milliseconds.
        #[arg(long, default_value_t = 5_000)]
        window: u64,
        /// How the lines are printed.
        #[arg(long, value_enum, default_value = "text")]
        output: Output,
    },
    /// Show which bundle version each proxy runs, and who leads each group.
    Status {
        /// The platform KV endpoint.
        #[arg(long, default_value = "http://127.0.0.1:2379")]
        kv: String,
    },
}

/// An objective leaves something to burn, so 100 is refused.
fn objective(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(value) if (0.0..100.0).contains(&value) => Ok(value),
        _ => Err("must be a number from 0 up to, but not, 100".to_owned()),
    }
}

//! The command line of `dpctl`.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

use crate::trace::Output;

/// Operate dandelionpitch: manage configuration bundles and inspect running proxies.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommands of `dpctl`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Validate a bundle, or a configuration of the line protocol, and print a summary.
    Validate {
        /// The bundle (TOML), or the configuration (JSON, as in the store under `op/config`).
        file: PathBuf,
    },
    /// Replace the current bundle in the platform KV with one of a higher version.
    Put {
        /// The bundle file (TOML).
        file: PathBuf,
        /// The platform KV endpoint.
        #[arg(long, default_value = "http://127.0.0.1:2379")]
        kv: String,
    },
    /// Report the burn rate of the error budget: the ratio of failed statements to all statements,
    /// divided by the ratio that the objective allows.
    Burn {
        /// The platform KV endpoint.
        #[arg(long, default_value = "http://127.0.0.1:2379")]
        kv: String,
        /// The percentage of statements that must succeed.
        #[arg(long, default_value_t = 99.9, value_parser = objective)]
        objective: f64,
        /// The length in seconds of the measurement window, which starts now. Counts since the
        /// start of each proxy are reported as well.
        #[arg(long, default_value_t = 10)]
        window: u64,
    },
    /// Print the log lines of one request, and the preceding lines on the state of its proxy.
    Trace {
        /// The request id sent by the caller.
        id: String,
        /// Log files, one per proxy process.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// How many milliseconds of context to print before the request's first line.
        #[arg(long, default_value_t = 5_000)]
        window: u64,
        /// The output format.
        #[arg(long, value_enum, default_value = "text")]
        output: Output,
    },
    /// Show the bundle version of each proxy and the primary of each group.
    Status {
        /// The platform KV endpoint.
        #[arg(long, default_value = "http://127.0.0.1:2379")]
        kv: String,
    },
}

/// Parses an objective; 100 is invalid because it leaves no error budget.
fn objective(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(value) if (0.0..100.0).contains(&value) => Ok(value),
        _ => Err("must be at least 0 and less than 100".to_owned()),
    }
}

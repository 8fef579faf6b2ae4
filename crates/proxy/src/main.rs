//! `dandelionpitch`, the proxy daemon: parses the command line, reads the settings and calls
//! [`daemon::run`].

mod cli;

use clap::Parser;
use dandelionpitch_proxy::{config, daemon};

fn main() {
    let cli = cli::Cli::parse();
    let config = match config::Config::load(cli.config.as_deref()) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("dandelionpitch: {error}");
            std::process::exit(2);
        }
    };
    if let Err(error) = dandelionpitch_core::logging::init(cli.log_level) {
        eprintln!("dandelionpitch: {error}");
        std::process::exit(2);
    }
    if let Err(error) = daemon::run(config) {
        log::error!(target: "daemon", "Stopped: {error}.");
        std::process::exit(1);
    }
}

//! `dp-standin`: stand-ins of the systems dandelionpitch serves, for tests and trials.
//!
//! Each sub-command runs one stand-in as its own process and prints, as its first line on
//! standard output, where it listens.

mod group;
mod kv;
mod line;
mod vms;

use std::{io::Write, net::IpAddr, time::Duration};

use clap::{Parser, Subcommand};

/// Stand-ins of the database group and the platform KV. Test support; not shipped.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// A database group of servers on loopback ports chosen by the OS.
    Group {
        /// How many servers; the first is primary.
        #[arg(long, default_value_t = 3)]
        servers: usize,
        /// Replication lag of each replica, in milliseconds.
        #[arg(long, default_value_t = 20)]
        lag_ms: u64,
        /// How many replicas must receive a commit before it is acknowledged.
        #[arg(long, default_value_t = 1)]
        sync: usize,
        /// How long a promotion takes, in milliseconds.
        #[arg(long, default_value_t = 0)]
        promote_ms: u64,
        /// The address to listen on.
        #[arg(long, default_value = "127.0.0.1")]
        host: IpAddr,
    },
    /// A platform that speaks the line protocol: a group, its store and its promotion call.
    Line {
        /// How many servers; the first is primary.
        #[arg(long, default_value_t = 3)]
        servers: usize,
        /// How late replicas apply what they have received, in milliseconds.
        #[arg(long, default_value_t = 20)]
        lag_ms: u64,
        /// How many replicas must receive a commit before it is acknowledged.
        #[arg(long, default_value_t = 1)]
        sync: usize,
        /// How long the call that promotes a server takes, in milliseconds.
        #[arg(long, default_value_t = 300)]
        promote_ms: u64,
        /// How long after that call the promotion takes effect, in milliseconds.
        #[arg(long, default_value_t = 0)]
        effect_ms: u64,
        /// How long a primary leads on after it has reached a later one, in milliseconds.
        #[arg(long, default_value_t = 0)]
        outranked_ms: u64,
        /// How many connections each server takes.
        #[arg(long, default_value_t = 1_000)]
        max_connections: usize,
        /// The address to listen on.
        #[arg(long, default_value = "127.0.0.1")]
        host: IpAddr,
    },
    /// The platform's list of live and leaving VMs.
    Vms {
        /// The address to listen on; port 0 lets the OS choose.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: std::net::SocketAddr,
    },
    /// The platform KV, as the etcd v3 JSON gateway.
    Kv {
        /// The address to listen on; port 0 lets the OS choose.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: std::net::SocketAddr,
        /// How many addresses to serve the one store on, each with faults of its own; those
        /// after the first get ports from the OS.
        #[arg(long, default_value_t = 1)]
        doors: usize,
    },
}

/// Prints where a stand-in listens, as the first line of standard output.
fn announce(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

#[rocket::main]
async fn main() {
    let cli = Cli::parse();
    let outcome = match cli.command {
        Command::Group {
            servers,
            lag_ms,
            sync,
            promote_ms,
            host,
        } => {
            let settings = group::Settings {
                servers: servers.max(1),
                lag: Duration::from_millis(lag_ms),
                sync_replicas: sync,
                promotion_delay: Duration::from_millis(promote_ms),
            };
            let outcome = group::serve(host, settings).await;
            outcome.map_err(|error| error.to_string())
        }
        Command::Line {
            servers,
            lag_ms,
            sync,
            promote_ms,
            effect_ms,
            outranked_ms,
            max_connections,
            host,
        } => {
            let settings = line::Settings {
                max_connections,
                servers: servers.max(1),
                lag: Duration::from_millis(lag_ms),
                sync,
                promote: Duration::from_millis(promote_ms),
                effect: Duration::from_millis(effect_ms),
                outranked: Duration::from_millis(outranked_ms),
            };
            let outcome = line::serve(host, settings).await;
            outcome.map_err(|error| error.to_string())
        }
        Command::Vms { listen } => vms::serve(listen).await.map_err(|error| error.to_string()),
        Command::Kv { listen, doors } => {
            let outcome = kv::serve(listen, doors.max(1)).await;
            outcome.map_err(|error| error.to_string())
        }
    };
    if let Err(error) = outcome {
        eprintln!("dp-standin: {error}");
        std::process::exit(1);
    }
}

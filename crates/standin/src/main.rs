//! `dp-standin`: fakes of the systems that dandelionpitch connects to, for tests and benchmarks.
//!
//! Each subcommand runs one fake and prints its addresses as the first line on stdout.

mod group;
mod kv;
mod line;
mod vms;

use std::{io::Write, net::IpAddr, time::Duration};

use clap::{Parser, Subcommand};

/// Fakes of the database group and the platform services, for tests; not shipped.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// A database group that speaks the PostgreSQL wire protocol, on ports chosen by the OS.
    Group {
        /// Number of servers; the first is the initial primary.
        #[arg(long, default_value_t = 3)]
        servers: usize,
        /// Replication lag of each replica, in milliseconds.
        #[arg(long, default_value_t = 20)]
        lag_ms: u64,
        /// Number of replicas that must receive a commit before it is acknowledged.
        #[arg(long, default_value_t = 1)]
        sync: usize,
        /// Time a promotion takes, in milliseconds.
        #[arg(long, default_value_t = 0)]
        promote_ms: u64,
        /// The address to listen on.
        #[arg(long, default_value = "127.0.0.1")]
        host: IpAddr,
    },
    /// A platform that speaks the line protocol: a database group, its store and its promotion API.
    Line {
        /// Number of servers; the first is the initial primary.
        #[arg(long, default_value_t = 3)]
        servers: usize,
        /// Replication lag of each replica, in milliseconds.
        #[arg(long, default_value_t = 20)]
        lag_ms: u64,
        /// Number of replicas that must receive a commit before it is acknowledged.
        #[arg(long, default_value_t = 1)]
        sync: usize,
        /// Time a call to the promotion API takes, in milliseconds.
        #[arg(long, default_value_t = 300)]
        promote_ms: u64,
        /// Time from the end of that call to the promotion itself, in milliseconds.
        #[arg(long, default_value_t = 0)]
        effect_ms: u64,
        /// Time a primary keeps its role after it reaches one of a higher term, in milliseconds.
        #[arg(long, default_value_t = 0)]
        outranked_ms: u64,
        /// Number of connections each server accepts.
        #[arg(long, default_value_t = 1_000)]
        max_connections: usize,
        /// The address to listen on.
        #[arg(long, default_value = "127.0.0.1")]
        host: IpAddr,
    },
    /// The platform's list of running and draining VMs.
    Vms {
        /// The address to listen on; port 0 lets the OS choose.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: std::net::SocketAddr,
    },
    /// The platform KV, with the API of the etcd v3 JSON gateway.
    Kv {
        /// The address to listen on; port 0 lets the OS choose.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: std::net::SocketAddr,
        /// Number of addresses to serve the store on, each with its own faults. The OS chooses the
        /// ports of all but the first.
        #[arg(long, default_value_t = 1)]
        doors: usize,
    },
}

/// Prints a line on stdout and flushes it, for the test that started the process.
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
                sync_replicas: sync,
                promote_call_duration: Duration::from_millis(promote_ms),
                promotion_effect_delay: Duration::from_millis(effect_ms),
                step_down_delay: Duration::from_millis(outranked_ms),
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

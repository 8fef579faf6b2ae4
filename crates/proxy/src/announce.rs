//! The line that the proxy prints to standard output once it listens.

use std::{
    io::{self, Write},
    net::SocketAddr,
};

/// Prints the bound addresses as JSON, for scripts and tests.
pub fn print_addresses(listen: SocketAddr, operator: SocketAddr) {
    let mut out = io::stdout().lock();
    let line = format!("{{\"listen\":\"{listen}\",\"operator\":\"{operator}\"}}");
    // A closed standard output must not keep the proxy from serving.
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

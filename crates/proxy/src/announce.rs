//! The first line of standard output.

use std::{
    io::{self, Write},
    net::SocketAddr,
};

/// Prints the bound addresses as JSON, for scripts and tests.
pub fn print_addresses(listen: SocketAddr, operator: SocketAddr) {
    let mut out = io::stdout().lock();
    let line = format!("{{\"listen\":\"{listen}\",\"operator\":\"{operator}\"}}");
    // Whoever started the process may not read it, which is no reason not to serve.
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

//! Whether a VM is there at all: its kernel accepts connections however busy its processes are.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::TcpStream, sync::Notify};

/// Where servers that could not be reached are reported.
pub type FailureSignal = Arc<Notify>;

/// Whether the VM accepts a connection in time.
pub async fn can_connect(address: SocketAddr, limit: Duration) -> bool {
    let connect = TcpStream::connect(address);
    matches!(tokio::time::timeout(limit, connect).await, Ok(Ok(_)))
}

//! Checks whether a VM is reachable: its kernel accepts connections even while its processes are
//! busy.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::TcpStream, sync::Notify};

/// Notified when a server or proxy could not be reached, to start a check of whether this data centre
/// is partitioned.
pub type FailureSignal = Arc<Notify>;

/// Whether the VM accepts a connection within `limit`.
pub async fn can_connect(address: SocketAddr, limit: Duration) -> bool {
    let connect = TcpStream::connect(address);
    matches!(tokio::time::timeout(limit, connect).await, Ok(Ok(_)))
}

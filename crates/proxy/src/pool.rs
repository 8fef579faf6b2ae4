//! Pools of backend connections, one per backend server.
//!
//! A server accepts few connections, so a caller uses one only for a statement or a transaction
//! (see [`crate::session`]).

use std::net::SocketAddr;

use deadpool_postgres::{Manager, ManagerConfig, Pool, RecyclingMethod, Runtime};
use tokio_postgres::NoTls;

use crate::{backend, config::Config};

/// Builds the pool for one backend server. Connections are opened on demand, at most `size`.
pub fn build(address: SocketAddr, database: &str, size: usize, config: &Config) -> Pool {
    let manager = Manager::from_config(
        backend::options(address, database, config),
        NoTls,
        ManagerConfig {
            recycling_method: RecyclingMethod::Fast,
        },
    );
    Pool::builder(manager)
        .max_size(size)
        .runtime(Runtime::Tokio1)
        .wait_timeout(Some(config.backend.pool_wait))
        .create_timeout(Some(config.backend.connect_timeout))
        .build()
        .expect("a pool with a runtime set always builds")
}

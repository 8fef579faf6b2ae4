//! Pools of backend connections, one per backend server, on `deadpool-postgres`.
//!
//! Connections are scarce (about 30 per server, brief "Sizes of today"), so callers share them
//! per statement, or per transaction while one is open (see [`crate::session`]).

use std::net::SocketAddr;

use deadpool_postgres::{Manager, ManagerConfig, Pool, RecyclingMethod, Runtime};
use tokio_postgres::NoTls;

use crate::{backend, config::Config};

/// Builds the pool for one backend server; connections open lazily on first use.
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

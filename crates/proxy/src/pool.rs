//! Pools of backend connections, one per backend server, on `deadpool-postgres`.
//!
//! Connections are scarce (about 30 per server, brief "Sizes of today"), so callers share them
//! per statement, or per transaction while one is open (see [`crate::session`]).

use std::{net::SocketAddr, time::Duration};

use deadpool_postgres::{Manager, ManagerConfig, Pool, RecyclingMethod, Runtime};
use tokio_postgres::NoTls;

use crate::config::Backend;

/// Builds the pool for one backend server; connections open lazily on first use.
pub fn build(address: SocketAddr, database: &str, size: usize, backend: &Backend) -> Pool {
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user(&backend.user)
        .dbname(database)
        .application_name("dandelionpitch")
        .connect_timeout(backend.connect_timeout)
        .keepalives(true)
        .keepalives_idle(Duration::from_secs(5));
    let manager = Manager::from_config(
        config,
        NoTls,
        ManagerConfig {
            recycling_method: RecyclingMethod::Fast,
        },
    );
    Pool::builder(manager)
        .max_size(size)
        .runtime(Runtime::Tokio1)
        .wait_timeout(Some(backend.pool_wait))
        .create_timeout(Some(backend.connect_timeout))
        .build()
        .expect("a pool with a runtime set always builds")
}

//! The control thread: what the process knows of the configuration, the servers and the other proxies,
//! and the failover duty. Each module but [`state`], [`entry`] and [`record`] is a task on it.

pub mod attempt;
pub mod election;
pub mod failover;
pub mod follow;
pub mod heartbeat;
pub mod keys;
pub mod probe;
pub mod record;
pub mod record_lookup;
pub mod recorder;
pub mod relay;
pub mod state;
pub mod thread;

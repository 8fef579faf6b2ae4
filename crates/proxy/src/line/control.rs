//! The control thread: what the process knows of the configuration, the servers and the other proxies,
//! and the failover duty. Each module but [`state`], [`entry`] and [`record`] is a task on it.

pub mod attempt;
pub mod duty;
pub mod entry;
pub mod failover;
pub mod feeder;
pub mod follow;
pub mod member;
pub mod observe;
pub mod record;
pub mod recorder;
pub mod state;
pub mod testify;
pub mod thread;

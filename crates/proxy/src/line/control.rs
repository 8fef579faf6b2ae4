//! The control thread: follows the key-value store, registers the proxy in it, and replaces failed
//! primaries while this process is the failover leader.
//!
//! The tasks are [`election`], [`failover`], [`follow`], [`heartbeat`], [`observation`] and
//! [`record_lookup`]. They share the [`state`], from which the traffic thread's view is published.

pub mod attempt;
pub mod bootstrap;
pub mod election;
pub mod failover;
pub mod follow;
pub mod heartbeat;
pub mod keys;
pub mod observation;
pub mod probe;
pub mod record;
pub mod record_lookup;
pub mod recorder;
pub mod relay;
pub mod seeds;
pub mod state;
pub mod thread;

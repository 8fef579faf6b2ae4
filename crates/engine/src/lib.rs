//! The decision logic of the proxy, free of I/O: nothing here reads a clock, opens a socket or
//! blocks. Callers pass in the time and carry out the returned decisions, so that tests can script
//! every event (`docs/DESIGN.md`, "Engine").

pub mod account;
pub mod admission;
pub mod breaker;
pub mod catalog;
pub mod commit;
pub mod delta;
pub mod election;
pub mod feed;
pub mod fence;
pub mod forwarding;
pub mod freshness;
pub mod history;
pub mod isolation;
pub mod lag;
pub mod members;
pub mod mirror;
pub mod ownership;
pub mod pace;
pub mod placement;
pub mod planner;
pub mod quorum;
pub mod quota;
pub mod recovery;
pub mod refusal;
pub mod registry;
pub mod replication;
pub mod restart;
pub mod roster;
pub mod seed;
pub mod session;
pub mod share;
pub mod slots;
pub mod startup;
pub mod statement;
pub mod takeover;
pub mod time;

pub use dandelionpitch_core::era;

//! The decisions of the proxy as plain values and functions: nothing here reads a clock, opens a
//! socket or waits. Callers pass the time in and carry out what is returned, so each decision is
//! tested with scripted events (`docs/DESIGN.md`, "Engine").

pub mod admission;
pub mod catalog;
pub mod commit;
pub mod delta;
pub mod duty;
pub mod feed;
pub mod fence;
pub mod forwarding;
pub mod freshness;
pub mod isolation;
pub mod life;
pub mod members;
pub mod mirror;
pub mod ownership;
pub mod placement;
pub mod refusal;
pub mod registry;
pub mod roster;
pub mod session;
pub mod share;
pub mod statement;
pub mod takeover;
pub mod time;

pub use dandelionpitch_core::era;

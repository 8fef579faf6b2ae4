//! The proxy daemon. The binary `dandelionpitch` only parses its command line, reads its settings
//! and calls [`daemon::run`].

pub mod announce;
pub mod backend;
pub mod config;
pub mod control;
pub mod daemon;
pub mod error;
pub mod line;
pub mod metrics;
pub mod operator;
pub mod pool;
pub mod route;
pub mod session;
pub mod view;

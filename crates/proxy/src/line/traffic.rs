//! Processing of callers' statements: [`session`] reads a statement, [`autocommit`] or [`transaction`]
//! selects the server, or [`forwarding`] another proxy, and [`exchange`] sends it and waits for the
//! answer.

pub mod autocommit;
pub mod call;
pub mod exchange;
pub mod feed;
pub mod forwarding;
pub mod lag;
mod latest;
pub mod origin;
pub mod session;
pub mod transaction;

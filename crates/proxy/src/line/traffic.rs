//! A caller's statement on its way: [`session`] reads it, [`run`] or [`transaction`] finds the server, or
//! [`handover`] another proxy that does, and [`exchange`] sends it and waits for the answer.

pub mod call;
pub mod exchange;
pub mod feed;
pub mod handover;
pub mod origin;
pub mod run;
pub mod session;
pub mod transaction;

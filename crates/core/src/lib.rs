//! Shared pieces of dandelionpitch: configuration bundles, the platform KV client, log positions
//! and log set-up.
//!
//! The proxy daemon and the operator CLI both read bundles and speak to the platform KV, so the
//! types live here once. See `docs/DESIGN.md` for how the pieces fit.

pub mod bundle;
pub mod era;
pub mod error;
pub mod hash;
pub mod keys;
pub mod kv;
pub mod logging;
pub mod position;
pub mod primary;
pub mod vms;

pub use error::Error;

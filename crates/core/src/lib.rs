//! Types shared by the proxy daemon and the operator CLI: configuration bundles, the platform KV
//! client, log positions and logging setup. See `docs/DESIGN.md` for an overview.

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

//! The error type of this crate.

use derive_more::{Display, Error, From};

/// Errors of bundles, the platform KV client and log positions.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A bundle is not valid TOML or lacks required fields.
    #[display("invalid bundle: {_0}")]
    BundleSyntax(toml::de::Error),
    /// A bundle has an invalid value; the text names the field.
    #[display("invalid bundle: {_0}")]
    #[from(ignore)]
    BundleRule(#[error(not(source))] String),
    /// A request to the platform KV failed.
    #[display("platform KV: {_0}")]
    Kv(reqwest::Error),
    /// The platform KV sent an unexpected response.
    #[display("unexpected response from platform KV: {_0}")]
    #[from(ignore)]
    KvAnswer(#[error(not(source))] String),
    /// A position token is not of the form `term/lsn`.
    #[display("position token {_0:?} is not of the form term/lsn")]
    #[from(ignore)]
    Position(#[error(not(source))] String),
}

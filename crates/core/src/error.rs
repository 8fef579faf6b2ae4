//! Errors shared by the library parts.

use derive_more::{Display, Error, From};

/// An error of the shared library parts.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A bundle file or KV value was not valid TOML of the bundle shape.
    #[display("bundle is not valid: {_0}")]
    BundleSyntax(toml::de::Error),
    /// A bundle parsed but broke a rule; the text names the field.
    #[display("bundle is not valid: {_0}")]
    #[from(ignore)]
    BundleRule(#[error(not(source))] String),
    /// The platform KV could not be reached or answered with a failure.
    #[display("platform KV: {_0}")]
    Kv(reqwest::Error),
    /// The platform KV answered with something that is not its protocol.
    #[display("platform KV answered badly: {_0}")]
    #[from(ignore)]
    KvAnswer(#[error(not(source))] String),
    /// A log position token did not have the `term/lsn` shape.
    #[display("position token {_0:?} is not of the form term/lsn")]
    #[from(ignore)]
    Position(#[error(not(source))] String),
}

//! Errors of the proxy daemon.

use derive_more::{Display, Error, From};

/// An error that stops the daemon at start-up.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The settings file could not be read.
    #[display("cannot read {path}: {source}")]
    Read {
        path: String,
        source: std::io::Error,
    },
    /// The settings file is not valid; the text names the key.
    #[display("settings are not valid: {_0}")]
    Settings(toml::de::Error),
    /// The settings parsed but broke a rule; the text names the key.
    #[display("settings are not valid: {_0}")]
    #[from(ignore)]
    Rule(#[error(not(source))] String),
    /// A client of the platform could not be built.
    #[display("platform: {_0}")]
    Platform(dandelionpitch_platform::Error),
    /// A listener could not be opened.
    #[display("cannot listen: {_0}")]
    Listen(std::io::Error),
}

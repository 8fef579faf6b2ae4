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
    /// The settings file is not valid TOML, or has an unknown key or a value of the wrong type.
    #[display("settings are not valid: {_0}")]
    Settings(toml::de::Error),
    /// A setting is out of range; the message names its key.
    #[display("settings are not valid: {_0}")]
    #[from(ignore)]
    OutOfRange(#[error(not(source))] String),
    /// A client of a platform service could not be built.
    #[display("platform: {_0}")]
    Platform(dandelionpitch_platform::Error),
    /// A listener, the runtime or a signal handler could not be set up.
    #[display("cannot listen: {_0}")]
    Listen(std::io::Error),
}

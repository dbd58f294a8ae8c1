//! Errors that prevent the process from starting.

use rail_site::settings::SettingsError;

/// Result of starting the process.
pub type Result<T> = std::result::Result<T, Error>;

/// Error that prevents the process from starting.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A listener or signal handler could not be set up.
    #[error("cannot set up a listener or signal handler: {0}")]
    Listen(#[from] std::io::Error),
    /// Keys could not be generated.
    #[error(transparent)]
    Keys(#[from] rail_runtime::keys::Error),
    /// The endpoint for links to other hosts could not be opened.
    #[error(transparent)]
    Peer(#[from] rail_peer::Error),
}

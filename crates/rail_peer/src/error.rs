//! Failures of peer links.

/// Result of a peer call.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a peer call did not succeed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The endpoint can't be bound.
    #[error("cannot bind the peer endpoint: {0}")]
    Bind(#[source] std::io::Error),
    /// The keys are refused.
    #[error(transparent)]
    Keys(#[from] rail_runtime::keys::Error),
    /// The TLS configuration does not suit QUIC.
    #[error("TLS configuration does not suit QUIC")]
    IncompatibleTls,
    /// No connection could be made; the peer has seen nothing of the call.
    #[error("cannot connect to the peer")]
    Connect,
    /// The connection was lost; the peer may have seen the call.
    #[error("connection to the peer was lost")]
    Lost,
    /// A frame is not readable.
    #[error("peer sent a frame that is not readable")]
    Unreadable,
}

//! Errors of peer links.

/// Result of an operation on a peer link.
pub type Result<T> = std::result::Result<T, Error>;

/// Why an operation on a peer link failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The endpoint can't be bound.
    #[error("cannot bind the peer endpoint: {0}")]
    Bind(#[source] std::io::Error),
    /// The keys are not usable for TLS.
    #[error(transparent)]
    Keys(#[from] rail_runtime::keys::Error),
    /// The TLS configuration has no cipher suite for the initial packets of QUIC.
    #[error("TLS configuration has no cipher suite for QUIC")]
    IncompatibleTls,
    /// No connection could be made; the peer has received nothing of the call.
    #[error("cannot connect to the peer")]
    Connect,
    /// The connection was lost; the peer may have received the call.
    #[error("connection to the peer was lost")]
    Lost,
    /// The peer's build is too old for this kind of message, so it was not sent.
    #[error("the peer does not know this kind of message")]
    OldFormat,
    /// A message can't be encoded or decoded.
    #[error("invalid message on a peer link")]
    InvalidMessage,
}

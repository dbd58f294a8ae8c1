//! Errors of calls to upstreams.

/// Result of a call to an upstream.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call to an upstream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection could be made; the upstream has received nothing.
    #[error("cannot connect to the upstream")]
    Connect,
    /// The upstream refused the order because it has seen a newer fencing number.
    #[error("upstream refused a stale fencing number")]
    StaleFence,
    /// The upstream refused the call before running it, with this HTTP status.
    #[error("upstream refused with status {0}")]
    Refused(u16),
    /// The upstream may have run the call and failed, with this HTTP status.
    #[error("upstream failed with status {0}")]
    Failed(u16),
    /// The connection was lost; the call may have run.
    #[error("connection to the upstream was lost")]
    Lost,
    /// The call can't be encoded as a request.
    #[error("invalid request to the upstream")]
    InvalidRequest,
    /// The response can't be decoded.
    #[error("invalid response from the upstream")]
    InvalidResponse,
}

impl Error {
    /// Reports whether the call can't have run.
    pub fn cannot_have_run(self) -> bool {
        matches!(self, Self::Connect | Self::InvalidRequest | Self::StaleFence | Self::Refused(_))
    }
}

//! Failures of calls to upstreams.

use awc::error::{ConnectError, SendRequestError};

/// Result of a call to an upstream.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call did not succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection could be made; the upstream has seen nothing.
    #[error("cannot connect to the upstream")]
    Connect,
    /// The upstream refused the order because of its fencing number.
    #[error("upstream refused an old fencing number")]
    StaleFence,
    /// The upstream refused before running.
    #[error("upstream refused with status {0}")]
    Refused(u16),
    /// The upstream ran the call and failed.
    #[error("upstream failed with status {0}")]
    Failed(u16),
    /// The connection was lost; the call may have run.
    #[error("connection to the upstream was lost")]
    Lost,
    /// The reply does not have the expected form.
    #[error("reply of the upstream is not readable")]
    Unreadable,
}

/// Reports whether no byte of a request was sent.
///
/// A connection that ends before the reply counts as sent, although the client library files it
/// under the failures to connect.
pub fn is_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(error) => !matches!(error, ConnectError::Disconnected),
        _ => false,
    }
}

impl Error {
    /// Reports whether the call can't have run.
    pub fn cannot_have_run(self) -> bool {
        matches!(self, Self::Connect | Self::StaleFence | Self::Refused(_))
    }
}

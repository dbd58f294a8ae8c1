//! Errors of platform calls.

/// Result of a platform call.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a platform call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No object has this name.
    #[error("object not found")]
    NotFound,
    /// An object with this name already exists.
    #[error("object exists already")]
    AlreadyExists,
    /// The object has another version than expected.
    #[error("object has another version")]
    Conflict,
    /// The platform's rate limit refused the call; it had no effect.
    #[error("refused by the platform's rate limit")]
    Throttled,
    /// The platform is temporarily unavailable and refused the call; it had no effect.
    #[error("platform is unavailable")]
    Unavailable,
    /// The platform responded with an unexpected HTTP status; a write may have taken effect.
    #[error("unexpected status {0}")]
    Status(u16),
    /// No connection could be opened; the call had no effect.
    #[error("cannot connect to the platform")]
    Connect,
    /// The reply was lost or did not arrive in time; a write may have taken effect.
    #[error("reply of the platform was lost")]
    ReplyLost,
    /// The reply, or a value in it, could not be decoded; a write may have taken effect.
    #[error("reply of the platform is not readable")]
    Unreadable,
}

impl Error {
    /// Returns whether a write may have taken effect although the call failed.
    pub fn is_effect_unknown(&self) -> bool {
        matches!(self, Self::ReplyLost | Self::Unreadable | Self::Status(_))
    }

    /// Returns whether the platform processed the call, so that it counts as reachable.
    pub fn is_answer(&self) -> bool {
        matches!(self, Self::NotFound | Self::AlreadyExists | Self::Conflict | Self::Throttled)
    }

    /// Returns the value of the reason label in metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::NotFound => "not_found",
            Self::AlreadyExists => "already_exists",
            Self::Conflict => "conflict",
            Self::Throttled => "throttled",
            Self::Unavailable => "unavailable",
            Self::Status(_) => "status",
            Self::Connect => "connect",
            Self::ReplyLost => "reply_lost",
            Self::Unreadable => "unreadable",
        }
    }
}

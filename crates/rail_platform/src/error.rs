//! Failures of platform calls.

/// Result of a platform call.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a platform call did not succeed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No object has this name.
    #[error("object not found")]
    NotFound,
    /// An object of this name exists already.
    #[error("object exists already")]
    AlreadyExists,
    /// The object has another version than expected.
    #[error("object has another version")]
    Conflict,
    /// The platform's rate limit refused the call; it had no effect.
    #[error("refused by the platform's rate limit")]
    Throttled,
    /// The platform refused the call; it had no effect.
    #[error("platform is unavailable")]
    Unavailable,
    /// The platform answered with a status that is not expected.
    #[error("unexpected status {0}")]
    Status(u16),
    /// No connection could be made; the call had no effect.
    #[error("cannot connect to the platform")]
    Connect,
    /// The reply was lost; a write may have taken effect.
    #[error("reply of the platform was lost")]
    ReplyLost,
    /// The reply does not have the expected form.
    #[error("reply of the platform is not readable")]
    Unreadable,
}

impl Error {
    /// Reports whether a write may have taken effect all the same.
    pub fn is_effect_unknown(&self) -> bool {
        matches!(self, Self::ReplyLost | Self::Unreadable | Self::Status(_))
    }

    /// Reports whether the platform answered at all.
    pub fn is_answer(&self) -> bool {
        matches!(self, Self::NotFound | Self::AlreadyExists | Self::Conflict | Self::Throttled)
    }

    /// Names the reason, for counters.
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

//! Failures and their exit codes.

use tonic::Code;

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is not complete.
    #[error("no command; see --help")]
    Usage,
    /// A flag that the command needs is missing.
    #[error("--{0} is required")]
    Missing(&'static str),
    /// A value is not one of those allowed.
    #[error("--{flag}: {value:?} is not valid")]
    Invalid {
        /// Flag.
        flag: &'static str,
        /// Value as given.
        value: String,
    },
    /// A key can't be read or made.
    #[error(transparent)]
    Keys(#[from] rail_runtime::keys::Error),
    /// A file can't be written.
    #[error("cannot write {path}: {source}")]
    Write {
        /// Path.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The server can't be reached or refused the certificate.
    #[error("cannot connect: {0}")]
    Connect(#[from] tonic::transport::Error),
    /// The server refused the call.
    #[error("{}: {}", .0.code(), .0.message())]
    Refused(Box<tonic::Status>),
}

impl From<tonic::Status> for Error {
    fn from(status: tonic::Status) -> Self {
        Self::Refused(Box::new(status))
    }
}

impl Error {
    /// Gives the exit code: 2 usage, 3 not reached, 4 refused as not valid, 5 conflict,
    /// 6 unavailable, 7 outcome unknown, 1 otherwise.
    pub fn exit_code(&self) -> i32 {
        match self {
            Self::Usage | Self::Missing(_) | Self::Invalid { .. } => 2,
            Self::Connect(_) => 3,
            Self::Refused(status) => match status.code() {
                Code::InvalidArgument => 4,
                Code::FailedPrecondition | Code::Aborted => 5,
                Code::Unavailable => 6,
                Code::Unknown | Code::DeadlineExceeded | Code::Cancelled => 7,
                _ => 1,
            },
            Self::Keys(_) | Self::Write { .. } => 1,
        }
    }
}

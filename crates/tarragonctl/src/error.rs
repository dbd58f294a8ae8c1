//! Errors of commands, their texts and their exit codes.

use rail_config::ChangeError;
use std::{error::Error as _, time::Duration};
use tonic::{Code, Status};

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Metadata key of the accepted generation in the status of a conflict.
const GENERATION_KEY: &str = "tarragon-generation";

/// Exit codes of the tool.
///
/// Scripts rely on the numbers, so none ever changes its meaning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// Any error without a code of its own.
    Other = 1,
    /// The command line or the fleet file is not valid.
    Usage = 2,
    /// The connection or its TLS handshake failed; nothing was changed.
    NotReached = 3,
    /// The server rejected the content of the request; nothing was changed.
    Refused = 4,
    /// The accepted generation is not the expected one; nothing was changed.
    Conflict = 5,
    /// The server or the platform is unavailable; nothing was changed.
    Unavailable = 6,
    /// The change may or may not have been accepted.
    OutcomeUnknown = 7,
    /// Not every process has applied the generation within the timeout.
    NotApplied = 8,
    /// The role of the certificate does not permit the call; nothing was changed.
    NotAllowed = 9,
    /// The fleet file differs from the configuration and `--yes` is not set; nothing was changed.
    Differences = 10,
}

/// Failure of a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line has no command or an incomplete one.
    #[error("no command; see --help")]
    Usage,
    /// A required flag or argument is missing.
    #[error("--{0} is required")]
    Missing(&'static str),
    /// `explain` found no event line of the request.
    #[error("no line names request {0}")]
    RequestNotFound(String),
    /// The value of a flag or argument is not valid.
    #[error("--{flag}: {value:?} is not valid")]
    Invalid {
        /// Name of the flag or argument, without dashes.
        flag: &'static str,
        /// Value as set by the operator.
        value: String,
    },
    /// TLS keys cannot be loaded or issued.
    #[error(transparent)]
    Keys(#[from] rail_runtime::keys::Error),
    /// A file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[error("cannot write {path}: {source}")]
    Write {
        /// Path of the file.
        path: String,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// The fleet file is not valid TOML or has an unknown key.
    #[error("fleet file is not valid: {0}")]
    FleetFile(#[from] toml::de::Error),
    /// The fleet file contains a change that the server would reject.
    #[error("fleet file is not valid: {0}")]
    Change(#[from] ChangeError),
    /// Differences were printed but not applied, because `--yes` is not set.
    #[error("not applied; repeat with --yes to apply these changes")]
    Differences,
    /// Not every process has applied the generation within the timeout.
    #[error("generation {generation} is not applied yet on: {}", .behind.join(", "))]
    NotApplied {
        /// Generation to wait for, set by `--wait`.
        generation: u64,
        /// Processes that have applied only an older one, as `HOST/ROLE (GENERATION)`.
        behind: Vec<String>,
    },
    /// The server cannot be reached or rejected the certificate.
    #[error("cannot connect: {}", error_chain(.0))]
    Connect(#[from] tonic::transport::Error),
    /// The connection was not established within the timeout.
    #[error("cannot connect: no answer within {0:?}; try another entry host")]
    ConnectTimeout(Duration),
    /// A call that only reads failed.
    #[error("{}", describe_status(.0))]
    ReadCall(Box<Status>),
    /// A call that changes something failed.
    #[error("{}", describe_change(.0))]
    ChangeCall(Box<Status>),
}

impl Error {
    /// Wraps the status of a failed call that only reads.
    pub fn from_read(status: Status) -> Self {
        Self::ReadCall(Box::new(status))
    }

    /// Wraps the status of a failed call that changes something.
    pub fn from_change(status: Status) -> Self {
        Self::ChangeCall(Box::new(status))
    }

    /// Returns the exit code of the tool for this error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage
            | Self::Missing(_)
            | Self::Invalid { .. }
            | Self::FleetFile(_)
            | Self::Change(_) => ExitCode::Usage,
            Self::Connect(_) | Self::ConnectTimeout(_) => ExitCode::NotReached,
            Self::Differences => ExitCode::Differences,
            Self::NotApplied { .. } => ExitCode::NotApplied,
            Self::ReadCall(status) if is_reply_lost(status) => ExitCode::Unavailable,
            Self::ChangeCall(status) if is_reply_lost(status) => ExitCode::OutcomeUnknown,
            Self::ReadCall(status) | Self::ChangeCall(status) => exit_code_of(status.code()),
            Self::Keys(_) | Self::Read { .. } | Self::Write { .. } | Self::RequestNotFound(_) => {
                ExitCode::Other
            }
        }
    }
}

fn exit_code_of(code: Code) -> ExitCode {
    match code {
        Code::InvalidArgument | Code::NotFound | Code::OutOfRange => ExitCode::Refused,
        Code::FailedPrecondition | Code::Aborted | Code::AlreadyExists => ExitCode::Conflict,
        Code::Unavailable | Code::ResourceExhausted => ExitCode::Unavailable,
        Code::Unknown | Code::DeadlineExceeded | Code::Cancelled => ExitCode::OutcomeUnknown,
        Code::PermissionDenied | Code::Unauthenticated => ExitCode::NotAllowed,
        _ => ExitCode::Other,
    }
}

/// Returns whether the reply was lost in transit, as opposed to an error sent by the server.
///
/// Only a status created by the client has a source.
fn is_reply_lost(status: &Status) -> bool {
    status.source().is_some()
}

fn describe_change(status: &Status) -> String {
    let code = if is_reply_lost(status) { Code::Unknown } else { status.code() };
    if exit_code_of(code) == ExitCode::OutcomeUnknown {
        return format!(
            "outcome unknown: the change may or may not have been accepted ({}); \
             compare with `tarragonctl list`, or repeat: a repeated change is harmless",
            status.message()
        );
    }
    describe_status(status)
}

fn describe_status(status: &Status) -> String {
    let text = status.message();
    if is_reply_lost(status) {
        return format!("the reply was lost: {text}; retry, or use another entry host");
    }
    match exit_code_of(status.code()) {
        ExitCode::Refused => format!("refused, nothing was changed: {text}"),
        ExitCode::Conflict => {
            let current = status.metadata().get(GENERATION_KEY).and_then(|v| v.to_str().ok());
            let current = current.map(|g| format!("; generation {g} stands")).unwrap_or_default();
            format!("conflict, nothing was changed: {text}{current}")
        }
        ExitCode::Unavailable => {
            format!("unavailable, nothing was changed: {text}; retry, or use another entry host")
        }
        ExitCode::OutcomeUnknown => format!("no answer in time: {text}"),
        ExitCode::NotAllowed => format!("not allowed, nothing was changed: {text}"),
        _ => format!("{}: {text}", status.code()),
    }
}

fn error_chain(error: &tonic::transport::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

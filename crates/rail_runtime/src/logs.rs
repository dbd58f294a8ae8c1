//! Structured logs on standard error.

use flexi_logger::{Logger, LoggerHandle};

pub use flexi_logger::FlexiLoggerError as LogError;

/// Result of starting the logger.
pub type Result<T> = std::result::Result<T, LogError>;

/// Line format of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Plain text.
    Text,
}

/// Starts logging to standard error; logging stops when the handle drops.
///
/// # Errors
/// Fails when the level specification is not valid or a logger runs already.
pub fn start_logging(level: &str, format: LogFormat) -> Result<LoggerHandle> {
    let logger = Logger::try_with_str(level)?.log_to_stderr();
    match format {
        LogFormat::Json => logger.format(flexi_logger::json_format).start(),
        LogFormat::Text => logger.format(flexi_logger::detailed_format).start(),
    }
}

//! Log output on standard error, as JSON or plain text.

use flexi_logger::{Logger, LoggerHandle};

pub use flexi_logger::FlexiLoggerError as LogError;

/// Result of starting the logger.
pub type Result<T> = std::result::Result<T, LogError>;

/// Format of log lines; set by `--log-format`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Plain text with time, level and source location.
    Text,
}

/// Starts logging to standard error; logging stops when the returned handle is dropped.
///
/// # Errors
/// Returns an error if `level` is not a valid level specification or a logger is already set.
pub fn start_logging(level: &str, format: LogFormat) -> Result<LoggerHandle> {
    let logger = Logger::try_with_str(level)?.log_to_stderr();
    match format {
        LogFormat::Json => logger.format(flexi_logger::json_format).start(),
        LogFormat::Text => logger.format(flexi_logger::detailed_format).start(),
    }
}

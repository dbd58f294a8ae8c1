//! Errors of residency changes.

use rail_chart::ChartError;

/// Result of a residency change.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a residency change is not possible; its text is a metric label.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The adapter can't be evicted while it serves a request.
    #[error("in_use")]
    InUse,
    /// Every adapter slot is occupied.
    #[error("no_slot")]
    NoSlot,
    /// The ticket belongs to a slot that no longer exists, for example after an engine restart.
    #[error("stale_ticket")]
    StaleTicket,
    /// The state chart has no such transition from the adapter's current state.
    #[error("undefined_step")]
    Chart(#[from] ChartError),
}

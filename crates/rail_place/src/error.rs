//! Why a step of placement is not possible.

use rail_chart::ChartError;

/// Result of a placement step.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a step is not possible.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The adapter serves a request.
    #[error("in_use")]
    InUse,
    /// Every slot is taken.
    #[error("no_slot")]
    NoSlot,
    /// The ticket belongs to a slot that is gone.
    #[error("stale_ticket")]
    StaleTicket,
    /// The state chart does not define the step.
    #[error("undefined_step")]
    Chart(#[from] ChartError),
}

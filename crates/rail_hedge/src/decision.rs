//! Whether a request gets a second attempt.

use crate::budget::{HedgeBudget, HedgeShare};
use std::time::Duration;

/// Time left until the deadline below which no second attempt is worth its work.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// What is known of a request whose answer is slow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgeInputs {
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether the request may crash the upstreams that run it.
    pub is_suspect: bool,
    /// Whether the caller's key is still valid.
    pub is_key_valid: bool,
    /// Attempts that may have run so far.
    pub attempts: u32,
    /// Most attempts that the route allows.
    pub max_attempts: u32,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Time after which the answer of the first attempt is expected, from now on.
    pub first_expected: Duration,
    /// Time after which another upstream is expected to answer, from now on; `None` if there is no
    /// other upstream with room.
    pub second_expected: Option<Duration>,
}

/// Why a request gets no second attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoHedge {
    /// The operators allow none.
    Off,
    /// The request may run only once.
    NotIdempotent,
    /// The request may crash upstreams.
    Suspect,
    /// The caller's key is not valid any more.
    InvalidKey,
    /// The first attempt still waits, for its quota or a permit, before its send.
    NotSent,
    /// The route allows no further attempt.
    NoAttemptLeft,
    /// The deadline is too close.
    TooLate,
    /// No other upstream has room.
    NoRoom,
    /// The first attempt is expected to answer sooner.
    NotSooner,
    /// The share of requests that may get a second attempt is used up.
    OverShare,
}

impl NoHedge {
    /// Returns the reason as it appears in logs and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Off => "off",
            Self::NotIdempotent => "not_repeatable",
            Self::Suspect => "suspect",
            Self::InvalidKey => "invalid_key",
            Self::NotSent => "not_sent",
            Self::NoAttemptLeft => "no_attempt_left",
            Self::TooLate => "too_late",
            Self::NoRoom => "no_room",
            Self::NotSooner => "not_sooner",
            Self::OverShare => "over_share",
        }
    }
}

/// Decides whether a request whose answer is slow gets a second attempt.
///
/// Load pattern: a few answers take many times as long as the others, while upstreams have room.
/// Where all answers are slow, upstreams lack room or the share is used up, so second attempts
/// never add to an overload.
///
/// # Errors
/// Returns why it gets none.
pub fn may_hedge(
    inputs: &HedgeInputs,
    share: HedgeShare,
    budget: &HedgeBudget,
) -> Result<(), NoHedge> {
    let second_expected = match inputs.second_expected {
        _ if share.is_off() => return Err(NoHedge::Off),
        _ if !inputs.is_idempotent => return Err(NoHedge::NotIdempotent),
        _ if inputs.is_suspect => return Err(NoHedge::Suspect),
        _ if !inputs.is_key_valid => return Err(NoHedge::InvalidKey),
        _ if inputs.attempts >= inputs.max_attempts => return Err(NoHedge::NoAttemptLeft),
        None => return Err(NoHedge::NoRoom),
        Some(expected) => expected,
    };
    if inputs.time_left < second_expected.max(MIN_TIME_LEFT) {
        return Err(NoHedge::TooLate);
    }
    if second_expected >= inputs.first_expected {
        return Err(NoHedge::NotSooner);
    }
    if budget.has_credit() { Ok(()) } else { Err(NoHedge::OverShare) }
}

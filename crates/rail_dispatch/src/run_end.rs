//! How a dispatched run ended, as its host reports it to the dispatcher.

use crate::pace::{LoadReport, Pace};
use std::time::Duration;

/// Outcome of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The instance answered.
    Answered,
    /// The instance had no room, and did not run the request.
    Refused,
    /// The instance failed or was not reached.
    Failed,
    /// Nothing is known of the instance, for example since the caller left.
    Unknown,
}

/// End of a run. It is reported as the code with which its call is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunEnd {
    /// Outcome of the run.
    pub outcome: RunOutcome,
    /// Load that the instance reported last.
    pub report: Option<LoadReport>,
    /// Time from the send to the answer.
    pub took: Option<Duration>,
    /// Refusals a second that each instance of the service survives, if the service says that it is
    /// brittle.
    pub max_refusals_per_s: Option<u32>,
}

impl RunEnd {
    /// End of a run of which nothing is known.
    pub const UNKNOWN: Self =
        Self { outcome: RunOutcome::Unknown, report: None, took: None, max_refusals_per_s: None };

    const OUTCOME_BITS: u32 = 2;
    /// Bits of the number of requests plus one; 0 without a report.
    const REQUEST_BITS: u32 = 9;
    /// Bits of the pace in percent; 0 if it is not reported.
    const PACE_BITS: u32 = 10;
    /// Bits of the time in milliseconds plus one; 0 if it is not known.
    const TIME_BITS: u32 = 11;
    /// Bits of the survived refusals plus one; 0 if the service is not brittle. Earlier builds don't
    /// read them.
    const REFUSAL_BITS: u32 = 20;

    /// Returns the code that reports this end. Larger values than its bits hold are reported as the
    /// largest one.
    pub fn code(self) -> u64 {
        let outcome = match self.outcome {
            // A call that is dropped without a code has this one.
            RunOutcome::Unknown => 0,
            RunOutcome::Answered => 1,
            RunOutcome::Refused => 2,
            RunOutcome::Failed => 3,
        };
        let requests = self.report.map_or(0, |report| report.requests.saturating_add(1));
        let pace = self.report.and_then(|report| report.pace);
        let pace = pace.map_or(0, |pace| u32::from(pace.percent()));
        let time_ms = self.took.map_or(0, |took| took.as_millis() as u32 + 1);
        let refusals = self.max_refusals_per_s.map_or(0, |refusals| refusals.saturating_add(1));
        let fields = [
            (refusals, Self::REFUSAL_BITS),
            (time_ms, Self::TIME_BITS),
            (pace, Self::PACE_BITS),
            (requests, Self::REQUEST_BITS),
            (outcome, Self::OUTCOME_BITS),
        ];
        fields.iter().fold(0, |code, (field, bits)| {
            let field = (*field).min(largest(*bits));
            code << bits | u64::from(field)
        })
    }

    /// Decodes the code of a dropped call.
    pub fn from_code(code: u64) -> Self {
        let mut rest = code;
        let mut field = |bits: u32| {
            let value = rest & u64::from(largest(bits));
            rest >>= bits;
            value
        };
        let outcome = match field(Self::OUTCOME_BITS) {
            0 => RunOutcome::Unknown,
            1 => RunOutcome::Answered,
            2 => RunOutcome::Refused,
            _ => RunOutcome::Failed,
        };
        let requests = field(Self::REQUEST_BITS).checked_sub(1);
        let pace = Pace::from_percent(field(Self::PACE_BITS));
        let time_ms = field(Self::TIME_BITS).checked_sub(1);
        let max_refusals_per_s = field(Self::REFUSAL_BITS).checked_sub(1);
        let max_refusals_per_s = max_refusals_per_s.map(|refusals| refusals as u32);
        let report = requests.map(|requests| LoadReport { requests: requests as u32, pace });
        Self { outcome, report, took: time_ms.map(Duration::from_millis), max_refusals_per_s }
    }
}

fn largest(bits: u32) -> u32 {
    (1 << bits) - 1
}

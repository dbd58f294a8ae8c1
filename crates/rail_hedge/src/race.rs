//! Which of two attempts answers a request.

/// One of the two attempts of a hedged request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Racer {
    /// The attempt that was sent first.
    First,
    /// The second attempt.
    Second,
}

impl Racer {
    /// Returns the other attempt.
    pub fn other(self) -> Self {
        match self {
            Self::First => Self::Second,
            Self::Second => Self::First,
        }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With a whole answer.
    Answered,
    /// With an answer that is a server error, a broken connection or a refusal.
    Failed,
}

/// What follows from the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RaceStep {
    /// The other attempt may still answer.
    Wait,
    /// This attempt's answer goes to the caller; the other one is cancelled, if it still runs.
    Deliver(Racer),
    /// Both failed; the request ends as this attempt did.
    GiveUp(Racer),
    /// The request has ended already, so this end is ignored.
    Ignore,
}

/// The race between the attempts of one request: the first whole answer goes to the caller, and
/// nothing of the other one. A failure waits for the other attempt.
#[derive(Debug, Clone, Default)]
pub struct Race {
    failed: Option<Racer>,
    is_over: bool,
}

impl Race {
    /// Records the end of an attempt.
    pub fn record(&mut self, racer: Racer, end: AttemptEnd) -> RaceStep {
        if self.is_over || self.failed == Some(racer) {
            return RaceStep::Ignore;
        }
        match (end, self.failed) {
            (AttemptEnd::Answered, _) => {
                self.is_over = true;
                RaceStep::Deliver(racer)
            }
            (AttemptEnd::Failed, None) => {
                self.failed = Some(racer);
                RaceStep::Wait
            }
            // The first attempt decides how the request ends, as it would without the second one.
            (AttemptEnd::Failed, Some(_)) => {
                self.is_over = true;
                RaceStep::GiveUp(Racer::First)
            }
        }
    }
}

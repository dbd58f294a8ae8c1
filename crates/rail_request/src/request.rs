//! The machine of one request: attempts, retries, resumed streams and its outcome.

use crate::{
    outcome::{RequestFailure, RequestRefusal, RequestRefusalReason},
    retry::{RetryBudget, RetryCause},
};
use rail_chart::{Chart, ChartError};
use serde::Deserialize;
use std::{sync::LazyLock, time::Duration};

/// Result of a step of a request.
pub type Result<T> = std::result::Result<T, ChartError>;

/// Attempts that may have run, in all.
pub const MAX_ATTEMPTS: u32 = 3;
/// Times that one stream is resumed.
const MAX_RESUMES: u32 = 5;
/// When a caller should come back after its deadline.
const DEADLINE_RETRY: Duration = Duration::from_secs(1);

/// States of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// A candidate is being chosen.
    Choosing,
    /// An owner has the order.
    Submitted,
    /// An upstream may have the order.
    Dispatched,
    /// Parts of the answer arrive.
    Streaming,
    /// The stream broke and is being opened again.
    Resuming,
    /// The request has its outcome.
    Closed,
}

/// Kinds of events of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestEventKind {
    /// See [`RequestEvent::Submitted`].
    Submitted,
    /// See [`RequestEvent::Dispatched`].
    Dispatched,
    /// See [`RequestEvent::Refused`].
    Refused,
    /// The attempt failed and another may be made.
    Retry,
    /// The attempt failed for good.
    GiveUp,
    /// A part of the answer arrived.
    Token,
    /// The whole answer has arrived.
    Final,
    /// The stream broke or has a gap.
    Broken,
    /// See [`RequestEvent::Resumed`].
    Resumed,
    /// See [`RequestEvent::Exhausted`].
    Exhausted,
    /// See [`RequestEvent::Expired`].
    Expired,
}

/// What happened to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEvent {
    /// The order was sent to an owner.
    Submitted,
    /// The upstream may have the request from here on.
    Dispatched,
    /// This attempt provably did not run.
    Refused(RequestRefusal),
    /// The link was lost; the attempt may have run.
    Lost,
    /// The attempt may have run and has no whole answer.
    Failed(RequestFailure),
    /// The upstream crashed; says whether the request may be tried alone.
    Crashed {
        /// Whether another attempt is allowed.
        may_retry: bool,
    },
    /// A part of the answer.
    Token {
        /// Position in the answer.
        offset: u64,
        /// Model that the upstream reported.
        model: String,
        /// Text.
        text: String,
    },
    /// The end of the answer, with the number of its parts if known.
    Final {
        /// Number of parts.
        tokens: Option<u64>,
    },
    /// The stream is open again after the last part.
    Resumed,
    /// No candidate is left.
    Exhausted,
    /// The deadline has passed.
    Expired,
}

/// What to do next for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestCommand {
    /// Choose a candidate and submit the order to its owner.
    Choose,
    /// Drop what was gathered, then choose another candidate.
    Restart,
    /// Wait for the next event.
    Wait,
    /// Give a part of the answer to the caller.
    Deliver(String),
    /// Open the stream again after this number of parts.
    Resume {
        /// Parts that have arrived.
        received: u64,
    },
    /// Tell the caller the outcome.
    End(RequestOutcome),
}

/// The closed set of outcomes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer was delivered.
    Answered,
    /// No attempt ran.
    Refused(RequestRefusal),
    /// An attempt may have run, and there is no whole answer.
    Failed(RequestFailure),
}

/// One request with all its attempts.
#[derive(Debug, Clone)]
pub struct Request {
    state: RequestState,
    model: String,
    is_idempotent: bool,
    is_streamed: bool,
    received: u64,
    attempts: u32,
    resumes: u32,
    failure: Option<RequestFailure>,
    refusal: RequestRefusal,
}

/// Gives the chart of requests.
pub fn request_chart() -> &'static Chart<RequestState, RequestEventKind> {
    static CHART: LazyLock<Chart<RequestState, RequestEventKind>> = LazyLock::new(|| {
        Chart::parse(include_str!("../../../charts/request.toml")).expect("embedded chart is valid")
    });
    &CHART
}

impl Request {
    /// Prepares a request for this model.
    ///
    /// The parts of a streamed answer reach the caller as they come; otherwise the caller has seen
    /// nothing until the end.
    pub fn new(model: &str, is_idempotent: bool, is_streamed: bool) -> Self {
        Self {
            state: request_chart().initial(),
            model: model.to_owned(),
            is_idempotent,
            is_streamed,
            received: 0,
            attempts: 0,
            resumes: 0,
            failure: None,
            refusal: RequestRefusal {
                reason: RequestRefusalReason::NoOwner,
                retry_after: DEADLINE_RETRY,
            },
        }
    }

    /// Gives the state.
    pub fn state(&self) -> RequestState {
        self.state
    }

    /// Gives the last refusal, which ends the request when no candidate is left.
    pub fn refusal(&self) -> RequestRefusal {
        self.refusal
    }

    /// Takes an event and gives what to do next.
    ///
    /// # Errors
    /// An event that the chart does not define changes nothing.
    pub fn handle(
        &mut self,
        event: RequestEvent,
        budget: &mut RetryBudget,
    ) -> Result<RequestCommand> {
        let (kind, failure) = self.judge(&event);
        let kind = match (kind, failure) {
            (RequestEventKind::Retry, Some((cause, _))) if !self.may_retry(cause, budget) => {
                RequestEventKind::GiveUp
            }
            (kind, _) => kind,
        };
        let before = self.state;
        self.state = request_chart().step(before, kind)?;
        if let Some((_, failed)) = failure {
            self.failure = Some(failed);
        }
        Ok(self.command(before, kind, event))
    }

    /// Judges what an event means in this state, and which failure it carries.
    fn judge(
        &self,
        event: &RequestEvent,
    ) -> (RequestEventKind, Option<(RetryCause, RequestFailure)>) {
        use RequestEventKind as Kind;
        let lost = (RetryCause::LostLink, RequestFailure::UnknownOutcome);
        match event {
            RequestEvent::Submitted => (Kind::Submitted, None),
            RequestEvent::Dispatched => (Kind::Dispatched, None),
            RequestEvent::Refused(_) if self.received > 0 => self.interrupted(lost),
            RequestEvent::Refused(_) => (Kind::Refused, None),
            RequestEvent::Lost => self.interrupted(lost),
            RequestEvent::Failed(RequestFailure::UnknownOutcome) => {
                self.interrupted((RetryCause::LostUpstream, RequestFailure::UnknownOutcome))
            }
            RequestEvent::Failed(failed) => (Kind::Retry, Some((cause_of(*failed), *failed))),
            RequestEvent::Crashed { may_retry } => {
                let kind = if *may_retry { Kind::Retry } else { Kind::GiveUp };
                (kind, Some((RetryCause::UpstreamCrashed, RequestFailure::UpstreamCrashed)))
            }
            RequestEvent::Token { model, .. } if *model != self.model => {
                (Kind::Retry, Some((RetryCause::WrongAdapter, RequestFailure::WrongAdapter)))
            }
            RequestEvent::Token { offset, .. } if *offset > self.received => self.interrupted(lost),
            RequestEvent::Token { .. } => (Kind::Token, None),
            RequestEvent::Final { tokens: Some(tokens) } if *tokens != self.received => {
                self.interrupted(lost)
            }
            RequestEvent::Final { .. } => (Kind::Final, None),
            RequestEvent::Resumed => (Kind::Resumed, None),
            RequestEvent::Exhausted => (Kind::Exhausted, None),
            RequestEvent::Expired => (Kind::Expired, None),
        }
    }

    /// Judges a lost connection: a stream is resumed, anything else is another attempt.
    fn interrupted(
        &self,
        failure: (RetryCause, RequestFailure),
    ) -> (RequestEventKind, Option<(RetryCause, RequestFailure)>) {
        let is_resumable = self.state == RequestState::Streaming && self.resumes < MAX_RESUMES;
        let kind = if is_resumable { RequestEventKind::Broken } else { RequestEventKind::Retry };
        (kind, Some(failure))
    }

    /// Reports whether another attempt would be allowed after one that may have run.
    pub fn may_retry_unbudgeted(&self) -> bool {
        let caller_saw_nothing = self.received == 0 || !self.is_streamed;
        self.is_idempotent && caller_saw_nothing && self.attempts < MAX_ATTEMPTS
    }

    /// Reports whether the request may run again, and takes that from the budget.
    fn may_retry(&self, cause: RetryCause, budget: &mut RetryBudget) -> bool {
        self.may_retry_unbudgeted() && budget.try_spend(cause)
    }

    fn command(
        &mut self,
        before: RequestState,
        kind: RequestEventKind,
        event: RequestEvent,
    ) -> RequestCommand {
        match kind {
            RequestEventKind::Submitted => {
                self.attempts += 1;
                RequestCommand::Wait
            }
            RequestEventKind::Dispatched | RequestEventKind::Resumed => RequestCommand::Wait,
            RequestEventKind::Refused => {
                if before != RequestState::Choosing {
                    self.attempts -= 1;
                }
                if let RequestEvent::Refused(not_run) = event {
                    self.refusal = not_run;
                }
                RequestCommand::Choose
            }
            RequestEventKind::Retry => {
                self.received = 0;
                RequestCommand::Restart
            }
            RequestEventKind::Token => self.deliver(event),
            RequestEventKind::Broken => {
                self.resumes += 1;
                RequestCommand::Resume { received: self.received }
            }
            RequestEventKind::Final => RequestCommand::End(RequestOutcome::Answered),
            RequestEventKind::GiveUp | RequestEventKind::Exhausted => {
                self.end(self.refusal, before)
            }
            RequestEventKind::Expired => {
                let reason = RequestRefusalReason::Deadline;
                self.end(RequestRefusal { reason, retry_after: DEADLINE_RETRY }, before)
            }
        }
    }

    fn deliver(&mut self, event: RequestEvent) -> RequestCommand {
        match event {
            RequestEvent::Token { offset, text, .. } if offset == self.received => {
                self.received += 1;
                RequestCommand::Deliver(text)
            }
            _ => RequestCommand::Wait,
        }
    }

    /// Ends without an answer: as not run only when no attempt may have run.
    fn end(&self, refusal: RequestRefusal, before: RequestState) -> RequestCommand {
        let is_open = before != RequestState::Choosing;
        RequestCommand::End(match self.failure {
            Some(failed) => RequestOutcome::Failed(failed),
            None if is_open => RequestOutcome::Failed(RequestFailure::UnknownOutcome),
            None => RequestOutcome::Refused(refusal),
        })
    }
}

fn cause_of(failed: RequestFailure) -> RetryCause {
    match failed {
        RequestFailure::UpstreamFailed => RetryCause::UpstreamFailed,
        RequestFailure::WrongAdapter => RetryCause::WrongAdapter,
        RequestFailure::UnknownOutcome => RetryCause::LostUpstream,
        RequestFailure::UpstreamCrashed => RetryCause::UpstreamCrashed,
    }
}

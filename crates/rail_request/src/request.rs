//! State machine of one request: attempts, retries, resumed streams and the outcome.

use crate::{
    outcome::{RequestFailure, RequestRefusal, RequestRefusalReason},
    retry::{RetryBudget, RetryCause},
};
use rail_chart::{Chart, ChartError};
use serde::Deserialize;
use std::{sync::LazyLock, time::Duration};

/// Result of an event of a request.
pub type Result<T> = std::result::Result<T, ChartError>;

/// Maximum number of attempts that may have run; refused attempts don't count.
pub const MAX_ATTEMPTS: u32 = 3;
/// Maximum number of times that the streams of one request are resumed.
const MAX_RESUMES: u32 = 5;
/// Retry delay that is sent to callers after the deadline, or if no upstream was tried.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State of a request, as named in `charts/request.toml`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// A candidate engine is being chosen.
    Choosing,
    /// The order was submitted to the owner of an engine.
    Submitted,
    /// The upstream may have received the request.
    Dispatched,
    /// Parts of the response are arriving.
    Streaming,
    /// The stream was interrupted and is being resumed.
    Resuming,
    /// Final state: the request has an outcome.
    Closed,
}

/// Kind of a [`RequestEvent`], as named in `charts/request.toml`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestEventKind {
    /// See [`RequestEvent::Submitted`].
    Submitted,
    /// See [`RequestEvent::Dispatched`].
    Dispatched,
    /// See [`RequestEvent::Refused`].
    Refused,
    /// The attempt failed and a retry is allowed.
    Retry,
    /// The attempt failed and no retry is allowed.
    GiveUp,
    /// A part of the response arrived.
    Token,
    /// The complete response has arrived.
    Final,
    /// The stream was interrupted or has a gap, and can be resumed.
    Broken,
    /// See [`RequestEvent::Resumed`].
    Resumed,
    /// See [`RequestEvent::Exhausted`].
    Exhausted,
    /// See [`RequestEvent::Expired`].
    Expired,
}

/// Event of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEvent {
    /// The order was submitted to the owner of an engine.
    Submitted,
    /// From this event on, the upstream may have received the request.
    Dispatched,
    /// The attempt certainly did not run.
    Refused(RequestRefusal),
    /// The connection was lost; the attempt may have run.
    Lost,
    /// The attempt may have run and has no complete response.
    Failed(RequestFailure),
    /// The upstream crashed.
    Crashed {
        /// Whether quarantine allows a retry, which runs alone on its engine.
        may_retry: bool,
    },
    /// A part of the response arrived.
    Token {
        /// Index of the part, from zero.
        offset: u64,
        /// Model name that the upstream reported.
        model: String,
        /// Text of the part.
        text: String,
    },
    /// The response ended.
    Final {
        /// Number of parts that were sent, if known; detects a missing part at the end.
        tokens: Option<u64>,
    },
    /// The stream was resumed after the last received part.
    Resumed,
    /// No candidate engine is left.
    Exhausted,
    /// The deadline has passed.
    Expired,
}

/// Next action for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestCommand {
    /// Choose a candidate engine and submit the order to its owner.
    Choose,
    /// Discard the parts received so far, then choose another candidate.
    Restart,
    /// Wait for the next event.
    Wait,
    /// Deliver a part of the response to the caller.
    Deliver(String),
    /// Resume the stream.
    Resume {
        /// Number of parts received; the stream continues after them.
        received: u64,
    },
    /// Report the outcome to the caller.
    End(RequestOutcome),
}

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete response was delivered.
    Answered,
    /// No attempt ran.
    Refused(RequestRefusal),
    /// An attempt may have run and there is no complete response.
    Failed(RequestFailure),
}

/// State machine of one request with all its attempts.
#[derive(Debug, Clone)]
pub struct Request {
    state: RequestState,
    model: String,
    is_idempotent: bool,
    is_streamed: bool,
    /// Parts of the current attempt that were delivered.
    received: u64,
    /// Attempts that may have run or that are open.
    attempts: u32,
    resumes: u32,
    /// Failure of the last attempt that may have run.
    failure: Option<RequestFailure>,
    /// Last refusal.
    refusal: RequestRefusal,
}

/// Returns the state chart of requests.
pub fn request_chart() -> &'static Chart<RequestState, RequestEventKind> {
    static CHART: LazyLock<Chart<RequestState, RequestEventKind>> = LazyLock::new(|| {
        Chart::parse(include_str!("../../../charts/request.toml"))
            .expect("charts/request.toml is a valid chart")
    });
    &CHART
}

impl Request {
    /// Creates the machine of a request for this model name.
    ///
    /// With `is_streamed`, the caller receives the parts of the response as they arrive, so no
    /// retry is possible after the first part. Otherwise it receives nothing before the end.
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
                retry_after: DEFAULT_RETRY_AFTER,
            },
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> RequestState {
        self.state
    }

    /// Returns the last refusal, with which the request ends if no candidate is left.
    pub fn refusal(&self) -> RequestRefusal {
        self.refusal
    }

    /// Handles an event and returns the next action.
    ///
    /// # Errors
    /// Returns an error and changes no state if the chart does not define the event in this state.
    pub fn handle(
        &mut self,
        event: RequestEvent,
        budget: &mut RetryBudget,
    ) -> Result<RequestCommand> {
        let (kind, failure) = self.classify(&event);
        let kind = match (kind, failure) {
            (RequestEventKind::Retry, Some((cause, _))) if !self.may_retry(cause, budget) => {
                RequestEventKind::GiveUp
            }
            (kind, _) => kind,
        };
        let previous = self.state;
        self.state = request_chart().step(previous, kind)?;
        if let Some((_, failed)) = failure {
            self.failure = Some(failed);
        }
        Ok(self.apply(previous, kind, event))
    }

    /// Returns the chart event for an event in this state, and the failure that it reports.
    fn classify(
        &self,
        event: &RequestEvent,
    ) -> (RequestEventKind, Option<(RetryCause, RequestFailure)>) {
        use RequestEventKind as Kind;
        let lost = (RetryCause::LostLink, RequestFailure::UnknownOutcome);
        match event {
            RequestEvent::Submitted => (Kind::Submitted, None),
            RequestEvent::Dispatched => (Kind::Dispatched, None),
            RequestEvent::Refused(_) if self.received > 0 => self.classify_interruption(lost),
            RequestEvent::Refused(_) => (Kind::Refused, None),
            RequestEvent::Lost => self.classify_interruption(lost),
            RequestEvent::Failed(RequestFailure::UnknownOutcome) => self
                .classify_interruption((RetryCause::LostUpstream, RequestFailure::UnknownOutcome)),
            RequestEvent::Failed(failed) => (Kind::Retry, Some((retry_cause(*failed), *failed))),
            RequestEvent::Crashed { may_retry } => {
                let kind = if *may_retry { Kind::Retry } else { Kind::GiveUp };
                (kind, Some((RetryCause::UpstreamCrashed, RequestFailure::UpstreamCrashed)))
            }
            RequestEvent::Token { model, .. } if *model != self.model => {
                (Kind::Retry, Some((RetryCause::WrongAdapter, RequestFailure::WrongAdapter)))
            }
            RequestEvent::Token { offset, .. } if *offset > self.received => {
                self.classify_interruption(lost)
            }
            RequestEvent::Token { .. } => (Kind::Token, None),
            RequestEvent::Final { tokens: Some(tokens) } if *tokens != self.received => {
                self.classify_interruption(lost)
            }
            RequestEvent::Final { .. } => (Kind::Final, None),
            RequestEvent::Resumed => (Kind::Resumed, None),
            RequestEvent::Exhausted => (Kind::Exhausted, None),
            RequestEvent::Expired => (Kind::Expired, None),
        }
    }

    /// Classifies a lost connection: a stream is resumed, any other attempt is retried.
    fn classify_interruption(
        &self,
        failure: (RetryCause, RequestFailure),
    ) -> (RequestEventKind, Option<(RetryCause, RequestFailure)>) {
        let is_resumable = self.state == RequestState::Streaming && self.resumes < MAX_RESUMES;
        let kind = if is_resumable { RequestEventKind::Broken } else { RequestEventKind::Retry };
        (kind, Some(failure))
    }

    /// Returns whether the request allows a retry after an attempt that may have run.
    ///
    /// The retry budget may still deny it.
    pub fn allows_retry(&self) -> bool {
        let caller_received_nothing = self.received == 0 || !self.is_streamed;
        self.is_idempotent && caller_received_nothing && self.attempts < MAX_ATTEMPTS
    }

    /// Returns whether a retry is allowed; if so, spends it from the budget.
    fn may_retry(&self, cause: RetryCause, budget: &mut RetryBudget) -> bool {
        self.allows_retry() && budget.try_spend(cause)
    }

    /// Updates the counters for a chart event and returns the next action.
    fn apply(
        &mut self,
        previous: RequestState,
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
                if previous != RequestState::Choosing {
                    self.attempts -= 1;
                }
                if let RequestEvent::Refused(refusal) = event {
                    self.refusal = refusal;
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
                self.end_without_response(self.refusal, previous)
            }
            RequestEventKind::Expired => {
                let reason = RequestRefusalReason::Deadline;
                self.end_without_response(
                    RequestRefusal { reason, retry_after: DEFAULT_RETRY_AFTER },
                    previous,
                )
            }
        }
    }

    /// Delivers the next part; a repeated part, which may follow a resume, is ignored.
    fn deliver(&mut self, event: RequestEvent) -> RequestCommand {
        match event {
            RequestEvent::Token { offset, text, .. } if offset == self.received => {
                self.received += 1;
                RequestCommand::Deliver(text)
            }
            _ => RequestCommand::Wait,
        }
    }

    /// Ends the request; it ends as refused only if no attempt may have run.
    fn end_without_response(
        &self,
        refusal: RequestRefusal,
        previous: RequestState,
    ) -> RequestCommand {
        let is_attempt_open = previous != RequestState::Choosing;
        RequestCommand::End(match self.failure {
            Some(failed) => RequestOutcome::Failed(failed),
            None if is_attempt_open => RequestOutcome::Failed(RequestFailure::UnknownOutcome),
            None => RequestOutcome::Refused(refusal),
        })
    }
}

fn retry_cause(failed: RequestFailure) -> RetryCause {
    match failed {
        RequestFailure::UpstreamFailed => RetryCause::UpstreamFailed,
        RequestFailure::WrongAdapter => RetryCause::WrongAdapter,
        RequestFailure::UnknownOutcome => RetryCause::LostUpstream,
        RequestFailure::UpstreamCrashed => RetryCause::UpstreamCrashed,
    }
}

//! Runs one request through its attempts and yields the parts of its response.

use crate::{
    Gateway,
    problem::{Problem, Result},
    quarantine::CrashReport,
    resumed_stream::ResumedStream,
};
use rail_peer::{PeerReply, ReplyStream};
use rail_request::{
    Fingerprint, Request, RequestCommand, RequestEvent, RequestFailure, RequestOutcome,
    RequestRefusal, RequestRefusalReason, RequestState, TrialId, WorkEvent, WorkOrder,
};
use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Number of passes over the candidate engines after which a request is refused.
///
/// With [`CANDIDATE_PASS_INTERVAL`] they last longer than one transfer of ownership.
const MAX_CANDIDATE_PASSES: u32 = 60;
/// Delay between two passes over the candidate engines.
const CANDIDATE_PASS_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the deadline during which the owner's refusal is awaited.
const OWNER_REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time between two parts of a response; a longer gap interrupts the stream.
const PART_TIMEOUT: Duration = Duration::from_secs(30);

/// Source of the events of the current attempt.
#[derive(Debug)]
enum EventSource {
    /// None: no attempt is open, or the connection was lost.
    None,
    /// The owner of the engine.
    Owner(ReplyStream),
    /// The engine itself, after the connection to the owner was lost.
    Engine(ResumedStream),
}

/// Part of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// Text that follows the previous part.
    Token(String),
    /// The response starts again; the receiver must discard the parts before.
    Restart,
    /// The response is complete.
    Final,
}

/// Response of one request, as a stream of parts over all its attempts.
#[derive(Debug)]
pub struct CompletionStream {
    gateway: Gateway,
    request: Request,
    order: WorkOrder,
    fingerprint: Fingerprint,
    /// ID with which this call may acquire the trial of a suspect request.
    trial_id: TrialId,
    started_at: Instant,
    timeout: Duration,
    source: EventSource,
    /// Engines of the current pass that were not tried yet, with their owners.
    candidates: VecDeque<(String, SocketAddr)>,
    /// Engines of attempts that may have run; retries prefer others.
    avoided_engines: Vec<String>,
    /// Passes over the candidate engines since the last attempt that may have run.
    passes: u32,
    next_command: RequestCommand,
    /// Whether the success was recorded in the retry budget and in quarantine.
    is_success_recorded: bool,
}

impl CompletionStream {
    /// Creates the stream of an order; nothing is sent before the first call of
    /// [`CompletionStream::next`].
    pub fn new(gateway: Gateway, order: WorkOrder, trial_id: TrialId, is_streamed: bool) -> Self {
        Self {
            request: Request::new(&order.model, order.idempotent, is_streamed),
            fingerprint: Fingerprint::of([order.model.as_bytes(), order.prompt.as_bytes()]),
            gateway,
            trial_id,
            started_at: Instant::now(),
            timeout: order.deadline,
            order,
            source: EventSource::None,
            candidates: VecDeque::new(),
            avoided_engines: Vec::new(),
            passes: 0,
            next_command: RequestCommand::Choose,
            is_success_recorded: false,
        }
    }

    /// Waits for the next part; parts come in order and without gaps.
    ///
    /// # Errors
    /// Returns the problem if the response can't be completed.
    pub async fn next(&mut self) -> Result<Part> {
        loop {
            let event = match std::mem::replace(&mut self.next_command, RequestCommand::Wait) {
                RequestCommand::Choose => self.submit_to_next_candidate().await,
                RequestCommand::Restart => {
                    self.prepare_retry();
                    return Ok(Part::Restart);
                }
                RequestCommand::Wait => self.receive().await,
                RequestCommand::Resume { received } => self.resume(received).await,
                RequestCommand::Deliver(text) => return Ok(Part::Token(text)),
                RequestCommand::End(outcome) => return self.finish(outcome).await,
            };
            self.apply(event);
        }
    }

    /// Runs the request up to its first part, which [`CompletionStream::next`] then returns.
    ///
    /// # Errors
    /// Returns the problem if the request ends without a part.
    pub async fn open(mut self) -> Result<Self> {
        loop {
            match self.next().await? {
                Part::Restart => {}
                Part::Token(text) => self.next_command = RequestCommand::Deliver(text),
                Part::Final => self.next_command = RequestCommand::End(RequestOutcome::Answered),
            }
            if self.next_command != RequestCommand::Choose {
                return Ok(self);
            }
        }
    }

    fn apply(&mut self, event: RequestEvent) {
        let mut budget = self.gateway.retry_budget.borrow_mut();
        self.next_command = self.request.handle(event, &mut budget).unwrap_or_else(|error| {
            log::error!("request {:032x}: {error}", self.order.request_id);
            self.gateway.metrics.retries.count("undefined_event");
            RequestCommand::End(RequestOutcome::Failed(RequestFailure::UnknownOutcome))
        });
    }

    /// Prepares a retry, which has a new request ID and avoids the engine of the last attempt.
    fn prepare_retry(&mut self) {
        self.source = EventSource::None;
        self.avoided_engines.push(std::mem::take(&mut self.order.engine));
        self.candidates.clear();
        self.passes = 0;
        self.order.request_id = rand::random();
        self.next_command = RequestCommand::Choose;
    }

    /// Submits the order to the owner of the next candidate engine.
    async fn submit_to_next_candidate(&mut self) -> RequestEvent {
        self.source = EventSource::None;
        loop {
            let Some(time_left) = self.timeout.checked_sub(self.started_at.elapsed()) else {
                return RequestEvent::Expired;
            };
            let Some((engine, owner)) = self.candidates.pop_front() else {
                let is_first_pass = self.passes == 0;
                if self.passes >= MAX_CANDIDATE_PASSES
                    || !is_first_pass && !is_ownership_transfer(self.request.refusal())
                {
                    return RequestEvent::Exhausted;
                }
                self.passes += 1;
                if !is_first_pass {
                    actix_rt::time::sleep(CANDIDATE_PASS_INTERVAL).await;
                }
                self.candidates =
                    self.gateway.candidates(&self.order, &self.avoided_engines).into();
                continue;
            };
            self.order.engine = engine;
            self.order.deadline = time_left;
            return match self.gateway.submit_to_owner(&self.order, owner).await {
                Ok(replies) => {
                    self.source = EventSource::Owner(replies);
                    RequestEvent::Submitted
                }
                Err(rail_peer::Error::Connect) => {
                    self.count_refusal(RequestRefusalReason::Unreachable)
                }
                // The owner may have received the order. Since there is no event source, the next
                // event is `RequestEvent::Lost`.
                Err(_) => RequestEvent::Submitted,
            };
        }
    }

    /// Counts a refusal by this process and returns its event.
    fn count_refusal(&self, reason: RequestRefusalReason) -> RequestEvent {
        self.gateway.metrics.retries.count(&reason.to_string());
        RequestEvent::Refused(RequestRefusal {
            reason,
            retry_after: crate::route::NO_OWNER_RETRY_AFTER,
        })
    }

    /// Waits for the next event of the current attempt.
    async fn receive(&mut self) -> RequestEvent {
        let is_streaming = self.request.state() == RequestState::Streaming;
        let wait_timeout = if is_streaming {
            PART_TIMEOUT
        } else {
            (self.timeout + OWNER_REFUSAL_TIMEOUT).saturating_sub(self.started_at.elapsed())
        };
        let next_event = async {
            match &mut self.source {
                EventSource::None => Some(RequestEvent::Lost),
                EventSource::Engine(stream) => Some(stream.next().await),
                EventSource::Owner(replies) => match replies.next().await {
                    Ok(Some(PeerReply::Work(event))) => {
                        if let WorkEvent::Dispatched { replicas } = event {
                            self.gateway.record_replica_count(&self.order.model, replicas);
                        }
                        to_request_event(event)
                    }
                    _ => Some(RequestEvent::Lost),
                },
            }
        };
        match tokio::time::timeout(wait_timeout, next_event).await {
            Ok(Some(event)) => {
                self.count_event(&event);
                event
            }
            Ok(None) => self.handle_crash().await,
            Err(_elapsed) if is_streaming => RequestEvent::Lost,
            Err(_elapsed) => RequestEvent::Expired,
        }
    }

    fn count_event(&self, event: &RequestEvent) {
        let metrics = &self.gateway.metrics;
        match event {
            RequestEvent::Refused(refusal) => metrics.retries.count(&refusal.reason.to_string()),
            RequestEvent::Lost => metrics.retries.count("lost_link"),
            RequestEvent::Failed(failed) => metrics.retries.count(&failed.to_string()),
            _ => {}
        }
    }

    /// Records the crash of the upstream; the returned event reports whether a retry, which runs
    /// alone on its engine, is allowed.
    async fn handle_crash(&mut self) -> RequestEvent {
        let is_retry_allowed = self.request.allows_retry();
        let report = CrashReport {
            fingerprint: self.fingerprint,
            upstream: self.order.engine.clone(),
            trial_id: self.trial_id,
            attempt: self.order.request_id as u64,
            is_retry_allowed,
        };
        let may_retry = self.gateway.quarantine.record_crash(&report).await;
        self.order.isolated = true;
        RequestEvent::Crashed { may_retry }
    }

    async fn resume(&mut self, received: u64) -> RequestEvent {
        self.source = EventSource::None;
        let Some(stream) = self.gateway.resume_stream(&self.order, received).await else {
            self.gateway.metrics.streams.count("not_resumed");
            return RequestEvent::Failed(RequestFailure::UnknownOutcome);
        };
        self.gateway.metrics.streams.count("resumed");
        self.source = EventSource::Engine(stream);
        RequestEvent::Resumed
    }

    async fn finish(&mut self, outcome: RequestOutcome) -> Result<Part> {
        if let EventSource::Engine(stream) = &mut self.source {
            stream.mark_finished();
        }
        self.source = EventSource::None;
        self.next_command = RequestCommand::End(outcome);
        match outcome {
            RequestOutcome::Answered if self.is_success_recorded => Ok(Part::Final),
            RequestOutcome::Answered => {
                self.is_success_recorded = true;
                self.gateway.retry_budget.borrow_mut().record_response();
                if self.order.isolated {
                    self.gateway.quarantine.clear(self.fingerprint, self.trial_id).await;
                }
                Ok(Part::Final)
            }
            RequestOutcome::Refused(refusal) => Err(refusal.into()),
            RequestOutcome::Failed(failed) => Err(Problem::Failed(failed)),
        }
    }
}

/// Converts an event of the owner; returns `None` for a crash, which is recorded first.
fn to_request_event(event: WorkEvent) -> Option<RequestEvent> {
    Some(match event {
        WorkEvent::Dispatched { .. } => RequestEvent::Dispatched,
        WorkEvent::Token { offset, model, text } => RequestEvent::Token { offset, model, text },
        WorkEvent::Final { tokens } => RequestEvent::Final { tokens: Some(tokens) },
        WorkEvent::NotRun(refusal) => RequestEvent::Refused(refusal),
        WorkEvent::Failed(RequestFailure::UpstreamCrashed) => return None,
        WorkEvent::Failed(failed) => RequestEvent::Failed(failed),
    })
}

/// Returns whether a refusal may be due to a transfer of ownership, which takes a short time.
fn is_ownership_transfer(refusal: RequestRefusal) -> bool {
    matches!(
        refusal.reason,
        RequestRefusalReason::NoOwner
            | RequestRefusalReason::NotOwner
            | RequestRefusalReason::Leaving
            | RequestRefusalReason::Unreachable
            | RequestRefusalReason::StaleConfiguration
    )
}

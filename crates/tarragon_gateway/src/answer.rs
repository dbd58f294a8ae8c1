//! Follows one request through its attempts to its outcome.

use crate::{
    Gateway,
    problem::{Problem, Result},
    quarantine::Crash,
    resume::Reader,
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

/// Passes over the candidates before a request is given up; they outlast one transfer of ownership.
const MAX_PASSES: u32 = 60;
/// Pause between passes.
const PASS_PAUSE: Duration = Duration::from_millis(100);
/// Time after the deadline in which the owner's own refusal is awaited.
const DEADLINE_GRACE: Duration = Duration::from_secs(1);
/// Longest time between two parts of an answer.
const STALL_LIMIT: Duration = Duration::from_secs(30);

/// Where the events of the current attempt come from.
#[derive(Debug)]
enum Source {
    /// No attempt is open.
    None,
    /// The owner of the engine.
    Owner(ReplyStream),
    /// The engine itself, after the link to the owner was lost.
    Engine(Reader),
}

/// Next part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// Text of the answer.
    Token(String),
    /// The answer begins anew; what was gathered is void.
    Restart,
    /// The answer is complete.
    Final,
}

/// Answer in progress.
#[derive(Debug)]
pub struct Answer {
    gateway: Gateway,
    request: Request,
    order: WorkOrder,
    fingerprint: Fingerprint,
    trial: TrialId,
    started: Instant,
    deadline: Duration,
    source: Source,
    candidates: VecDeque<(String, SocketAddr)>,
    avoided: Vec<String>,
    passes: u32,
    pending: RequestCommand,
    is_settled: bool,
}

impl Answer {
    /// Prepares the answer to an order.
    pub fn new(gateway: Gateway, order: WorkOrder, trial: TrialId, is_streamed: bool) -> Self {
        Self {
            request: Request::new(&order.model, order.idempotent, is_streamed),
            fingerprint: Fingerprint::of([order.model.as_bytes(), order.prompt.as_bytes()]),
            gateway,
            trial,
            started: Instant::now(),
            deadline: order.deadline,
            order,
            source: Source::None,
            candidates: VecDeque::new(),
            avoided: Vec::new(),
            passes: 0,
            pending: RequestCommand::Choose,
            is_settled: false,
        }
    }

    /// Waits for the next part, in order and without gaps.
    ///
    /// # Errors
    /// Ends with the problem when the answer can't be completed.
    pub async fn next(&mut self) -> Result<Part> {
        loop {
            let event = match std::mem::replace(&mut self.pending, RequestCommand::Wait) {
                RequestCommand::Choose => self.choose().await,
                RequestCommand::Restart => {
                    self.restart();
                    return Ok(Part::Restart);
                }
                RequestCommand::Wait => self.receive().await,
                RequestCommand::Resume { received } => self.resume(received).await,
                RequestCommand::Deliver(text) => return Ok(Part::Token(text)),
                RequestCommand::End(ending) => return self.end(ending).await,
            };
            self.step(event);
        }
    }

    /// Follows the request up to its first part, which is given again by [`Answer::next`].
    ///
    /// # Errors
    /// Ends with the problem when there will be no part.
    pub async fn open(mut self) -> Result<Self> {
        loop {
            match self.next().await? {
                Part::Restart => {}
                Part::Token(text) => self.pending = RequestCommand::Deliver(text),
                Part::Final => self.pending = RequestCommand::End(RequestOutcome::Answered),
            }
            if self.pending != RequestCommand::Choose {
                return Ok(self);
            }
        }
    }

    fn step(&mut self, event: RequestEvent) {
        let mut budget = self.gateway.budget.borrow_mut();
        self.pending = self.request.handle(event, &mut budget).unwrap_or_else(|error| {
            log::error!("{error}");
            self.gateway.metrics.retries.count("undefined_event");
            RequestCommand::End(RequestOutcome::Failed(RequestFailure::UnknownOutcome))
        });
    }

    /// Leaves the engine of the last attempt to others and makes the next attempt a new one.
    fn restart(&mut self) {
        self.source = Source::None;
        self.avoided.push(std::mem::take(&mut self.order.engine));
        self.candidates.clear();
        self.passes = 0;
        self.order.request_id = rand::random();
        self.pending = RequestCommand::Choose;
    }

    /// Submits the order to the owner of the next candidate.
    async fn choose(&mut self) -> RequestEvent {
        self.source = Source::None;
        loop {
            let Some(left) = self.deadline.checked_sub(self.started.elapsed()) else {
                return RequestEvent::Expired;
            };
            let Some((engine, owner)) = self.candidates.pop_front() else {
                let is_first = self.passes == 0;
                if self.passes >= MAX_PASSES || !is_first && !is_transfer(self.request.refusal()) {
                    return RequestEvent::Exhausted;
                }
                self.passes += 1;
                if !is_first {
                    actix_rt::time::sleep(PASS_PAUSE).await;
                }
                self.candidates = self.gateway.candidates(&self.order, &self.avoided).into();
                continue;
            };
            self.order.engine = engine;
            self.order.deadline = left;
            return match self.gateway.call_owner(&self.order, owner).await {
                Ok(replies) => {
                    self.source = Source::Owner(replies);
                    RequestEvent::Submitted
                }
                Err(rail_peer::Error::Connect) => self.refused(RequestRefusalReason::Unreachable),
                // The order may have arrived; without a source the next event is a lost link.
                Err(_) => RequestEvent::Submitted,
            };
        }
    }

    fn refused(&self, reason: RequestRefusalReason) -> RequestEvent {
        self.gateway.metrics.retries.count(&reason.to_string());
        RequestEvent::Refused(RequestRefusal { reason, retry_after: crate::route::NO_OWNER_RETRY })
    }

    /// Waits for the next event of the current attempt.
    async fn receive(&mut self) -> RequestEvent {
        let is_streaming = self.request.state() == RequestState::Streaming;
        let limit = if is_streaming {
            STALL_LIMIT
        } else {
            (self.deadline + DEADLINE_GRACE).saturating_sub(self.started.elapsed())
        };
        let next = async {
            match &mut self.source {
                Source::None => Some(RequestEvent::Lost),
                Source::Engine(reader) => Some(reader.next().await),
                Source::Owner(replies) => match replies.next().await {
                    Ok(Some(PeerReply::Work(event))) => {
                        if let WorkEvent::Dispatched { width } = event {
                            self.gateway.note_width(&self.order.model, width);
                        }
                        from_owner(event)
                    }
                    _ => Some(RequestEvent::Lost),
                },
            }
        };
        match tokio::time::timeout(limit, next).await {
            Ok(Some(event)) => {
                self.count(&event);
                event
            }
            Ok(None) => self.crashed().await,
            Err(_elapsed) if is_streaming => RequestEvent::Lost,
            Err(_elapsed) => RequestEvent::Expired,
        }
    }

    fn count(&self, event: &RequestEvent) {
        let metrics = &self.gateway.metrics;
        match event {
            RequestEvent::Refused(not_run) => metrics.retries.count(&not_run.reason.to_string()),
            RequestEvent::Lost => metrics.retries.count("lost_link"),
            RequestEvent::Failed(failed) => metrics.retries.count(&failed.to_string()),
            _ => {}
        }
    }

    /// Records that the upstream crashed and asks whether the request may be tried alone.
    async fn crashed(&mut self) -> RequestEvent {
        let wants_trial = self.request.allows_retry();
        let crash = Crash {
            fingerprint: self.fingerprint,
            upstream: self.order.engine.clone(),
            trial: self.trial,
            attempt: self.order.request_id as u64,
            wants_trial,
        };
        let may_retry = self.gateway.quarantine.report(&crash).await;
        self.order.isolated = true;
        RequestEvent::Crashed { may_retry }
    }

    async fn resume(&mut self, received: u64) -> RequestEvent {
        self.source = Source::None;
        let Some(reader) = self.gateway.read_on(&self.order, received).await else {
            self.gateway.metrics.streams.count("not_resumed");
            return RequestEvent::Failed(RequestFailure::UnknownOutcome);
        };
        self.gateway.metrics.streams.count("resumed");
        self.source = Source::Engine(reader);
        RequestEvent::Resumed
    }

    async fn end(&mut self, ending: RequestOutcome) -> Result<Part> {
        if let Source::Engine(reader) = &mut self.source {
            reader.finish();
        }
        self.source = Source::None;
        self.pending = RequestCommand::End(ending);
        match ending {
            RequestOutcome::Answered if self.is_settled => Ok(Part::Final),
            RequestOutcome::Answered => {
                self.is_settled = true;
                self.gateway.budget.borrow_mut().record_response();
                if self.order.isolated {
                    self.gateway.quarantine.clear(self.fingerprint, self.trial).await;
                }
                Ok(Part::Final)
            }
            RequestOutcome::Refused(not_run) => Err(not_run.into()),
            RequestOutcome::Failed(failed) => Err(Problem::Failed(failed)),
        }
    }
}

/// Translates an event of the owner; none for a crash, which is judged first.
fn from_owner(event: WorkEvent) -> Option<RequestEvent> {
    Some(match event {
        WorkEvent::Dispatched { .. } => RequestEvent::Dispatched,
        WorkEvent::Token { offset, model, text } => RequestEvent::Token { offset, model, text },
        WorkEvent::Final { tokens } => RequestEvent::Final { tokens: Some(tokens) },
        WorkEvent::NotRun(not_run) => RequestEvent::Refused(not_run),
        WorkEvent::Failed(RequestFailure::UpstreamCrashed) => return None,
        WorkEvent::Failed(failed) => RequestEvent::Failed(failed),
    })
}

/// Reports whether a refusal comes from a transfer of ownership, which soon ends.
fn is_transfer(refusal: RequestRefusal) -> bool {
    matches!(
        refusal.reason,
        RequestRefusalReason::NoOwner
            | RequestRefusalReason::NotOwner
            | RequestRefusalReason::Leaving
            | RequestRefusalReason::Unreachable
            | RequestRefusalReason::StaleConfiguration
    )
}

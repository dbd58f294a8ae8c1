//! Runs one dispatched request and forwards its events.

use super::{Events, LOAD_RETRY_AFTER};
use crate::metrics::SchedulerMetrics;
use futures_util::StreamExt;
use rail_place::ReplicaCount;
use rail_request::{RequestFailure, RequestRefusal, RequestRefusalReason, WorkEvent, WorkOrder};
use rail_upstream::{Completion, EngineClient, StreamPart};

/// Priority of deferrable requests in the engine's queue; urgent requests have 0 and run first.
const DEFERRABLE_PRIORITY: i32 = 10;

/// One dispatched request.
pub(super) struct RequestRun {
    pub(super) client: EngineClient,
    pub(super) fence: u64,
    pub(super) order: WorkOrder,
    pub(super) events: Events,
    pub(super) metrics: SchedulerMetrics,
    pub(super) boot_id: Option<u64>,
    pub(super) replicas: ReplicaCount,
}

impl RequestRun {
    /// Runs the request to its end and sends the final event.
    pub(super) async fn complete(self) {
        let last = self.stream().await;
        match &last {
            WorkEvent::Final { .. } => {
                self.metrics.answers.inc();
            }
            WorkEvent::NotRun(refusal) => self.metrics.refusals.count(&refusal.reason.to_string()),
            WorkEvent::Failed(failure) => self.metrics.failures.count(&failure.to_string()),
            WorkEvent::Dispatched { .. } | WorkEvent::Token { .. } => {}
        }
        if self.events.send(last).await.is_err() {
            self.cancel().await;
        }
    }

    /// Forwards the tokens of the completion; returns the final event of the request.
    async fn stream(&self) -> WorkEvent {
        let completion = Completion {
            model: self.order.model.clone(),
            prompt: self.order.prompt.clone(),
            max_tokens: self.order.max_tokens,
            stream: true,
            priority: if self.order.urgent { 0 } else { DEFERRABLE_PRIORITY },
            // The gateway encodes the parameters; an order without any yields an empty map.
            sampling: serde_json::from_str(&self.order.sampling_json).unwrap_or_default(),
        };
        if self.events.send(WorkEvent::Dispatched { replicas: self.replicas }).await.is_err() {
            return WorkEvent::Failed(RequestFailure::UnknownOutcome);
        }
        let started = self.client.complete(&completion, self.order.request_id, self.fence).await;
        let mut parts = match started {
            Ok(parts) => parts,
            Err(error) if error.cannot_have_run() => {
                let reason = RequestRefusalReason::RefusedByUpstream;
                return WorkEvent::NotRun(RequestRefusal { reason, retry_after: LOAD_RETRY_AFTER });
            }
            Err(rail_upstream::Error::Failed(_)) => {
                return WorkEvent::Failed(RequestFailure::UpstreamFailed);
            }
            Err(_) => return WorkEvent::Failed(self.classify_loss().await),
        };
        let mut next_offset = 0;
        while let Some(part) = parts.next().await {
            match part {
                Ok(StreamPart::Token { offset, model, text }) if offset == next_offset => {
                    if model != self.order.model {
                        self.cancel().await;
                        return WorkEvent::Failed(RequestFailure::WrongAdapter);
                    }
                    next_offset += 1;
                    let token = WorkEvent::Token { offset, model, text };
                    if self.events.send(token).await.is_err() {
                        self.cancel().await;
                        return WorkEvent::Failed(RequestFailure::UnknownOutcome);
                    }
                }
                Ok(StreamPart::End) => return WorkEvent::Final { tokens: next_offset },
                Ok(StreamPart::Token { .. }) | Err(_) => break,
            }
        }
        WorkEvent::Failed(self.classify_loss().await)
    }

    /// Distinguishes a lost connection from a crash: after a crash the engine does not respond or
    /// has a new boot identifier.
    async fn classify_loss(&self) -> RequestFailure {
        match self.client.load_report().await {
            Ok(report) if Some(report.boot_id) == self.boot_id => RequestFailure::UnknownOutcome,
            _ => RequestFailure::UpstreamCrashed,
        }
    }

    async fn cancel(&self) {
        if let Err(error) = self.client.cancel(self.order.request_id).await {
            log::debug!("cannot cancel a request at the engine: {error}");
        }
    }
}

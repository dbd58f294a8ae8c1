//! Streams an engine's response to the caller as it arrives.

use crate::{
    attempt,
    engine_grants::Grant,
    engine_requests::{self, StartedResponse},
    node::SharedNode,
    quarantine::{self, Admission},
    reply,
    request::{CallerRequest, InFlight, RequestEnd, kind_name, record_request_end},
};
use actix_http::{
    Response,
    body::{BodyStream, BoxBody},
};
use bytes::Bytes;
use futures_util::stream;
use http::header::CONTENT_LENGTH;
use rail_route::{AttemptOutcome, RouteKind, Upstream};
use rail_upstream::{EventSplitter, UpstreamResponse};
use std::{sync::Arc, time::Instant};

/// The response ended early. Closes the caller's connection, so that the caller notices.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("engine response ended before it was complete")]
struct ResponseTruncated;

/// State of one streamed response; logs the end of the request when dropped.
struct Relay {
    node: SharedNode,
    request: CallerRequest,
    upstream: Arc<Upstream>,
    upstream_response: Option<UpstreamResponse>,
    status: u16,
    /// Splits the response into events if another engine may resume it; `None` passes bytes
    /// through.
    event_splitter: Option<EventSplitter>,
    first_ms: Option<u64>,
    last_part_at: Option<Instant>,
    version: Option<u64>,
    /// Released when the response ends or another engine takes over.
    grant: Option<Grant>,
    /// Permission to run at the current engine.
    admission: Admission,
    _in_flight: InFlight,
}

impl Relay {
    fn record_end(&self, reason: &str, status: u16) {
        let first_ms = self.first_ms.unwrap_or_default();
        let end = RequestEnd { status, reason, upstream: &self.upstream.id, first_ms };
        record_request_end(&self.node, &self.request, end);
    }

    /// Records the time of a part of the response.
    fn record_part(&mut self) {
        let now = Instant::now();
        match self.last_part_at.replace(now) {
            None => {
                let first_ms = self.request.arrived_at.elapsed().as_millis();
                self.first_ms = Some(first_ms as u64);
            }
            Some(previous_part_at) => {
                let kind = kind_name(self.request.route.kind);
                self.node.metrics.part_gap_time.observe(kind, now.duration_since(previous_part_at));
            }
        }
    }

    /// Returns the next part of the body, or an error that closes the caller's connection.
    async fn next(mut self) -> Option<(Result<Bytes, ResponseTruncated>, Self)> {
        loop {
            let mut upstream_response = self.upstream_response.take()?;
            let deadline = tokio::time::Instant::from_std(self.request.deadline_at);
            let next = tokio::time::timeout_at(deadline, upstream_response.next()).await;
            self.request.record_body_end(&upstream_response);
            match next {
                Ok(Ok(Some(bytes))) => {
                    self.upstream_response = Some(upstream_response);
                    let part = match &mut self.event_splitter {
                        Some(event_splitter) => event_splitter.push(&bytes),
                        None => bytes,
                    };
                    if part.is_empty() {
                        continue;
                    }
                    self.record_part();
                    return Some((Ok(part), self));
                }
                Ok(Ok(None)) => {
                    if quarantine::is_proof_of_completion(&upstream_response.head) {
                        let admission = std::mem::take(&mut self.admission);
                        quarantine::record_completion(&self.node, &self.request, admission);
                    }
                    upstream_response.return_connection();
                    let remaining_bytes =
                        self.event_splitter.as_mut().map(EventSplitter::finish).unwrap_or_default();
                    let reason = if self.status < 300 { "answered" } else { "upstream_status" };
                    self.record_end(reason, self.status);
                    // `self.upstream_response` is empty now, so the next call ends the stream.
                    return (!remaining_bytes.is_empty()).then_some((Ok(remaining_bytes), self));
                }
                Ok(Err(_broken)) => {
                    let (node, request) = (&self.node, &self.request);
                    attempt::record_outcome(
                        node,
                        request,
                        &self.upstream,
                        AttemptOutcome::Failed,
                        "broken_off",
                    );
                    let admission = std::mem::take(&mut self.admission);
                    quarantine::record_loss(node, request, &self.upstream, admission).await;
                    if self.resume().await {
                        continue;
                    }
                    self.record_end("broken_off", 0);
                    return Some((Err(ResponseTruncated), self));
                }
                Err(_) => {
                    self.record_end("late_stream", 0);
                    return Some((Err(ResponseTruncated), self));
                }
            }
        }
    }

    /// Tries to resume the stream on another engine after the last event that was forwarded.
    async fn resume(&mut self) -> bool {
        let Some(event_splitter) = &mut self.event_splitter else { return false };
        let Ok(last_event) = event_splitter.resume() else { return false };
        let caller_event = self.request.parsed_headers.last_event_id.as_deref();
        let resume_after = last_event.or(caller_event).map(str::to_owned);
        let deadline = tokio::time::Instant::from_std(self.request.deadline_at);
        let resumed = engine_requests::resume(
            &self.node,
            &self.request,
            &self.upstream.id,
            self.version,
            resume_after.as_deref(),
        );
        let Ok(Some(resumed_response)) = tokio::time::timeout_at(deadline, resumed).await else {
            return false;
        };
        self.node.metrics.retries.count("resumed");
        let StartedResponse { upstream, grant, admission, upstream_response, .. } =
            resumed_response;
        self.upstream = upstream;
        self.grant = Some(grant);
        self.admission = admission;
        self.upstream_response = Some(*upstream_response);
        true
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.request.is_end_recorded.get() {
            self.record_end("caller_left", 0);
        }
    }
}

/// Builds the response to the caller, with a body that streams what the engine sends.
pub fn respond(
    node: SharedNode,
    request: CallerRequest,
    in_flight: InFlight,
    started_response: StartedResponse,
) -> Response<BoxBody> {
    let StartedResponse { upstream, grant, admission, version, upstream_response } =
        started_response;
    let mut response = reply::start_response(&upstream_response.head, node.is_stopping.get());
    let relay = Relay {
        event_splitter: can_resume(&request, &upstream_response).then(EventSplitter::default),
        node,
        request,
        upstream,
        status: upstream_response.head.status.as_u16(),
        upstream_response: Some(*upstream_response),
        first_ms: None,
        last_part_at: None,
        version,
        grant: Some(grant),
        admission,
        _in_flight: in_flight,
    };
    let body = BodyStream::new(stream::unfold(relay, Relay::next));
    response.body(BoxBody::new(body)).map_into_boxed_body()
}

/// Returns whether another engine may resume the response. With a `content-length` header it may
/// not, since a resumed response can have another length.
fn can_resume(request: &CallerRequest, upstream_response: &UpstreamResponse) -> bool {
    request.route.kind == RouteKind::Stream { resumable: true }
        && upstream_response.head.status.is_success()
        && !upstream_response.head.headers.contains_key(CONTENT_LENGTH)
}

//! Streams an engine's response to the caller as it arrives.

use crate::{
    attempt,
    engine_grants::Grant,
    engine_requests::{self, StartedResponse},
    lost_runs,
    node::SharedNode,
    old_versions,
    quarantine::{self, Admission},
    reply,
    request::{CallerRequest, InFlight, RequestEnd, kind_name, record_request_end},
    stream_origins,
    stream_times::{Lateness, StreamTimes},
    upstream_ends,
};
use actix_http::{
    Response,
    body::{BodyStream, BoxBody},
};
use bytes::Bytes;
use futures_util::stream;
use http::header::{CONTENT_TYPE, HeaderValue};
use rail_memory::{Holder, MemoryHold};
use rail_origin::SoftwarePin;
use rail_place::GrantOutcome;
use rail_route::{AttemptOutcome, RouteKind, Upstream};
use rail_upstream::{
    BodyContent, Completeness, EventSplitter, Framing, UpstreamResponse, max_stream_bytes,
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Time without a part of a stream from which its upstream counts as silent.
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// Size of buffered parts whose memory the request holds already.
const FREE_PART_BYTES: usize = 8 << 10;
/// Size to which the read buffer of an upstream's connection grows when parts are large.
const READ_BUFFER_BYTES: usize = 64 << 10;

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
    /// Splits a stream into events; `None` passes bytes through.
    event_splitter: Option<EventSplitter>,
    /// Whether another engine may resume the response.
    is_resumable: bool,
    /// Whether only the end of the caller's connection ends the answer.
    ends_with_connection: bool,
    /// Bytes received from upstreams.
    body_bytes: usize,
    /// Memory of large parts until the caller reads them.
    memory: MemoryHold,
    times: StreamTimes,
    version: Option<u64>,
    /// Released when the response ends or another engine takes over.
    grant: Option<Grant>,
    /// How the run under the grant has ended, as far as its answer shows.
    grant_outcome: GrantOutcome,
    /// Permission to run at the current engine.
    admission: Admission,
    in_flight: InFlight,
}

impl Relay {
    fn record_end(&self, reason: &str, status: u16) {
        let times = &self.times;
        let lateness = times.lateness(&self.request.route).map(Lateness::name);
        if let Some(cause) = lateness {
            self.node.metrics.late_streams.count(cause);
        }
        let end = RequestEnd {
            status,
            reason,
            upstream: &self.upstream.id,
            first_ms: times.first_part.unwrap_or_default().as_millis() as u64,
            longest_gap_ms: Some(times.longest_gap.as_millis() as u64),
            lateness,
        };
        record_request_end(&self.node, &self.request, end);
    }

    /// Releases the grant of the current engine and reports the times of its events.
    fn release_grant(&mut self) {
        let timing = self.times.take_engine_timing();
        if let Some(grant) = self.grant.take() {
            grant.release(self.grant_outcome, timing);
        }
    }

    /// Records the time of a part of the response.
    fn record_part(&mut self) {
        let now = Instant::now();
        if self.request.answering_since.get().is_none() {
            self.request.answering_since.set(Some(now));
            if self.event_splitter.is_some() {
                old_versions::record_start(&self.node, &self.request, &self.upstream);
            }
        }
        let (arrived_at, sent_at) = (self.request.arrived_at, self.request.sent_at.get());
        if let Some(gap) = self.times.record_part(arrived_at, sent_at) {
            self.node.metrics.part_gap_time.observe(kind_name(self.request.route.kind), gap);
        }
    }

    /// Records that a part of the body was passed on, after which only engines of the same software
    /// version may continue a stream.
    fn pin_software(&self) {
        let mut pin = self.request.pin.borrow_mut();
        if *pin == SoftwarePin::Any && self.event_splitter.is_some() {
            *pin = SoftwarePin::Only(self.upstream.software.clone());
            stream_origins::record_start(&self.node, &self.request, &self.upstream);
        }
    }

    /// Returns the next part of the body, or an error that closes the caller's connection.
    async fn next(mut self) -> Option<(Result<Bytes, ResponseTruncated>, Self)> {
        loop {
            let mut upstream_response = self.upstream_response.take()?;
            let deadline = tokio::time::Instant::from_std(self.request.deadline_at);
            let read = tokio::time::timeout_at(deadline, self.read_part(&mut upstream_response));
            let Ok(part) = read.await else {
                if self.times.silence().is_none_or(|silence| silence >= MIN_SILENCE) {
                    self.record_unproven_end("silent");
                }
                return Some((Err(self.truncate("late_stream")), self));
            };
            if let Some(part) = part {
                self.upstream_response = Some(upstream_response);
                if part.is_empty() {
                    continue;
                }
                self.record_part();
                self.pin_software();
                return Some((Ok(part), self));
            }
            let content =
                self.event_splitter.as_ref().map_or(BodyContent::Opaque, EventSplitter::content);
            match self.request.judge_body(&upstream_response, content) {
                Completeness::BrokenOff => {
                    drop(upstream_response);
                    if self.replace_broken().await {
                        continue;
                    }
                    return Some((Err(self.truncate("broken_off")), self));
                }
                // The answer to the caller began with a framing that would claim completeness.
                Completeness::Unproven if !self.ends_with_connection => {
                    return Some((Err(self.truncate("unproven_end")), self));
                }
                completeness @ (Completeness::Whole | Completeness::Unproven) => {
                    let remaining_bytes = self.finish(upstream_response, completeness);
                    // `self.upstream_response` is empty now, so the next call ends the stream.
                    return (!remaining_bytes.is_empty()).then_some((Ok(remaining_bytes), self));
                }
            }
        }
    }

    /// Reads the next part of the body, which is empty if no event is complete yet. Returns `None`
    /// at the end of the body. A body that exceeds a size limit ends after this part, since its
    /// events count as passed on.
    async fn read_part(&mut self, upstream_response: &mut UpstreamResponse) -> Option<Bytes> {
        let sent_at = self.request.sent_at.get();
        let bytes = tokio::select! {
            biased;
            bytes = upstream_response.next() => bytes.ok().flatten()?,
            // The body counts as broken off, since it has not ended.
            () = upstream_ends::wait_for_restart(&self.node, &self.upstream, sent_at) => return None,
        };
        self.body_bytes += bytes.len();
        let max_bytes = max_stream_bytes(self.request.parsed_headers.answer_tokens);
        let (part, is_event_too_large) = match &mut self.event_splitter {
            Some(splitter) => (splitter.push(&bytes), splitter.is_event_too_large()),
            None => (bytes, false),
        };
        if is_event_too_large || self.body_bytes > max_bytes || !self.hold_memory(part.len()) {
            upstream_response.reject_as_too_large();
        }
        Some(part)
    }

    /// Holds memory for a part and the event that is not complete, if they are large; returns whether
    /// there is enough.
    fn hold_memory(&mut self, part_bytes: usize) -> bool {
        let event_bytes = self.event_splitter.as_ref().map_or(0, EventSplitter::buffered_bytes);
        let buffered_bytes = part_bytes + event_bytes;
        let is_large = buffered_bytes > FREE_PART_BYTES;
        let held_bytes = if is_large { buffered_bytes + READ_BUFFER_BYTES } else { 0 };
        held_bytes == self.memory.bytes() || self.memory.try_resize(held_bytes).is_ok()
    }

    /// Records a whole response and returns the bytes after its last event.
    fn finish(&mut self, upstream_response: UpstreamResponse, completeness: Completeness) -> Bytes {
        if completeness == Completeness::Whole {
            self.grant_outcome = GrantOutcome::Ended;
        }
        let status = upstream_response.head.status;
        attempt::record_answer(&self.node, &self.upstream, status);
        if status.is_success() && completeness == Completeness::Whole {
            let admission = std::mem::take(&mut self.admission);
            quarantine::record_completion(&self.node, &self.request, admission);
        } else if completeness == Completeness::Unproven {
            self.record_unproven_end("unproven_end");
        }
        upstream_response.return_connection();
        self.request.connection_end.finish_answer();
        let reason = if self.status < 300 { "answered" } else { "upstream_status" };
        self.record_end(reason, self.status);
        self.event_splitter.as_mut().map(EventSplitter::finish).unwrap_or_default()
    }

    /// Records a response that broke off, and tries to resume it on another engine.
    async fn replace_broken(&mut self) -> bool {
        let (node, request) = (&self.node, &self.request);
        let outcome = AttemptOutcome::Failed;
        attempt::record_outcome(node, request, &self.upstream, outcome, "broken_off");
        let admission = std::mem::take(&mut self.admission);
        lost_runs::record_loss(node, request, &self.upstream, admission, "broken_off").await;
        self.resume().await
    }

    fn record_unproven_end(&self, sign: &'static str) {
        let (node, request) = (&self.node, &self.request);
        let trial = self.admission.trial_run();
        lost_runs::record_unproven_end(node, request, &self.upstream, trial, sign);
    }

    /// Records the end of an incomplete response.
    fn truncate(&self, reason: &str) -> ResponseTruncated {
        self.record_end(reason, 0);
        ResponseTruncated
    }

    /// Tries to resume the stream on another engine after the last event that was forwarded.
    async fn resume(&mut self) -> bool {
        if !self.is_resumable {
            return false;
        }
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
        self.request.answering_since.set(None);
        self.node.metrics.retries.count("resumed");
        let StartedResponse { upstream, grant, admission, upstream_response, .. } =
            resumed_response;
        self.upstream = upstream;
        self.release_grant();
        self.grant = Some(grant);
        self.admission = admission;
        self.upstream_response = Some(*upstream_response);
        true
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.request.is_end_recorded.get() {
            self.record_end(self.in_flight.lost_reason(), 0);
        }
        self.release_grant();
    }
}

/// Builds the response to the caller, with a body that streams what the engine sends.
pub fn respond(
    node: SharedNode,
    request: CallerRequest,
    in_flight: InFlight,
    started_response: StartedResponse,
) -> Response<BoxBody> {
    let StartedResponse { upstream, grant, admission, version, upstream_response, is_detour } =
        started_response;
    let mut response = reply::start_response(&upstream_response.head, node.is_stopping.get());
    let is_event_stream = is_event_stream(&request, &upstream_response);
    let ends_with_connection =
        request.is_http10 || upstream_response.framing() == Framing::UntilClose;
    let connection_end = request.connection_end.clone();
    let relay = Relay {
        // The other host passes whole events only, and resumes the stream itself.
        event_splitter: (is_event_stream && !is_detour).then(EventSplitter::default),
        is_resumable: request.is_resumable(),
        ends_with_connection,
        body_bytes: 0,
        memory: node.memory.start(Holder::Answer),
        node,
        request,
        upstream,
        status: upstream_response.head.status.as_u16(),
        upstream_response: Some(*upstream_response),
        times: StreamTimes::default(),
        version,
        grant: Some(grant),
        grant_outcome: GrantOutcome::Abandoned,
        admission,
        in_flight,
    };
    let body = BodyStream::new(stream::unfold(relay, Relay::next));
    if ends_with_connection {
        reply::end_with_connection(&mut response, &connection_end, body)
    } else {
        response.body(BoxBody::new(body)).map_into_boxed_body()
    }
}

/// Returns whether a response consists of events. A success on a route for streams does so unless
/// it states another type.
pub fn is_event_stream(request: &CallerRequest, upstream_response: &UpstreamResponse) -> bool {
    let head = &upstream_response.head;
    match head.headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes) {
        Some(content_type) => content_type.starts_with(b"text/event-stream"),
        None => head.status.is_success() && matches!(request.route.kind, RouteKind::Stream { .. }),
    }
}

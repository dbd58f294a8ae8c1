//! A caller's request while it is served, and how it ends.

use crate::{
    caller_connection::ConnectionEnd,
    connection_flow::{CloseCause, ConnectionFlow},
    events::Event,
    node::SharedNode,
    quarantine::Refusal,
    quotas::QuotaCharge,
    reply::{self, Failure},
};
use actix_http::{Response, body::BoxBody};
use bytes::Bytes;
use rail_limit::RequestRate;
use rail_member::RecordAges;
use rail_memory::MemoryHold;
use rail_origin::SoftwarePin;
use rail_place::AdapterVersion;
use rail_request::{Fingerprint, QuarantineKey};
use rail_route::{Route, RouteKind, SoftwareVersion, Upstream, UpstreamId};
use rail_site::{CallerHeaders, headers::WorkspaceHeader};
use rail_upstream::{BodyContent, BodyEnd, Completeness, Framing, UpstreamResponse};
use rail_workspace::Workspace;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

/// A caller's request with its route and deadline, as it is sent to upstreams.
#[derive(Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: http::Method,
    /// Path and query as the caller sent them.
    pub target: http::Uri,
    /// Headers as the caller sent them, with names in lower case.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body.
    pub body: Bytes,
    /// Hash of what the request asks for; equal for retries under other request ids.
    pub fingerprint: Fingerprint,
    /// What may be quarantined of the request: itself and the shared parts of its prompt.
    pub quarantine_keys: Vec<QuarantineKey>,
    /// Values of the headers that routing uses.
    pub parsed_headers: CallerHeaders,
    /// Route that matched host name and path.
    pub route: Arc<Route>,
    /// Version of the configuration that the route belongs to.
    pub config_version: u64,
    /// Service that was picked from the route.
    pub service: String,
    /// Workspace of the caller; `None` on public routes and where the configuration has none.
    pub workspace: Option<Arc<Workspace>>,
    /// Whether the configuration has workspaces, so that upstreams get neither keys nor names that
    /// the caller sent.
    pub has_workspaces: bool,
    /// Charge to the quota of its workspace; `None` before the first attempt, and if it has no limit.
    pub quota_charge: RefCell<Option<QuotaCharge>>,
    /// Time at which the request head arrived.
    pub arrived_at: Instant,
    /// Deadline: the earlier of the caller's own deadline and the route's timeout.
    pub deadline_at: Instant,
    /// Time at which the current run was sent to its upstream.
    pub sent_at: Cell<Instant>,
    /// Time at which the current run sent the first part of its answer.
    pub answering_since: Cell<Option<Instant>>,
    /// Adapter version that the upstream of the current run had to have; `None` if any could run it.
    pub sent_version: Cell<Option<AdapterVersion>>,
    /// Upstreams that stated that they did not run the request.
    pub refused_by: RefCell<Vec<UpstreamId>>,
    /// Number of attempts so far.
    pub attempts: Cell<u32>,
    /// Attempts that did not run, since they were refused or not sent.
    pub attempts_not_run: Cell<u32>,
    /// Milliseconds from arrival to the first attempt.
    pub queued_ms: Cell<u64>,
    /// Whether the end of the request was logged. If not, dropping the request logs that the caller
    /// left.
    pub is_end_recorded: Cell<bool>,
    /// Whether the caller's protocol version has no chunks, so that an answer without a stated
    /// length ends with the connection.
    pub is_http10: bool,
    /// How the caller's connection ends.
    pub connection_end: ConnectionEnd,
    /// Ages of the host's records when the request was last sent, or when it arrived.
    pub record_ages: Cell<RecordAges>,
    /// Limit that the last upstream named, with its age.
    pub limit: Cell<Option<(RequestRate, Duration)>>,
    /// Software version of the upstream that answered last; empty before an answer.
    pub software: RefCell<SoftwareVersion>,
    /// Software version at which the stream has to go on.
    pub pin: RefCell<SoftwarePin>,
    /// Source that knew the software version of the resumed stream.
    pub origin_source: Cell<Option<&'static str>>,
    /// Framing and end of the last response body that an upstream sent.
    pub last_body: Cell<Option<(Framing, BodyEnd)>>,
    /// State of the process, for the log line on drop.
    pub node: SharedNode,
}

impl Drop for CallerRequest {
    fn drop(&mut self) {
        if self.possible_runs() > 0 {
            self.quota_charge.borrow().iter().for_each(QuotaCharge::keep);
        }
        if !self.is_end_recorded.get() {
            let node = Rc::clone(&self.node);
            let end = RequestEnd::unstreamed(0, "caller_left", "", 0);
            record_request_end(&node, self, end);
        }
    }
}

impl CallerRequest {
    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline_at.saturating_duration_since(Instant::now())
    }

    /// Runs a future until the deadline, or until a stopping process ends its requests; `None` if it
    /// has not ended by then.
    pub async fn within_time<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let deadline = tokio::time::Instant::from_std(self.deadline_at);
        tokio::select! {
            biased;
            result = tokio::time::timeout_at(deadline, future) => result.ok(),
            () = self.node.ends_requests.notified() => None,
        }
    }

    /// Returns the priority, 0 for the highest: that of the workspace goes before the route's.
    pub fn priority(&self) -> u8 {
        let of_workspace = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        of_workspace.unwrap_or(self.route.priority)
    }

    /// Returns what the upstream is told of the workspace.
    pub fn workspace_header(&self) -> WorkspaceHeader<'_> {
        match &self.workspace {
            Some(workspace) => WorkspaceHeader::Named(&workspace.name),
            None if self.has_workspaces => WorkspaceHeader::Public,
            None => WorkspaceHeader::AsSent,
        }
    }

    /// Returns the model, with its adapter if any, as named by the caller; empty if not named.
    pub fn model(&self) -> &str {
        self.parsed_headers.model.as_deref().unwrap_or_default()
    }

    /// Returns for how long the current run has been answering.
    pub fn answering_time(&self) -> Option<Duration> {
        self.answering_since.get().map(|since| since.elapsed())
    }

    /// Returns whether the answer is a stream that the caller may resume.
    pub fn is_resumable(&self) -> bool {
        self.route.kind == RouteKind::Stream { resumable: true }
    }

    /// Returns whether the software of an upstream may answer this request: all events of a stream
    /// come from one version.
    pub fn may_run_on(&self, upstream: &Upstream) -> bool {
        self.pin.borrow().admits(&upstream.software)
    }

    /// Counts an attempt that did not run at its upstream.
    pub fn record_not_run(&self) {
        self.attempts_not_run.set(self.attempts_not_run.get() + 1);
    }

    /// Returns the number of attempts that may have run.
    pub fn possible_runs(&self) -> u32 {
        self.attempts.get() - self.attempts_not_run.get()
    }

    /// Decides whether the body of an upstream's response is complete, and records how it ended.
    pub fn judge_body(&self, response: &UpstreamResponse, content: BodyContent) -> Completeness {
        let completeness = response.completeness(content);
        if let Some(end) = response.end() {
            let framing = response.framing();
            self.last_body.set(Some((framing, end)));
            let label = format!("{}_{}_{}", framing.name(), end.name(), completeness.name());
            self.node.metrics.body_ends.count(&label);
        }
        completeness
    }

    /// Counts the request towards the retry budget of its service, unless the host that passes it on
    /// has done so.
    pub fn record_arrival(&self) {
        if !self.parsed_headers.is_detour {
            self.node.record_request(&self.service);
        }
    }

    /// Counts an attempt, and records how long the request waited for the first one.
    pub fn record_attempt(&self) {
        if self.attempts.get() == 0 {
            let queued = self.arrived_at.elapsed();
            self.queued_ms.set(queued.as_millis() as u64);
            self.node.metrics.queue_time.observe(kind_name(self.route.kind), queued);
        }
        self.attempts.set(self.attempts.get() + 1);
        self.record_ages.set(self.node.record_ages());
        self.sent_at.set(Instant::now());
    }

    /// Returns the time since the current run was sent.
    pub fn running_time(&self) -> Duration {
        self.sent_at.get().elapsed()
    }
}

/// Returns the label of a route kind in metrics.
pub fn kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "non_idempotent",
        RouteKind::Stream { resumable: true } => "resumable_stream",
        RouteKind::Stream { resumable: false } => "stream",
    }
}

/// How a request ended, as logged.
#[derive(Debug, Clone, Copy)]
pub struct RequestEnd<'a> {
    /// Status sent to the caller, 0 if none was sent.
    pub status: u16,
    /// Reason as it appears in logs and metrics.
    pub reason: &'a str,
    /// Upstream of the last attempt; empty if there was none.
    pub upstream: &'a str,
    /// Milliseconds from arrival to the first part of the response.
    pub first_ms: u64,
    /// Longest time between two parts of a stream, in milliseconds.
    pub longest_gap_ms: Option<u64>,
    /// Why the answer was late by the aims of its route, if it was.
    pub lateness: Option<&'static str>,
}

impl<'a> RequestEnd<'a> {
    /// Returns the end of a request whose response is no stream.
    pub fn unstreamed(status: u16, reason: &'a str, upstream: &'a str, first_ms: u64) -> Self {
        Self { status, reason, upstream, first_ms, longest_gap_ms: None, lateness: None }
    }
}

/// Counts and logs the end of a request.
pub fn record_request_end(node: &SharedNode, request: &CallerRequest, end: RequestEnd<'_>) {
    request.is_end_recorded.set(true);
    node.metrics.requests.count(end.reason);
    if let Some(workspace) = &request.workspace {
        let mut labels = node.workspace_labels.borrow_mut();
        node.metrics.record_workspace_end(labels.label(&workspace.name), end.reason);
    }
    let last_body = request.last_body.get();
    let software = request.software.borrow();
    let event = Event::Request {
        request: &request.parsed_headers.request_id,
        route: &request.route.name,
        workspace: request.workspace.as_ref().map(|workspace| &*workspace.name),
        config: request.config_version,
        adapter: request.model(),
        upstream: end.upstream,
        attempts: request.attempts.get(),
        status: end.status,
        reason: end.reason,
        queue_ms: request.queued_ms.get(),
        first_ms: end.first_ms,
        longest_gap_ms: end.longest_gap_ms,
        late: end.lateness,
        total_ms: request.arrived_at.elapsed().as_millis() as u64,
        budget_ms: request.deadline_at.duration_since(request.arrived_at).as_millis() as u64,
        record_ages: request.record_ages.get(),
        limit_per_s: request.limit.get().map(|(rate, _)| rate.requests_per_s()),
        limit_age_ms: request.limit.get().map(|(_, age)| age.as_millis() as u64),
        software: (!software.is_empty()).then_some(software.as_str()),
        resumes: request.parsed_headers.resumes.as_deref(),
        origin: request.origin_source.get(),
        framing: last_body.map(|(framing, _)| framing.name()),
        ending: last_body.map(|(_, end)| end.name()),
    };
    if (200..300).contains(&end.status) && end.reason == "answered" {
        let first = Duration::from_millis(end.first_ms);
        node.metrics.first_part_time.observe(kind_name(request.route.kind), first);
        if request.parsed_headers.last_event_id.is_some() {
            node.events.important(&event);
        } else {
            node.events.routine(&event);
        }
    } else {
        node.events.important(&event);
    }
}

/// Ends a request without an upstream's response: counts and logs it and builds the response.
pub fn fail_request(
    node: &SharedNode,
    request: &CallerRequest,
    failure: Failure,
    retry_after: Option<Duration>,
    upstream: &str,
) -> Response<BoxBody> {
    node.metrics.refusals.count(failure.reason());
    let status = failure.status().as_u16();
    let first_ms = request.arrived_at.elapsed().as_millis() as u64;
    let end = RequestEnd::unstreamed(status, failure.reason(), upstream, first_ms);
    record_request_end(node, request, end);
    reply::failure_response(failure, retry_after, node.is_stopping.get())
}

/// Ends a request that is not run because it crashes its upstreams. If an earlier attempt may have
/// run, the response must not state that the request did not run.
pub fn quarantine_response(
    node: &SharedNode,
    request: &CallerRequest,
    refusal: Refusal,
    may_have_run: bool,
) -> Response<BoxBody> {
    if may_have_run {
        return fail_request(node, request, Failure::UpstreamLost, None, "");
    }
    let (failure, retry_after) = match refusal {
        Refusal::Quarantined(time) => (Failure::Quarantined, time),
        Refusal::TrialRunning(time) => (Failure::TrialRunning, time),
    };
    fail_request(node, request, failure, Some(retry_after), "")
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    node: SharedNode,
    flow: ConnectionFlow,
    /// Memory of the request and its body, once it is whole.
    memory: Option<MemoryHold>,
}

impl InFlight {
    /// Starts counting a request.
    pub fn start(node: &SharedNode, flow: &ConnectionFlow) -> Self {
        node.in_flight.set(node.in_flight.get() + 1);
        Self { node: Rc::clone(node), flow: flow.clone(), memory: None }
    }
}

impl InFlight {
    /// Returns the reason with which a request ends whose connection is gone.
    pub fn lost_reason(&self) -> &'static str {
        self.flow.close_cause().map_or("caller_left", CloseCause::name)
    }

    /// Holds the memory of the request until its end.
    pub fn hold(&mut self, memory: MemoryHold) {
        self.memory = Some(memory);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.node.in_flight.set(self.node.in_flight.get() - 1);
        self.flow.end_request();
    }
}

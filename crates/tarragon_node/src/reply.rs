//! Responses to callers.

use crate::caller_connection::ConnectionEnd;
use actix_http::{
    Response, ResponseBuilder, StatusCode,
    body::{BodySize, BodyStream, BoxBody, MessageBody},
    header::WWW_AUTHENTICATE,
};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use rail_memory::MemoryHold;
use rail_site::headers::{CUT_OFF, caller_response_headers};
use rail_workspace::KeyRefusal;
use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

/// Lower bound of every `retry-after` header.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Most bytes of a body that are passed on at once.
const MAX_PIECE_BYTES: usize = 16 << 10;

/// Why this host answers a request itself instead of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// This host has no configuration yet.
    NoConfig,
    /// The process is stopping and the request might not finish before it exits.
    Stopping,
    /// No route matches host name and path.
    NoRoute,
    /// The request does not run for any workspace.
    Key(KeyRefusal),
    /// The workspace has used up its quota.
    OverQuota,
    /// The request exceeds what this host may use of the quota by itself, and no issuer can be asked.
    NoQuotaIssuer,
    /// The request is malformed.
    BadRequest,
    /// The body exceeds the limit of the configuration.
    TooLarge,
    /// The body did not arrive by its deadline, or made too little progress.
    SlowBody,
    /// No memory is left for the request.
    NoMemory,
    /// The body was given up while it arrived, since others needed its memory.
    GaveWay,
    /// The deadline passed before the request was sent to an upstream.
    LateUnsent,
    /// The deadline passed after the request was sent, so it may have run.
    LateSent,
    /// No upstream can start the request in time.
    Busy,
    /// No upstream of the service is usable.
    NoUpstream,
    /// Neither this host nor another one reaches an upstream.
    CutOff,
    /// The caller resumes a stream, and nobody knows which software version began it.
    OriginUnknown,
    /// The caller resumes a stream of a software version that no upstream runs any more.
    VersionGone,
    /// The connection to the upstream broke, or its response was not usable.
    UpstreamLost,
    /// The request has crashed upstreams and is refused.
    Quarantined,
    /// The request may have crashed an upstream, and another call tries it.
    TrialRunning,
}

impl Failure {
    /// Returns the reason as it appears in logs and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::Stopping => "stopping",
            Self::NoRoute => "no_route",
            Self::Key(KeyRefusal::Missing) => "key_missing",
            Self::Key(KeyRefusal::Malformed) => "key_malformed",
            Self::Key(KeyRefusal::Unknown) => "key_unknown",
            Self::Key(KeyRefusal::MaybeAdded { .. }) => "key_maybe_added",
            Self::Key(KeyRefusal::MaybeRevoked { .. }) => "key_maybe_revoked",
            Self::Key(KeyRefusal::Moved) => "key_moved",
            Self::Key(KeyRefusal::Invalid) => "workspace_invalid",
            Self::OverQuota => "over_quota",
            Self::NoQuotaIssuer => "no_quota_issuer",
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::SlowBody => "slow_body",
            Self::NoMemory => "no_memory",
            Self::GaveWay => "gave_way",
            Self::LateUnsent => "late_unsent",
            Self::LateSent => "late_sent",
            Self::Busy => "busy",
            Self::NoUpstream => "no_upstream",
            Self::CutOff => "cut_off",
            Self::OriginUnknown => "origin_unknown",
            Self::VersionGone => "version_gone",
            Self::UpstreamLost => "upstream_lost",
            Self::Quarantined => "quarantined",
            Self::TrialRunning => "trial_running",
        }
    }

    /// Returns the HTTP status. 408, 429 and 503 guarantee that the request did not run and will not
    /// run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfig
            | Self::Stopping
            | Self::Busy
            | Self::NoUpstream
            | Self::LateUnsent
            | Self::NoMemory
            | Self::GaveWay
            | Self::CutOff
            | Self::NoQuotaIssuer
            | Self::Key(
                KeyRefusal::MaybeAdded { .. }
                | KeyRefusal::MaybeRevoked { .. }
                | KeyRefusal::Moved
                | KeyRefusal::Invalid,
            )
            | Self::OriginUnknown
            | Self::VersionGone
            | Self::Quarantined
            | Self::TrialRunning => StatusCode::SERVICE_UNAVAILABLE,
            Self::Key(KeyRefusal::Missing | KeyRefusal::Malformed | KeyRefusal::Unknown) => {
                StatusCode::UNAUTHORIZED
            }
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::LateSent => StatusCode::GATEWAY_TIMEOUT,
            Self::UpstreamLost => StatusCode::BAD_GATEWAY,
        }
    }
}

/// Builds the response for a request that this host answers itself.
pub fn failure_response(
    failure: Failure,
    retry_after: Option<Duration>,
    closes_connection: bool,
) -> Response<BoxBody> {
    let mut response = Response::build(failure.status());
    if let Some(time) = retry_after {
        let time = time.max(MIN_RETRY_AFTER);
        response.insert_header(("retry-after", format!("{:.3}", time.as_secs_f64())));
    }
    if matches!(failure, Failure::CutOff | Failure::Stopping) {
        response.insert_header((CUT_OFF, "1"));
    }
    if failure.status() == StatusCode::UNAUTHORIZED {
        response.insert_header((WWW_AUTHENTICATE, "Bearer"));
    }
    let failure_closes_connection = matches!(
        failure,
        Failure::BadRequest
            | Failure::TooLarge
            | Failure::SlowBody
            | Failure::Key(KeyRefusal::Missing | KeyRefusal::Malformed)
            | Failure::NoMemory
            | Failure::GaveWay
    );
    if closes_connection || failure_closes_connection {
        response.force_close();
    }
    response.body(BoxBody::new(Bytes::new())).map_into_boxed_body()
}

/// Starts a response with the status and headers of an upstream's response.
pub fn start_response(head: &http::response::Parts, closes_connection: bool) -> ResponseBuilder {
    let status = StatusCode::from_u16(head.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::build(status);
    for (name, value) in caller_response_headers(&head.headers) {
        if name != http::header::CONTENT_LENGTH {
            response.append_header((name.as_str(), value.as_bytes()));
        }
    }
    if closes_connection {
        response.force_close();
    }
    response
}

/// Completes a response with a body that ends with the connection, which claims nothing about its
/// completeness. Until the body is finished, the connection ends with a reset.
pub fn end_with_connection(
    response: &mut ResponseBuilder,
    connection_end: &ConnectionEnd,
    body: impl MessageBody + 'static,
) -> Response<BoxBody> {
    connection_end.begin_answer();
    response.force_close();
    let mut response = response.body(BoxBody::new(body)).map_into_boxed_body();
    response.head_mut().no_chunking(true);
    response
}

/// A whole body that is passed on in pieces, so that what its caller does not read stays counted.
#[derive(Debug)]
pub struct HeldBody {
    bytes: Bytes,
    _memory: MemoryHold,
}

impl HeldBody {
    /// Holds the memory of a body until it is passed on.
    pub fn new(bytes: Bytes, memory: MemoryHold) -> Self {
        Self { bytes, _memory: memory }
    }
}

impl MessageBody for HeldBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.bytes.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let piece_bytes = self.bytes.len().min(MAX_PIECE_BYTES);
        let piece = self.bytes.split_to(piece_bytes);
        Poll::Ready((!piece.is_empty()).then_some(Ok(piece)))
    }
}

/// Returns a body without a stated length, after which the connection ends in order.
pub fn body_without_length(body: HeldBody, connection_end: ConnectionEnd) -> impl MessageBody {
    let mut body = body;
    let body = stream::poll_fn(move |context| Pin::new(&mut body).poll_next(context));
    let end = stream::poll_fn(move |_context| {
        connection_end.finish_answer();
        Poll::Ready(None)
    });
    BodyStream::new(body.chain(end))
}

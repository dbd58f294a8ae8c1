//! Answers to callers.

use actix_http::{Response, ResponseBuilder, StatusCode, body::BoxBody};
use bytes::Bytes;
use rail_site::headers::caller_response_headers;
use std::time::Duration;

/// Shortest time to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Why this system itself ends a request, as logs and counters name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No configuration is known yet.
    NoConfig,
    /// The host is stopping and the request might not end before it does.
    Stopping,
    /// No route takes the path.
    NoRoute,
    /// The request is not valid.
    BadRequest,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    SlowBody,
    /// The deadline passed before it could be sent.
    LateUnsent,
    /// The deadline passed after it was sent.
    LateSent,
    /// No upstream can take it in time.
    Busy,
    /// No upstream of the service is known.
    NoUpstream,
    /// The upstream was lost, or answered with what is no answer.
    UpstreamLost,
}

impl Failure {
    /// Names the reason.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::Stopping => "stopping",
            Self::NoRoute => "no_route",
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::SlowBody => "slow_body",
            Self::LateUnsent => "late_unsent",
            Self::LateSent => "late_sent",
            Self::Busy => "busy",
            Self::NoUpstream => "no_upstream",
            Self::UpstreamLost => "upstream_lost",
        }
    }

    /// Gives the status; 408 and 503 promise that the request did not run and never will.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfig | Self::Stopping | Self::Busy | Self::NoUpstream | Self::LateUnsent => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::LateSent => StatusCode::GATEWAY_TIMEOUT,
            Self::UpstreamLost => StatusCode::BAD_GATEWAY,
        }
    }
}

/// Makes the answer for a request that this system ends.
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
    let ends_connection =
        matches!(failure, Failure::BadRequest | Failure::TooLarge | Failure::SlowBody);
    if closes_connection || ends_connection {
        response.force_close();
    }
    response.body(BoxBody::new(Bytes::new())).map_into_boxed_body()
}

/// Starts an answer with an upstream's status and headers.
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

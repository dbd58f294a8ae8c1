//! Errors that callers receive: problem details (RFC 9457) with a stable reason.

use crate::claims::BufferedResponse;
use actix_web::{HttpResponse, ResponseError, http::StatusCode};
use rail_config::{ModelNameError, ResolveError};
use rail_request::{RequestFailure, RequestRefusal, RequestRefusalReason};
use serde::Serialize;
use std::time::Duration;

/// Retry delay that is sent to callers after a request that may have run.
const FAILED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Result of a caller's request.
pub type Result<T, E = Problem> = std::result::Result<T, E>;

/// Reason for which a caller receives no response of its own request.
///
/// The error texts are the titles of the problem details, which callers receive.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The request body or a header value is invalid.
    #[error("request body is not valid: {0}")]
    Body(String),
    /// The request body is too large.
    #[error("request body is too large")]
    TooLarge,
    /// The model name can't be parsed.
    #[error("model name is not valid: {0}")]
    ModelName(#[from] ModelNameError),
    /// The model name is not registered in the configuration.
    #[error("{0}")]
    UnknownModel(#[from] ResolveError),
    /// No plain service of this name is registered.
    #[error("unknown service")]
    UnknownService,
    /// The request did not run.
    #[error("{0}")]
    Refused(#[from] RequestRefusal),
    /// Another call with the key completed; its stored response is sent.
    #[error("answered before")]
    Stored(BufferedResponse),
    /// Another call with the key completed, but its response is not stored.
    #[error("answered before; the answer is not kept")]
    AnswerNotKept,
    /// Another call with the key is in progress.
    #[error("in progress")]
    InProgress {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The key was used for a request with another content.
    #[error("idempotency key was used for another request")]
    KeyReused,
    /// The request may have run and has no complete response.
    #[error("failed: {0}")]
    Failed(RequestFailure),
}

/// Problem details in their JSON form.
#[derive(Debug, Serialize)]
pub struct ProblemBody {
    /// Kind of the problem, as a relative URI reference.
    #[serde(rename = "type")]
    pub kind: String,
    /// Summary for people.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Stable reason, for programs.
    pub reason: String,
    /// Whether the request ran: `no`, `yes` or `unknown`.
    pub ran: &'static str,
    /// Time after which the caller may retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Returns the stable reason, which is also a metric label.
    pub fn reason(&self) -> String {
        match self {
            Self::Body(_) => "invalid_body".to_owned(),
            Self::TooLarge => "body_too_large".to_owned(),
            Self::ModelName(_) => "invalid_model_name".to_owned(),
            Self::UnknownModel(ResolveError::UnknownBase) => "unknown_base".to_owned(),
            Self::UnknownModel(ResolveError::UnknownAdapter) => "unknown_adapter".to_owned(),
            Self::UnknownModel(ResolveError::UnknownVersion) => "unknown_version".to_owned(),
            Self::UnknownService => "unknown_service".to_owned(),
            Self::Refused(refusal) => refusal.reason.to_string(),
            Self::Stored(_) => "stored_answer".to_owned(),
            Self::AnswerNotKept => "answer_not_kept".to_owned(),
            Self::InProgress { .. } => "in_progress".to_owned(),
            Self::KeyReused => "idempotency_key_reused".to_owned(),
            Self::Failed(failed) => failed.to_string(),
        }
    }

    /// Creates the problem details.
    pub fn body(&self) -> ProblemBody {
        let reason = self.reason();
        ProblemBody {
            kind: format!("/problems/{reason}"),
            title: self.to_string(),
            status: self.status_code().as_u16(),
            ran: self.ran(),
            retry_after_ms: self.retry_after().map(|time| time.as_millis() as u64),
            reason,
        }
    }

    fn ran(&self) -> &'static str {
        match self {
            Self::Failed(_) | Self::InProgress { .. } => "unknown",
            Self::Stored(_) | Self::AnswerNotKept => "yes",
            _ => "no",
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused(refusal) => Some(refusal.retry_after),
            Self::InProgress { retry_after } => Some(*retry_after),
            Self::Failed(_) => Some(FAILED_RETRY_AFTER),
            _ => None,
        }
    }
}

impl ResponseError for Problem {
    fn status_code(&self) -> StatusCode {
        match self {
            Self::Body(_) | Self::ModelName(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::UnknownModel(_) | Self::UnknownService => StatusCode::NOT_FOUND,
            Self::Refused(refusal) => match refusal.reason {
                RequestRefusalReason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
                RequestRefusalReason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            },
            Self::Stored(_) => StatusCode::OK,
            Self::AnswerNotKept | Self::InProgress { .. } => StatusCode::CONFLICT,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Failed(_) => StatusCode::BAD_GATEWAY,
        }
    }

    fn error_response(&self) -> HttpResponse {
        if let Self::Stored(stored) = self {
            return stored.clone().into();
        }
        let mut response = HttpResponse::build(self.status_code());
        if let Some(time) = self.retry_after() {
            let seconds = time.as_secs_f64().ceil() as u64;
            response.insert_header(("retry-after", seconds.max(1).to_string()));
        }
        let body = serde_json::to_string(&self.body()).unwrap_or_default();
        response.content_type("application/problem+json").body(body)
    }
}

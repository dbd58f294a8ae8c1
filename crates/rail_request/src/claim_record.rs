//! Claims of requests with an idempotency key, as the platform stores them.

use crate::{fingerprint::Fingerprint, outcome::RequestFailure};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Random number that identifies the call that made a claim.
pub type ClaimNonce = u64;

/// Age up to which a claim counts as in progress if the liveness of its holder is unknown.
const UNKNOWN_HOLDER_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after the deadline of a claim for which it still counts as in progress.
const DEADLINE_MARGIN: Duration = Duration::from_secs(2);
/// Maximum retry delay that is sent to callers while the first call is in progress.
const MAX_IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum size of a response body that a claim stores, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 64 << 10;

/// Process that made a claim and runs the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// Name of the host.
    pub host: String,
    /// Number of the process instance on the host; a later instance has a higher one.
    pub incarnation: u64,
}

/// Liveness of the holder of a claim, according to heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderLiveness {
    /// The holder sends heartbeats.
    Live,
    /// A later incarnation runs on the host, or the heartbeats have stopped.
    Gone,
    /// No heartbeat shows whether the holder lives.
    Unknown,
}

/// Outcome of a claimed request, as stored in its claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredOutcome {
    /// The request has a response, which is stored.
    Answered {
        /// HTTP status.
        status: u16,
        /// Value of the `content-type` header.
        content_type: Option<String>,
        /// Response body.
        body: String,
    },
    /// The request has a response that is too large to be stored or is not UTF-8.
    NotKept,
    /// The request may have run and has no complete response.
    Failed(RequestFailure),
}

impl StoredOutcome {
    /// Creates the outcome of a response; the body is stored if it is UTF-8 of at most
    /// [`MAX_STORED_BODY_BYTES`].
    pub fn from_response(status: u16, content_type: Option<String>, body: &[u8]) -> Self {
        match std::str::from_utf8(body) {
            Ok(text) if text.len() <= MAX_STORED_BODY_BYTES => {
                Self::Answered { status, content_type, body: text.to_owned() }
            }
            _ => Self::NotKept,
        }
    }
}

/// Claim of one idempotency key; the request that it belongs to runs at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Scope and idempotency key, as `scope/key`.
    pub key: String,
    /// Fingerprint of the request, to detect that the key is used for another one.
    pub fingerprint: Fingerprint,
    /// Call that made the claim.
    pub nonce: ClaimNonce,
    /// Process that made the claim.
    pub holder: ClaimHolder,
    /// Wall-clock time of the holder at the start of the call, in milliseconds since the Unix
    /// epoch.
    ///
    /// Clocks of hosts differ, so this time only decides which reply another call gets and when
    /// the claim is deleted, never whether the request runs.
    pub created_at_ms: u64,
    /// Maximum duration of the request, in milliseconds.
    pub deadline_ms: u64,
    /// Outcome, once the request has ended.
    pub outcome: Option<StoredOutcome>,
}

/// Reply to another call with the key of an existing claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimReply {
    /// Outcome of the first call.
    Stored(StoredOutcome),
    /// The first call is still in progress.
    InProgress {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The key belongs to a request with another content.
    KeyReused,
    /// The first call may have run the request and stored no outcome; the request is not repeated.
    Unknown,
}

impl ClaimRecord {
    /// Returns the name of the platform object that stores the claim of a key.
    pub fn object_name(key: &str) -> String {
        format!("claim-{}", Fingerprint::of([key.as_bytes()]))
    }

    /// Decides the reply to another call, whose own claim is `other`.
    pub fn reply_to(&self, other: &Self, holder: HolderLiveness) -> ClaimReply {
        if self.key != other.key || self.fingerprint != other.fingerprint {
            return ClaimReply::KeyReused;
        }
        if let Some(outcome) = &self.outcome {
            return ClaimReply::Stored(outcome.clone());
        }
        let age = Duration::from_millis(other.created_at_ms.saturating_sub(self.created_at_ms));
        let max_age = Duration::from_millis(self.deadline_ms).saturating_add(DEADLINE_MARGIN);
        let timeout = match holder {
            HolderLiveness::Live => max_age,
            HolderLiveness::Unknown => max_age.min(UNKNOWN_HOLDER_TIMEOUT),
            HolderLiveness::Gone => Duration::ZERO,
        };
        match timeout.checked_sub(age) {
            Some(left) if !left.is_zero() => {
                ClaimReply::InProgress { retry_after: left.min(MAX_IN_PROGRESS_RETRY_AFTER) }
            }
            _ => ClaimReply::Unknown,
        }
    }

    /// Returns whether the retention period of the claim is over at `now_ms`, a wall-clock time.
    ///
    /// The period begins at the deadline of the request.
    pub fn is_retention_over(&self, retention: Duration, now_ms: u64) -> bool {
        let max_age_ms = (retention.as_millis() as u64).saturating_add(self.deadline_ms);
        now_ms.saturating_sub(self.created_at_ms) > max_age_ms
    }
}

//! Claims as the platform stores them.

use crate::{fingerprint::Fingerprint, outcome::RequestFailure};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Random number that tells one arrival of a request from every other.
pub type ClaimNonce = u64;

/// Time after its start for which a claim counts as in progress although its holder is not seen.
const UNSEEN_LIMIT: Duration = Duration::from_secs(15);
/// Time after its deadline for which a claim still counts as in progress.
const DEADLINE_MARGIN: Duration = Duration::from_secs(2);
/// Longest time after which a caller looks again at work in progress.
const PROGRESS_RETRY: Duration = Duration::from_secs(1);
/// Largest answer that a claim keeps, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 64 << 10;

/// Process that made a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// Host of the process.
    pub host: String,
    /// Incarnation of the process.
    pub incarnation: u64,
}

/// What is known about the holder of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderLiveness {
    /// The incarnation sends heartbeats.
    Live,
    /// The incarnation was replaced or is silent.
    Gone,
    /// No heartbeat of the host is known.
    Unknown,
}

/// How claimed work ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredOutcome {
    /// It was answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        content_type: Option<String>,
        /// Body.
        body: String,
    },
    /// It was answered, and the answer is too large to be kept or not text.
    NotKept,
    /// It may have run and has no whole answer.
    Failed(RequestFailure),
}

impl StoredOutcome {
    /// Keeps an answer if it is text of a limited size.
    pub fn from_response(status: u16, content_type: Option<String>, body: &[u8]) -> Self {
        match std::str::from_utf8(body) {
            Ok(text) if text.len() <= MAX_STORED_BODY_BYTES => {
                Self::Answered { status, content_type, body: text.to_owned() }
            }
            _ => Self::NotKept,
        }
    }
}

/// Claim of one keyed request that may run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Scope and idempotency key.
    pub key: String,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Arrival that made the claim.
    pub nonce: ClaimNonce,
    /// Process that made the claim.
    pub holder: ClaimHolder,
    /// Wall clock of the holder, in milliseconds; decides nothing but texts and collection.
    pub created_at_ms: u64,
    /// Time that the work may take, in milliseconds.
    pub deadline_ms: u64,
    /// How the work ended.
    pub outcome: Option<StoredOutcome>,
}

/// What another arrival of a claimed request gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimReply {
    /// The outcome of the first arrival.
    Stored(StoredOutcome),
    /// The first arrival is still in progress.
    InProgress {
        /// When to look again.
        retry_after: Duration,
    },
    /// The key was used for another request.
    KeyReused,
    /// The first arrival may have run; it is not repeated.
    Unknown,
}

impl ClaimRecord {
    /// Names the platform object of a key.
    pub fn object_name(key: &str) -> String {
        format!("claim-{}", Fingerprint::of([key.as_bytes()]))
    }

    /// Decides what another arrival gets.
    pub fn reply_to(&self, other: &Self, holder: HolderLiveness) -> ClaimReply {
        if self.key != other.key || self.fingerprint != other.fingerprint {
            return ClaimReply::KeyReused;
        }
        if let Some(outcome) = &self.outcome {
            return ClaimReply::Stored(outcome.clone());
        }
        let age = Duration::from_millis(other.created_at_ms.saturating_sub(self.created_at_ms));
        let longest = Duration::from_millis(self.deadline_ms).saturating_add(DEADLINE_MARGIN);
        let limit = match holder {
            HolderLiveness::Live => longest,
            HolderLiveness::Unknown => longest.min(UNSEEN_LIMIT),
            HolderLiveness::Gone => Duration::ZERO,
        };
        match limit.checked_sub(age) {
            Some(left) if !left.is_zero() => {
                ClaimReply::InProgress { retry_after: left.min(PROGRESS_RETRY) }
            }
            _ => ClaimReply::Unknown,
        }
    }

    /// Reports whether the claim is older than this on the local wall clock.
    pub fn is_older_than(&self, retention: Duration, now_ms: u64) -> bool {
        let keep_ms = (retention.as_millis() as u64).saturating_add(self.deadline_ms);
        now_ms.saturating_sub(self.created_at_ms) > keep_ms
    }
}

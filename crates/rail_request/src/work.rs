//! Messages between gateway and scheduler about one request.

use crate::outcome::{RequestFailure, RequestRefusal};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Random ID of a request, unique in the fleet.
pub type RequestId = u128;

/// Request that a gateway submits to the owner of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkOrder {
    /// ID under which the engine can resume or cancel the request.
    ///
    /// A retry after an attempt that may have run has a new ID.
    pub request_id: RequestId,
    /// Name of the engine upstream that should run the request.
    pub engine: String,
    /// Model name in the form `base:adapter@version`.
    pub model: String,
    /// Prompt as the engine receives it.
    pub prompt: String,
    /// Maximum length of the response, in tokens.
    pub max_tokens: u32,
    /// Sampling parameters for the engine, as a JSON object.
    pub sampling_json: String,
    /// Whether a user waits for the response; otherwise the request is deferrable.
    pub urgent: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request must be the only one that runs on the engine.
    ///
    /// The gateway sets this for requests that may have crashed an upstream.
    pub isolated: bool,
    /// Caller on whose account the request runs, for fair queueing; may be empty.
    pub caller: String,
    /// Time left until the caller's deadline.
    pub deadline: Duration,
}

/// Event that the owner of an engine reports about a request, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkEvent {
    /// From this event on, the upstream may have received the request.
    Dispatched {
        /// Number of engines over which the adapter's requests should be spread.
        #[serde(rename = "width")]
        replicas: u32,
    },
    /// One part of the response.
    Token {
        /// Index of the part, from zero without gaps.
        offset: u64,
        /// Model name that the engine reported for this part.
        model: String,
        /// Text of the part.
        text: String,
    },
    /// The response is complete.
    Final {
        /// Number of parts that the engine sent.
        tokens: u64,
    },
    /// The request did not run on any upstream.
    NotRun(RequestRefusal),
    /// The request may have run and has no complete response.
    Failed(RequestFailure),
}

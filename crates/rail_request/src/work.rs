//! Messages about one request between gateway and scheduler.

use crate::outcome::{RequestFailure, RequestRefusal};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Identity of a request, unique over the fleet.
pub type RequestId = u128;

/// A request as the owner of an engine receives it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkOrder {
    /// Identity of the request.
    pub request_id: RequestId,
    /// Engine that should run it.
    pub engine: String,
    /// Model name in its text form, `base:adapter@version`.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Longest answer in tokens.
    pub max_tokens: u32,
    /// Sampling parameters for the engine, as a JSON object.
    pub sampling_json: String,
    /// Whether somebody waits for the answer.
    pub urgent: bool,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether nothing else may run on the engine at the same time.
    pub isolated: bool,
    /// Caller, for fair shares.
    pub caller: String,
    /// Time left until the answer is of no use.
    pub deadline: Duration,
}

/// What happened to a request, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkEvent {
    /// The upstream may have the request from here on.
    Dispatched {
        /// Engines over which requests of this adapter should spread.
        width: u32,
    },
    /// One part of the answer.
    Token {
        /// Position in the answer, from zero without gaps.
        offset: u64,
        /// Model that the engine reported for this part.
        model: String,
        /// Text.
        text: String,
    },
    /// The answer is complete.
    Final {
        /// Number of parts that were sent.
        tokens: u64,
    },
    /// It did not run.
    NotRun(RequestRefusal),
    /// It may have run and has no whole answer.
    Failed(RequestFailure),
}

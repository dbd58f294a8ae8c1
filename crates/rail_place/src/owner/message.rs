//! Inputs and commands of the owner of an engine.

use crate::kept::SharedPart;
use std::time::Duration;

/// Identifies a request at the owner; assigned by the caller.
pub type StartId = u64;
/// Name of an adapter with its base model, as `model/adapter`.
pub type AdapterPath = String;

/// A request for a grant to start on the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// Identifies the request in commands and at its release.
    pub id: StartId,
    /// Base model that the request names.
    pub model: String,
    /// Adapter without its base model; none for a request to the base model itself.
    pub adapter: Option<String>,
    /// Priority among the waiting requests; 0 goes first.
    pub priority: u8,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Leading parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<SharedPart>,
    /// Longest pause between two events for which the answer is in time; `None` if any is.
    pub max_event_gap: Option<Duration>,
    /// Longest estimated wait with which the request is queued; otherwise it is refused at once.
    pub max_estimated_wait: Duration,
    /// Time by which the request must start; a queued request is refused afterwards.
    pub start_deadline: Duration,
    /// Time of the first event from which on the answer is late.
    pub late_at: Duration,
    /// Whether the request is queued although its first event would be late; otherwise it is refused
    /// at once, as another engine may serve it in time.
    pub may_be_late: bool,
    /// Longest estimated time until the engine reads the prompt; otherwise the request is refused at
    /// once.
    pub max_backlog: Duration,
}

impl StartRequest {
    pub(super) fn path(&self) -> Option<AdapterPath> {
        self.adapter.as_ref().map(|adapter| format!("{}/{adapter}", self.model))
    }

    /// Returns the name under which the engine keeps parts of the prompt.
    pub(super) fn kept_path(&self) -> AdapterPath {
        self.path().unwrap_or_else(|| self.model.clone())
    }
}

/// How soon an engine can use an adapter, as its owner tracks it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdapterStatus {
    /// Loaded on the engine.
    Resident,
    /// Being loaded, or loaded and not yet used successfully.
    Loading,
    /// Not loaded, but loaded recently, so that the engine loads it quickly from host memory.
    Recent,
    /// Only in the weight store.
    Cold,
}

/// Result of a granted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The request ran, and its answer has arrived whole.
    Ended,
    /// The caller disconnected, or no whole answer arrived, so the engine may go on with the run.
    Abandoned,
    /// The engine answered that the adapter was not ready.
    NotReady,
    /// The engine answered that it does not have the adapter.
    Absent,
}

impl GrantOutcome {
    /// Returns whether the engine has run the request, or may have.
    pub fn may_have_run(self) -> bool {
        match self {
            Self::Ended | Self::Abandoned => true,
            Self::NotReady | Self::Absent => false,
        }
    }
}

/// An order to the engine to load or unload a model or an adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a base model.
    LoadModel(String),
    /// Load an adapter, in the given version if one was announced.
    Load(AdapterPath, Option<u64>),
    /// Unload an adapter.
    Unload(AdapterPath),
}

/// Result of sending an order to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine accepted the order; an unload is complete.
    Accepted,
    /// A load was fulfilled already; the engine doesn't count it.
    Held,
    /// The engine accepted an unload, which waits for requests that use the adapter.
    Pending,
    /// The expected count of orders differs from the engine's, or the engine is busy.
    Conflict,
    /// No answer arrived; the order may have been carried out, or may be carried out later.
    Unknown,
    /// The engine could not be reached.
    NotSent,
    /// The engine refused the order.
    Refused,
}

/// What the caller of [`EngineOwner::poll`](super::EngineOwner::poll) must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerCommand {
    /// Grant a request, with the adapter version that the engine must have, if one was announced.
    Grant(StartId, Option<u64>),
    /// Refuse a request, with the time after which it may be retried.
    Refuse(StartId, Duration),
    /// Send an order with the number of orders that the engine must have accepted before.
    Order(OrderKind, u64),
    /// Request a report from the engine.
    Report,
}

/// Contents of an engine's report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnerReport {
    /// Base models that are loaded on the engine.
    pub models: Vec<String>,
    /// Adapters that are loaded or being loaded, with their versions.
    pub adapters: Vec<(AdapterPath, u64)>,
    /// Orders that the engine has accepted since its start.
    pub accepted_orders: u64,
    /// Whether a base model is being loaded.
    pub is_busy: bool,
}

/// What an owner assumes about the adapter slots of its engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineRoom {
    /// Adapter slots that count as occupied, with those of loads that were sent.
    pub occupied: usize,
    /// Occupied slots that a report or an answer to an order has shown.
    pub proven: usize,
    /// Time since the last applied report was requested, if there was one.
    pub report_age: Option<Duration>,
}

/// Counters of an owner since its creation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnerCounts {
    /// Loads from the weight store.
    pub cold_loads: u64,
    /// Loads of adapters that the engine had recently.
    pub recent_loads: u64,
    /// Requests whose adapter was resident on arrival.
    pub hits: u64,
    /// Requests that found their adapter not ready.
    pub not_ready: u64,
}

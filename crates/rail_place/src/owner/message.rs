//! What goes in and out of an engine's owner.

use std::time::Duration;

/// Identity of a request at the owner.
pub type StartId = u64;
/// Adapter with its base model, as `model/adapter`.
pub type AdapterPath = String;

/// A request that wants to run on the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// Identity.
    pub id: StartId,
    /// Base model.
    pub model: String,
    /// Adapter, if one is named.
    pub adapter: Option<String>,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Longest estimated wait with which it is taken.
    pub max_estimated_wait: Duration,
    /// Time by which it must start once it was taken.
    pub start_deadline: Duration,
    /// Longest time for which the prompts of earlier requests may keep the engine busy.
    pub max_backlog: Duration,
}

impl StartRequest {
    pub(super) fn path(&self) -> Option<AdapterPath> {
        self.adapter.as_ref().map(|adapter| format!("{}/{adapter}", self.model))
    }
}

/// Where an adapter is when a request asks for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdapterStatus {
    /// On the engine.
    Resident,
    /// On its way there.
    Loading,
    /// The engine held it recently and loads it quickly.
    Recent,
    /// In the weight store.
    Cold,
}

/// How a granted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantOutcome {
    /// It ran, or its caller left.
    Ended,
    /// The engine said that the adapter was not ready.
    NotReady,
    /// The engine said that it does not hold the adapter.
    Absent,
}

/// An order to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a base model.
    LoadModel(String),
    /// Load an adapter, in this version if one was announced.
    Load(AdapterPath, Option<u64>),
    /// Unload an adapter.
    Unload(AdapterPath),
}

/// How the engine took an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// It was accepted or held already.
    Accepted,
    /// The count of orders differs, or the engine is busy.
    Conflict,
    /// Nothing came back; it may be carried out, also later.
    Unknown,
    /// The engine was not reached.
    NotSent,
    /// The engine refuses it.
    Refused,
}

/// What the shell should do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerCommand {
    /// Let a request go, with the version that it must meet.
    Grant(StartId, Option<u64>),
    /// Refuse a request, with the time after which it may come back.
    Refuse(StartId, Duration),
    /// Send an order with the expected count of accepted orders.
    Order(OrderKind, u64),
    /// Read the engine's report.
    Report,
}

/// What a report shows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnerReport {
    /// Base models that are loaded.
    pub models: Vec<String>,
    /// Adapters that are loaded or on their way, with versions.
    pub adapters: Vec<(AdapterPath, u64)>,
    /// Orders accepted so far.
    pub accepted_orders: u64,
    /// Whether a base model is being loaded.
    pub is_busy: bool,
}

/// Counters of an owner, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnerCounts {
    /// Loads from the weight store.
    pub cold_loads: u64,
    /// Loads of adapters that the engine held recently.
    pub recent_loads: u64,
    /// Requests whose adapter was resident.
    pub hits: u64,
    /// Requests that found their adapter not ready.
    pub not_ready: u64,
}

//! Placement: chooses the engine for a request and the adapters that each engine keeps loaded.
//!
//! [`rank_engines`] orders candidate engines by rendezvous hash. [`Residency`] decides which
//! adapters an engine loads and evicts, and never evicts an adapter that is in use.
//! [`EnginePlanner`] decides what an engine runs and loads next by the weights of an
//! [`Objective`], [`PermitOwner`] keeps the loads of all engines within the limits of the weight
//! store, and [`choose_engines`] spreads requests for a hot adapter over several engines.
//! [`Policy`] selects between these rules and simpler baselines.
//!
//! [`EngineOwner`] serves engines of an existing platform: it decides which adapters one engine
//! keeps loaded, in which order waiting requests start, and which orders are sent to the engine.
//!
//! All types are deterministic state machines: the caller passes in the current time, and nothing
//! here does I/O or reads a clock.

pub mod backoff;
pub mod demand;
pub mod error;
pub mod kept;
pub mod objective;
pub mod owner;
pub mod pace;
pub mod permit;
pub mod planner;
pub mod policy;
pub mod reading;
pub mod rendezvous;
pub mod replicas;
pub mod residency;
pub mod search;
pub mod slot;
pub mod slot_time;
pub mod spread;
pub mod token_bucket;
pub mod versions;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        backoff::Backoff,
        demand::Demand,
        error::{Error, Result},
        kept::{KeptParts, SharedPart},
        objective::{InvalidWeights, Objective},
        owner::{
            EngineOwner, GrantOutcome, OrderKind, OrderResult, OwnerCommand, OwnerReport, StartId,
            StartRequest,
        },
        pace::{Prompt, PromptPacer, StreamTiming},
        permit::{PendingPermit, PermitId, PermitOwner, StoreLimits},
        planner::{EnginePlanner, LoadRequest, Plan, PlannerConfig, WorkItem},
        policy::{Eviction, Policy, UnknownPolicy},
        reading::ReadingSpeed,
        rendezvous::rank_engines,
        replicas::{ReplicaController, ReplicaCount, ReplicaHints, choose_engines},
        residency::{AdapterKey, LoadDecision, Residency, SlotTicket},
        search::{GrantSearch, Patience, WaitLimits},
        slot::{SlotEvent, SlotState},
        slot_time::SlotTimes,
        spread::ReplicaSpread,
        token_bucket::TokenBucket,
        versions::{AdapterVersion, AdapterVersions, AnnouncedAfter},
    };
}
pub use prelude::*;

//! Placement: which engine should run a request, and which adapters it keeps.
//!
//! [`rank_engines`] orders candidates by rendezvous hash. [`Residency`]
//! decides what an engine loads and evicts and never picks an adapter that is
//! in use. [`EnginePlanner`] decides what an engine runs and loads next by
//! the weights of an [`Objective`], [`PermitOwner`] keeps the loads of all
//! engines within the weight store's limits, and [`choose_engines`] spreads
//! hot adapters. [`Policy`] selects between these decisions and baselines.
//!
//! [`EngineOwner`] decides for one engine of the users' platform which
//! adapters it holds, in which order waiting requests start, and which orders
//! it is given.
//!
//! All are plain state machines: times come in, decisions go out.

pub mod backoff;
pub mod budget;
pub mod demand;
pub mod error;
pub mod objective;
pub mod owner;
pub mod permit;
pub mod planner;
pub mod policy;
pub mod rendezvous;
pub mod replicas;
pub mod residency;
pub mod slot;
pub mod spread;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        backoff::Backoff,
        budget::LoadBudget,
        demand::Demand,
        error::{Error, Result},
        objective::{InvalidWeights, Objective},
        owner::{
            EngineOwner, GrantOutcome, OrderKind, OrderResult, OwnerCommand, OwnerReport, StartId,
            StartRequest,
        },
        permit::{PendingPermit, PermitId, PermitOwner, StoreLimits},
        planner::{EnginePlanner, LoadRequest, Plan, PlannerConfig, WorkItem},
        policy::{Eviction, Policy, UnknownPolicy},
        rendezvous::rank_engines,
        replicas::{ReplicaController, ReplicaCount, ReplicaHints, choose_engines},
        residency::{AdapterKey, LoadDecision, Residency, SlotTicket},
        slot::{SlotEvent, SlotState},
        spread::ReplicaSpread,
    };
}
pub use prelude::*;

//! Sessions, ownership and fencing as pure state machines.
//!
//! A scheduler renews one session ([`SessionHolder`]), observes the sessions of other schedulers
//! ([`SessionObserver`]) and takes over resources whose session was revoked ([`plan_ownership`]).
//! During a platform outage, processes act as witnesses of each other's sessions
//! ([`SessionWitness`]). Hosts of a large fleet have leases instead ([`HostLease`]) and share the
//! engines ([`assign_engines`]). [`ReturnGuard`] keeps them apart when the store returns from an
//! older copy of itself.
//!
//! Nothing here reads a clock or opens a socket: events and the time are inputs, commands are
//! outputs. The charts `session.toml` and `ownership.toml` define the state transitions.

pub mod assignment;
pub mod charts;
pub mod collector;
pub mod holder;
pub mod host_lease;
pub mod observer;
pub mod ownership;
pub mod record;
pub mod return_guard;
pub mod timing;
pub mod witness;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        assignment::{OwnerCandidate, assign_engines},
        charts::{
            OwnershipEvent, OwnershipState, SessionEvent, SessionState, ownership_chart,
            session_chart,
        },
        collector::SessionCollector,
        holder::{CallEffect, ConfirmRequest, HolderCommand, SessionHolder},
        host_lease::{HostLease, HostLeaseRecord, LeaseObserver, LeaseWrite},
        observer::{PromiseRequest, SessionObserver},
        ownership::{OwnershipCommand, plan_ownership},
        record::{
            FenceNumber, HostId, OwnershipRecord, ResourceId, SessionId, SessionRecord, Witness,
        },
        return_guard::ReturnGuard,
        timing::{LeaseTimes, renewal_period},
        witness::{
            SessionWitness, WitnessQuestion, WitnessRefusal, WitnessRequest, choose_witnesses,
            majority,
        },
    };
}
pub use prelude::*;

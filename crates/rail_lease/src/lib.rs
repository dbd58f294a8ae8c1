//! Sessions, ownership and fencing as pure state machines.
//!
//! A scheduler keeps one session alive ([`SessionHolder`]), watches the
//! sessions of others ([`SessionObserver`]) and takes resources whose session
//! was revoked ([`plan_ownership`]). While the platform is away, processes act
//! as witnesses of each other's sessions ([`SessionWitness`]). Nothing here
//! reads a clock or opens a socket: events and the time go in, commands come
//! out. The charts `session.toml` and `ownership.toml` name the states.

pub mod assignment;
pub mod charts;
pub mod collector;
pub mod holder;
pub mod host_lease;
pub mod observer;
pub mod ownership;
pub mod record;
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
        timing::{LeaseTimes, renewal_period},
        witness::{
            SessionWitness, WitnessQuestion, WitnessRefusal, WitnessRequest, choose_witnesses,
            majority,
        },
    };
}
pub use prelude::*;

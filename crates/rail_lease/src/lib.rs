//! Sessions, ownership and fencing as pure state machines.
//!
//! A scheduler keeps one session alive ([`SessionHolder`]), watches the
//! sessions of others ([`SessionObserver`]) and takes resources whose session
//! was revoked ([`plan_ownership`]). Nothing here reads a clock or opens a
//! socket: events and the time go in, commands come out.

pub mod holder;
pub mod observer;
pub mod ownership;
pub mod record;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        holder::{HolderCommand, SessionHolder},
        observer::SessionObserver,
        ownership::{OwnershipCommand, plan_ownership},
        record::{FenceNumber, HostId, OwnershipRecord, ResourceId, SessionId, SessionRecord},
    };
}
pub use prelude::*;

//! Membership: heartbeats between processes and what they tell.
//!
//! [`Members`] keeps the newest [`Heartbeat`] of each process. A greater
//! incarnation replaces a smaller one, and a leaving mark is never taken back
//! within one incarnation.

pub mod heartbeat;
pub mod members;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        heartbeat::{Heartbeat, Role},
        members::{Member, Members},
    };
}
pub use prelude::*;

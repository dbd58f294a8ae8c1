//! Starts the real processes of a small fleet for tests.
//!
//! [`TestFleet`] runs stand-ins and entry hosts on loopback addresses of their
//! own, and can kill, stop, freeze and restart each process. [`caller`] sends
//! requests as an ordinary HTTP client does.

#![expect(clippy::missing_panics_doc, reason = "test support panics on any failure")]

pub mod caller;
pub mod daemon_settings;
pub mod fleet;
pub mod network;
pub mod process;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        caller::{CallerOutcome, CompletionRequest, ServiceCall},
        fleet::{FleetPlan, TestFleet},
        process::Process,
    };
}
pub use prelude::*;

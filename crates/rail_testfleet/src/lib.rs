//! Starts a small fleet of real processes for integration tests.
//!
//! [`TestFleet`] runs entry hosts, and stand-ins for the platform, the weight store, engines and
//! services, on a loopback network of its own. It can kill, stop, freeze and restart each process.
//! [`caller`] sends requests as an ordinary HTTP client does.

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

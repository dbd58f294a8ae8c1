//! Settings, logs, metrics, TLS keys and graceful shutdown, shared by all daemons.
//!
//! Each daemon calls [`settings::FleetSettings::load_or_exit`], then [`logs::start_logging`],
//! builds its TLS configuration from [`live_keys::LiveKeys`] and runs until
//! [`shutdown::ShutdownSignal`] is triggered.

pub mod authority;
pub mod boot_clock;
pub mod clock;
pub mod event_log;
pub mod keys;
pub mod live_keys;
pub mod logs;
pub mod memory;
pub mod metrics;
pub mod metrics_server;
pub mod settings;
pub mod shutdown;
mod verifier;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        authority::{Authority, KeyRole},
        boot_clock::time_since_boot,
        clock::{MonoTime, MonotonicClock},
        event_log::{EventLog, EventPriority},
        keys::Keys,
        live_keys::LiveKeys,
        logs::start_logging,
        memory::resident_memory_bytes,
        metrics::Metrics,
        metrics_server::spawn_metrics_server,
        settings::FleetSettings,
        shutdown::ShutdownSignal,
    };
}
pub use prelude::*;

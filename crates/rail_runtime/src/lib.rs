//! Settings, logs, metrics, keys and graceful stop shared by all daemons.
//!
//! Each daemon calls [`settings::FleetSettings::open`], then
//! [`logs::start_logging`], builds its TLS configuration from [`keys::Keys`]
//! and waits on [`stop::StopSignal`].

pub mod clock;
pub mod keys;
pub mod logs;
pub mod metrics;
pub mod settings;
pub mod stop;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        clock::{MonoTime, MonotonicClock},
        keys::Keys,
        logs::start_logging,
        metrics::Metrics,
        settings::FleetSettings,
        stop::StopSignal,
    };
}
pub use prelude::*;

//! Routes, registered upstreams, outlier detection and the retry budget.
//!
//! [`RouteTable`] is one accepted configuration: it maps a request to a [`Route`] and a service.
//! [`UpstreamTable`] contains the registered upstreams, [`UpstreamReach`] tells whether this host
//! reaches any, [`OutlierDetector`] ejects those that fail
//! too often, and [`RetryBudget`] limits retries over all hosts together. [`ObservedAdapters`]
//! records which engines answered requests for which adapters. The caller passes in the current
//! time; nothing here does I/O or reads a clock.

pub mod budget;
pub mod choose;
pub mod observed;
pub mod outlier;
pub mod reach;
pub mod table;
pub mod upstream;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        budget::RetryBudget,
        choose::choose_instance,
        observed::ObservedAdapters,
        outlier::{AttemptOutcome, OutlierDetector},
        reach::UpstreamReach,
        table::{
            BaseModel, EngineShape, Limits, Route, RouteKind, RouteTable, Service, ServiceId,
            ServiceShare,
        },
        upstream::{
            AdapterName, AdapterVersion, ResidentModel, SoftwareVersion, Upstream, UpstreamId,
            UpstreamState, UpstreamTable,
        },
    };
}
pub use prelude::*;

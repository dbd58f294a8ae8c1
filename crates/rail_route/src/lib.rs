//! Routes, registered upstreams, outlier detection and the retry budget.
//!
//! [`RouteTable`] is one accepted configuration: it maps a request to a [`Route`] and a service.
//! [`UpstreamTable`] contains the registered upstreams, [`UpstreamReach`] tells whether this host
//! reaches any, and [`OutlierDetector`] ejects those that fail too often. [`choose_instance`]
//! chooses among the instances of a plain service, and [`CutOffHosts`] among other hosts that may
//! serve a request. [`AttemptCounts`] decides whether a request is sent again, and [`RetryBudget`]
//! limits retries over all hosts together. [`ChosenBy`] tells who chose an upstream. [`ObservedAdapters`] records which engines answered
//! requests for which adapters. The caller passes in the current time; nothing here does I/O or
//! reads a clock.

pub mod budget;
pub mod choose;
pub mod chosen;
pub mod detour;
pub mod observed;
pub mod outlier;
pub mod reach;
pub mod retry;
pub mod table;
pub mod upstream;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        budget::RetryBudget,
        choose::{choose_instance, preferred_instances, trial_candidates, untried_instances},
        chosen::ChosenBy,
        detour::{CutOffHosts, is_detour_due},
        observed::ObservedAdapters,
        outlier::{AttemptOutcome, OutlierDetector},
        reach::UpstreamReach,
        retry::{AttemptCounts, AttemptFailure},
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

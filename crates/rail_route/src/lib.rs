//! Routes, upstreams and the budget of retries, as pure state.
//!
//! [`RouteTable`] is one accepted configuration: it maps a request to a
//! [`Route`] and a service. [`UpstreamTable`] holds the registered upstreams,
//! [`OutlierDetector`] judges them by what their answers show, and [`RetryBudget`]
//! bounds repeated sends over the whole fleet. [`ObservedAdapters`] remembers where adapters answered. Times come in, decisions go out.

pub mod budget;
pub mod choose;
pub mod observed;
pub mod outlier;
pub mod table;
pub mod upstream;
pub mod versions;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        budget::RetryBudget,
        choose::choose_instance,
        observed::ObservedAdapters,
        outlier::{AttemptOutcome, OutlierDetector},
        table::{
            BaseModel, EngineShape, Limits, Route, RouteKind, RouteTable, Service, ServiceId,
            ServiceShare,
        },
        upstream::{
            AdapterName, AdapterVersion, ResidentModel, Upstream, UpstreamId, UpstreamState,
            UpstreamTable,
        },
        versions::AdapterVersions,
    };
}
pub use prelude::*;

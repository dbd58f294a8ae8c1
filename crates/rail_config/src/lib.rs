//! Fleet configuration: base models, adapters, versions and upstreams.
//!
//! [`Fleet`] is one immutable generation. Operators submit [`Change`]s; [`Fleet::apply`] checks
//! them and returns the next generation. [`Head`] and [`Segment`] are the stored form: segments are
//! written once, and a generation is accepted by the conditional update of the head.

pub mod change;
pub mod fleet;
pub mod model_name;
pub mod segment;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        change::{Change, ChangeError},
        fleet::{
            Adapter, Base, Fleet, Generation, ResolveError, StoreBudget, Upstream, UpstreamKind,
            Urgency,
        },
        model_name::{ModelName, ModelNameError},
        segment::{Head, Segment},
    };
}
pub use prelude::*;

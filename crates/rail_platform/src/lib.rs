//! Client of the platform object API and of the list of live hosts.
//!
//! The platform is met through the published Kubernetes API: objects are
//! `ConfigMap`s with one value, hosts are `EndpointSlice`s. [`PlatformClient`]
//! makes single calls; [`WatchCache`] keeps a copy of all objects of one
//! [`ObjectKind`]. A write whose reply is lost is settled by the caller, who
//! reads the object back ([`Error::is_effect_unknown`]).

pub mod client;
pub mod config;
pub mod error;
pub mod object;
pub mod watch;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        client::PlatformClient,
        config::ConfigFollower,
        error::{Error, Result},
        object::{Object, ObjectKind, ObjectVersion},
        watch::WatchCache,
    };
}
pub use prelude::*;

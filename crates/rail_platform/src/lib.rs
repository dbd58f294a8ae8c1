//! Client of the platform object API and of the list of live hosts.
//!
//! The platform is met through the published Kubernetes API: objects are
//! `ConfigMap`s with one value, hosts are `EndpointSlice`s. [`PlatformClient`]
//! makes single calls; [`WatchCache`] keeps a copy of all objects of one
//! [`ObjectKind`] and lists again after a gap; [`RecordCache`] reads their values. All calls draw on one
//! [`CallBudget`]. [`PlatformClient::write_until_resolved`] repeats and reads back a
//! conditional write until its outcome is known; [`WriteResolution`] decides how.

pub mod backoff;
pub mod budget;
pub mod client;
pub mod conditional_write;
pub mod config;
pub mod error;
pub mod hosts;
pub mod object;
pub mod records;
pub mod watch;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        backoff::Backoff,
        budget::CallBudget,
        client::PlatformClient,
        conditional_write::{ConditionalWrite, WriteOutcome, WriteResolution},
        config::ConfigFollower,
        error::{Error, Result},
        hosts::HostList,
        object::{Object, ObjectKind, ObjectVersion},
        records::RecordCache,
        watch::WatchCache,
    };
}
pub use prelude::*;

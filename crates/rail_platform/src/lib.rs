//! Client of the platform object API and of the list of live hosts.
//!
//! The platform is met through the published Kubernetes API: objects are
//! `ConfigMap`s with one value, hosts are `EndpointSlice`s. [`PlatformClient`]
//! makes single calls; [`WatchCache`] keeps a copy of all objects of one
//! [`ObjectKind`] and lists again after a gap; [`RecordCache`] reads their values. All calls draw on one
//! [`CallBudget`]. [`PlatformClient::write_settled`] repeats and reads back a
//! conditional write until its outcome is known; [`Settlement`] decides how.

pub mod backoff;
pub mod budget;
pub mod client;
pub mod config;
pub mod error;
pub mod hosts;
pub mod object;
pub mod records;
pub mod settle;
pub mod watch;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        backoff::Backoff,
        budget::CallBudget,
        client::PlatformClient,
        config::ConfigFollower,
        error::{Error, Result},
        hosts::HostList,
        object::{Object, ObjectKind, ObjectVersion},
        records::RecordCache,
        settle::{Settled, Settlement, Write},
        watch::WatchCache,
    };
}
pub use prelude::*;

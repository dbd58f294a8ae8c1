//! Client of the platform's object API and of its list of hosts.
//!
//! The platform is accessed through the Kubernetes API: an object is a
//! `ConfigMap` with one value, and the hosts are listed in `EndpointSlice`s.
//! [`PlatformClient`] makes single calls. [`WatchCache`] keeps a copy of all
//! objects of one [`ObjectKind`] and lists them again after missed events;
//! [`RecordCache`] decodes their values. One [`CallBudget`] limits the rate of
//! all calls. [`PlatformClient::write_until_resolved`] repeats a conditional
//! write, and reads the object back, until the outcome is known;
//! [`WriteResolution`] decides on each step.

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

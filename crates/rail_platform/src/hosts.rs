//! The platform's list of hosts that are live or leaving; a hint with lag.

use crate::{client::PlatformClient, object::ObjectKind, watch::WatchCache};
use serde::{Deserialize, Serialize};
use std::{net::IpAddr, time::Duration};

/// One host of the list, as the platform writes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Addresses of the host.
    pub addresses: Vec<IpAddr>,
    /// State of the host.
    #[serde(default)]
    pub conditions: Conditions,
}

/// State of a host of the list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conditions {
    /// Whether it takes work.
    pub ready: Option<bool>,
    /// Whether it is leaving.
    pub terminating: Option<bool>,
}

/// Local copy of the host list; clones share it.
#[derive(Debug, Clone)]
pub struct HostList {
    cache: WatchCache,
}

impl HostList {
    /// Starts watching the list on the current actix thread.
    pub fn spawn(client: PlatformClient) -> Self {
        Self { cache: WatchCache::spawn(client, ObjectKind::HostList) }
    }

    /// Lists the addresses of hosts that are leaving, in order.
    pub fn leaving(&self) -> Vec<IpAddr> {
        let mut addresses: Vec<IpAddr> = self.cache.with_objects(|objects| {
            let endpoints = objects.values().flat_map(|object| &object.endpoints);
            let leaving = endpoints.filter(|e| e.conditions.terminating == Some(true));
            leaving.flat_map(|e| e.addresses.iter().copied()).collect()
        });
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Tells how long ago the platform last confirmed the copy.
    pub fn age(&self) -> Option<Duration> {
        self.cache.age()
    }
}

//! The platform's list of live and leaving hosts. The list lags, so it is only a hint.

use crate::{client::PlatformClient, object::ObjectKind, watch::WatchCache};
use serde::{Deserialize, Serialize};
use std::{net::IpAddr, time::Duration};

/// One host in an `EndpointSlice`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// IP addresses of the host.
    pub addresses: Vec<IpAddr>,
    /// State of the host; nothing is known when the platform omits it.
    #[serde(default)]
    pub conditions: Conditions,
}

/// State of a host in the list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conditions {
    /// Whether the host accepts work.
    pub ready: Option<bool>,
    /// Whether the host is shutting down.
    pub terminating: Option<bool>,
}

/// Local cache of the host list; clones share it.
#[derive(Debug, Clone)]
pub struct HostList {
    cache: WatchCache,
}

impl HostList {
    /// Spawns a task on the current actix thread that watches the list.
    pub fn spawn(client: PlatformClient) -> Self {
        Self { cache: WatchCache::spawn(client, ObjectKind::HostList) }
    }

    /// Returns the addresses of hosts that are leaving, sorted and without duplicates.
    pub fn leaving(&self) -> Vec<IpAddr> {
        let mut addresses: Vec<IpAddr> = self.cache.with_objects(|objects| {
            let endpoints = objects.values().flat_map(|object| &object.endpoints);
            let leaving =
                endpoints.filter(|endpoint| endpoint.conditions.terminating == Some(true));
            leaving.flat_map(|endpoint| endpoint.addresses.iter().copied()).collect()
        });
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns the time since the platform last confirmed the list; `None` before the first time.
    pub fn age(&self) -> Option<Duration> {
        self.cache.age()
    }
}

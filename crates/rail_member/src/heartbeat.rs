//! What a process tells its peers at each interval.

use serde::{Deserialize, Serialize};
use std::{
    net::{IpAddr, SocketAddr},
    time::{Duration, SystemTime},
};

/// Which daemon a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Caller API.
    Gateway,
    /// Owner of engines.
    Scheduler,
    /// Operator RPC.
    Admin,
}

impl Role {
    /// Names the role.
    pub fn name(self) -> &'static str {
        match self {
            Self::Gateway => "gateway",
            Self::Scheduler => "scheduler",
            Self::Admin => "admin",
        }
    }
}

/// State of one process at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Host that runs the process.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Which daemon it is.
    pub role: Role,
    /// Grows with each restart of the process.
    pub incarnation: u64,
    /// Grows with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Configuration generation in force.
    pub generation: u64,
    /// Whether the process is stopping.
    pub leaving: bool,
    /// Engines that it owns.
    pub owned: Vec<String>,
    /// Requests in progress.
    pub in_flight: u32,
    /// Address that the process serves on.
    pub address: Option<SocketAddr>,
    /// Time since the generation was known to be the newest, when the heartbeat was made.
    pub confirmed_age: Option<Duration>,
    /// Whether the process knew the platform and can't reach it any more.
    pub sees_outage: bool,
    /// Addresses of upstreams that the platform's host list shows as leaving.
    pub leaving_upstreams: Vec<IpAddr>,
}

impl Heartbeat {
    /// Starts the heartbeats of a process.
    ///
    /// The incarnation is the wall clock in milliseconds: it orders the starts of one process on
    /// one host and is never compared between hosts.
    pub fn start(host: &str, zone: &str, role: Role) -> Self {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self {
            host: host.to_owned(),
            zone: zone.to_owned(),
            role,
            incarnation: since_epoch.map_or(0, |time| time.as_millis() as u64),
            sequence: 0,
            generation: 0,
            leaving: false,
            owned: Vec::new(),
            in_flight: 0,
            address: None,
            confirmed_age: None,
            sees_outage: false,
            leaving_upstreams: Vec::new(),
        }
    }
}

//! Heartbeats that the daemons of a host send to their peers at a fixed interval.

use serde::{Deserialize, Serialize};
use std::{
    net::{IpAddr, SocketAddr},
    time::{Duration, SystemTime},
};

/// Daemon that a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Serves the API for callers.
    Gateway,
    /// Owns engines and schedules requests on them.
    Scheduler,
    /// Serves the RPC interface for operators.
    Admin,
}

impl Role {
    /// Returns the name of the role in lower case.
    pub fn name(self) -> &'static str {
        match self {
            Self::Gateway => "gateway",
            Self::Scheduler => "scheduler",
            Self::Admin => "admin",
        }
    }
}

/// State of one process at the moment at which it sent this heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Host that runs the process.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Daemon that the process runs.
    pub role: Role,
    /// Orders the starts of the process: grows with each restart.
    pub incarnation: u64,
    /// Orders the heartbeats of one incarnation: grows with each.
    pub sequence: u64,
    /// Configuration generation that the process applied; 0 before the first.
    pub generation: u64,
    /// Whether the process is shutting down.
    pub leaving: bool,
    /// Engines that the process owns.
    pub owned: Vec<String>,
    /// Requests in progress.
    pub in_flight: u32,
    /// Address on which the process serves callers or peers, once it listens.
    pub address: Option<SocketAddr>,
    /// Time since the applied generation was last confirmed as the newest, measured when the
    /// heartbeat was made; none without a confirmation.
    pub confirmed_age: Option<Duration>,
    /// Whether the process reached the platform since its start, but not within
    /// [`OUTAGE_AFTER`](crate::freshness::OUTAGE_AFTER).
    pub sees_outage: bool,
    /// Addresses of upstreams that the platform's host list shows as leaving.
    pub leaving_upstreams: Vec<IpAddr>,
}

impl Heartbeat {
    /// Creates the first heartbeat of a process that starts now.
    ///
    /// The incarnation is the wall clock time in milliseconds. It orders the starts of one process
    /// on one host and is never compared between hosts.
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

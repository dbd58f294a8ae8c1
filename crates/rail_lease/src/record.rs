//! Records kept in the platform's object API.

use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Identity of one session; a restarted process gets another.
pub type SessionId = u64;
/// Number that grows with each transfer of a resource.
pub type FenceNumber = u64;
/// Name of an entry host.
pub type HostId = String;
/// Name of an owned resource: an engine, or the weight store's load budget.
pub type ResourceId = String;

/// A scheduler process that may own resources.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SessionRecord {
    /// Identity.
    pub session_id: SessionId,
    /// Host that runs the process.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: String,
    /// Address of the peer endpoint.
    pub address: SocketAddr,
    /// Time to live in milliseconds.
    pub ttl_ms: u64,
    /// Number of renewals so far.
    pub renewals: u64,
    /// Whether the session takes no new resources.
    pub leaving: bool,
    /// Whether the session has ended.
    pub revoked: bool,
    /// Processes that a revoker needs the pledges of.
    #[serde(default)]
    pub witnesses: Vec<Witness>,
}

impl SessionRecord {
    /// Gives the time to live.
    pub fn ttl(&self) -> Duration {
        Duration::from_millis(self.ttl_ms)
    }
}

/// A process that takes part in deciding whether a session outlives a platform outage.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Witness {
    /// Session of the process; a restarted process is another witness.
    pub session_id: SessionId,
    /// Address of its peer endpoint.
    pub address: SocketAddr,
}

/// Who owns a resource.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OwnershipRecord {
    /// Resource.
    pub resource: ResourceId,
    /// Session that owns it while that session is in force.
    pub session_id: SessionId,
    /// Address of the owner's peer endpoint.
    pub address: SocketAddr,
    /// Fencing number; only grows.
    pub fence: FenceNumber,
    /// Whether the owner gave the resource back.
    pub released: bool,
}

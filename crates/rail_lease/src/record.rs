//! Records that are stored in the platform's object API.

use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Identifier of a session; a restarted process has another one.
pub type SessionId = u64;
/// Fencing number: grows with each transfer of a resource, so that outdated orders can be refused.
pub type FenceNumber = u64;
/// Name of an entry host.
pub type HostId = String;
/// Name of an owned resource: an engine, or the weight store's load budget.
pub type ResourceId = String;

/// Session of a scheduler process, under which the process may own resources.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SessionRecord {
    /// Identifier of the session.
    pub session_id: SessionId,
    /// Host that runs the process.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: String,
    /// Address of the peer endpoint of the process.
    pub address: SocketAddr,
    /// Time to live after a renewal, in milliseconds.
    pub ttl_ms: u64,
    /// Number of renewals so far.
    pub renewals: u64,
    /// Whether the process is shutting down and takes over no resources.
    pub leaving: bool,
    /// Whether the session has ended, so that its resources may be taken over.
    pub revoked: bool,
    /// Processes that may confirm the session in an outage of the platform.
    ///
    /// Until the maximum outage has passed, the session may be revoked only after promises of a
    /// majority of them, or with proof that its process has ended.
    #[serde(default)]
    pub witnesses: Vec<Witness>,
}

impl SessionRecord {
    /// Returns the time to live after a renewal.
    pub fn ttl(&self) -> Duration {
        Duration::from_millis(self.ttl_ms)
    }
}

/// A process that helps decide whether a session stays valid during a platform outage.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Witness {
    /// Session of the process; a restarted process is another witness.
    pub session_id: SessionId,
    /// Address of the peer endpoint of the process.
    pub address: SocketAddr,
}

/// Owner of a resource.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OwnershipRecord {
    /// Name of the resource.
    pub resource: ResourceId,
    /// Session that owns the resource while it is valid.
    pub session_id: SessionId,
    /// Address of the owner's peer endpoint.
    pub address: SocketAddr,
    /// Fencing number, which never decreases.
    pub fence: FenceNumber,
    /// Whether the owner released the resource.
    pub released: bool,
}

//! Messages between processes.

use rail_member::Heartbeat;
use rail_request::{WorkEvent, WorkOrder};
use serde::{Deserialize, Serialize};

/// What a process asks of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Exchange heartbeats: the sender's own and those that it knows.
    Heartbeats(Vec<Heartbeat>),
    /// Run a request on an engine that the receiver owns.
    Work(WorkOrder),
}

/// What comes back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Heartbeats that the receiver knows.
    Heartbeats(Vec<Heartbeat>),
    /// Progress of a request.
    Work(WorkEvent),
}

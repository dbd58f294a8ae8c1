//! Messages between processes.

use rail_lease::{WitnessRefusal, WitnessRequest};
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
    /// Exchange only the heartbeats of the two processes.
    OwnHeartbeat(Heartbeat),
    /// Send the configuration in force if it is greater.
    Configuration {
        /// Generation in force at the sender.
        above: u64,
        /// Segments that the sender has.
        known_segments: Vec<String>,
    },
    /// Grant a permit for one load; the load ends when the sender drops the call.
    LoadPermit(PermitRequest),
    /// Act as a witness of a session.
    Witness(WitnessRequest),
}

/// A load that waits for its permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Whether urgent work waits for the load.
    pub urgent: bool,
    /// Worth of the load in thousandths; greater goes first.
    pub worth_milli: u64,
}

/// Progress of a request for a load permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// It waits for its turn.
    Queued,
    /// The load may start.
    Granted,
    /// The receiver does not own the load budget.
    NotOwner,
}

/// What comes back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Heartbeats that the receiver knows.
    Heartbeats(Vec<Heartbeat>),
    /// Progress of a request.
    Work(WorkEvent),
    /// Root of a generation as JSON text.
    ConfigurationHead(String),
    /// One segment of that generation.
    ConfigurationSegment {
        /// Name made from the content.
        name: String,
        /// JSON text.
        text: String,
    },
    /// Progress of a request for a load permit.
    LoadPermit(PermitReply),
    /// What a witness answers.
    Witness(Result<(), WitnessRefusal>),
}

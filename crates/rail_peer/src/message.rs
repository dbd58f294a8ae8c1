//! Messages between processes.

use rail_lease::{WitnessRefusal, WitnessRequest};
use rail_member::{Heartbeat, HeartbeatUpdate, HostHeartbeat, RecordText, replica::RecordKind};
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
    /// Exchange the newest pulse of each host, with the beats of hosts that may be unknown.
    #[serde(rename = "Beats")]
    HeartbeatUpdates(Vec<HeartbeatUpdate>, Vec<HostHeartbeat>),
    /// Pass on all records of the store and their changes.
    Feed,
    /// Pass on the configuration record.
    Config,
    /// Let a request start on an engine that the receiver owns; the grant ends when the sender
    /// drops the call.
    #[serde(rename = "Place")]
    Grant(GrantRequest),
}

/// A request that asks the owner of an engine whether it may start there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Identity of the request, for the log of the owner.
    pub request: String,
    /// Engine.
    pub upstream: String,
    /// Base model.
    pub model: String,
    /// Adapter, if one is named.
    pub adapter: Option<String>,
    /// Rank; 0 goes first.
    #[serde(rename = "rank")]
    pub priority: u8,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Longest estimated wait with which it wants to be taken, in milliseconds.
    #[serde(rename = "max_estimate_ms")]
    pub max_estimated_wait_ms: u32,
    /// Time for which it can wait, in milliseconds.
    pub wait_ms: u32,
    /// Longest backlog of prompts that it accepts, in milliseconds.
    pub max_backlog_ms: u32,
}

/// Part of a feed of the store's records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedItem {
    /// A record as it stands.
    Put {
        /// Kind.
        kind: RecordKind,
        /// Name.
        name: String,
        /// Revision of its last change.
        revision: u64,
        /// Content as JSON text.
        text: RecordText,
    },
    /// A record is gone.
    Removed {
        /// Kind.
        kind: RecordKind,
        /// Name.
        name: String,
    },
    /// Every record of a kind was passed on, as of this revision.
    Complete {
        /// Kind.
        kind: RecordKind,
        /// Names of all records.
        names: Vec<String>,
        /// Revision of the store.
        revision: u64,
    },
    /// The sender's records are still fresh.
    Alive {
        /// Revision of the store up to which upstreams are known.
        revision: u64,
        /// Time since the store was heard, in milliseconds.
        age_ms: u32,
    },
    /// The sender has lost the store, or feeds enough others.
    Lost,
}

/// What the owner of an engine answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantReply {
    /// It waits for its turn; another reply follows.
    Queued,
    /// It may start, on this version if one is given.
    Granted(Option<u64>),
    /// It can't start in time; it may come back after so many milliseconds.
    Refused(u32),
    /// The receiver does not own the engine.
    NotOwner,
}

/// How a granted request ended, as the code with which the call is dropped.
pub mod release_code {
    /// It ran, or its caller left.
    pub const ENDED: u32 = 0;
    /// The engine said that the adapter was not ready.
    pub const NOT_READY: u32 = 1;
    /// The engine said that it does not hold the adapter.
    pub const ABSENT: u32 = 2;
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
    /// The newest pulse of each host that the receiver knows, with the beats of hosts of which the
    /// sender's pulses show that it does not know them.
    #[serde(rename = "Beats")]
    HeartbeatUpdates(Vec<HeartbeatUpdate>, Vec<HostHeartbeat>),
    /// A record, or how far the feed is.
    Feed(FeedItem),
    /// Whether a request may start.
    #[serde(rename = "Place")]
    Grant(GrantReply),
    /// What a witness answers.
    Witness(Result<(), WitnessRefusal>),
}

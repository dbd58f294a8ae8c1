//! Messages that processes exchange over peer links.

use crate::format::LinkFormat;
use rail_lease::{WitnessRefusal, WitnessRequest};
use rail_limit::RequestRate;
use rail_member::{
    Heartbeat, HeartbeatUpdate, HostHeartbeat, RecordAges, RecordText, replica::RecordKind,
};
use rail_origin::{OriginKnowledge, StreamKey};
use rail_place::{GrantOutcome, StreamTiming};
use rail_request::{RecordNews, WorkEvent, WorkOrder};
use rail_revision::Revision;
use rail_route::{ServiceId, SoftwareVersion, UpstreamId};
use rail_workspace::{QuotaReply, QuotaRequest};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// A request from one process to another.
///
/// Variants are encoded by position: add new ones at the end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Exchanges heartbeats: the sender's own and all that the receiver has.
    Heartbeats(Vec<Heartbeat>),
    /// Runs a request on an engine that the receiver owns.
    Work(WorkOrder),
    /// Exchanges only the heartbeats of the two processes.
    OwnHeartbeat(Heartbeat),
    /// Requests the receiver's applied configuration if it is newer than the sender's.
    Configuration {
        /// Generation that the sender has applied.
        above: u64,
        /// Names of the segments that the sender has and the reply may omit.
        known_segments: Vec<String>,
    },
    /// Requests a permit for one load. The load counts as finished when the sender drops the call.
    LoadPermit(PermitRequest),
    /// Requests that the receiver acts as a witness of a session.
    Witness(WitnessRequest),
    /// Exchanges the newest update of each host, with the full heartbeats of hosts that the
    /// receiver may not have yet.
    #[serde(rename = "Beats")]
    HeartbeatUpdates(Vec<HeartbeatUpdate>, Vec<HostHeartbeat>),
    /// Subscribes to all records of the store and their changes.
    Feed,
    /// Subscribes to the configuration record.
    Config,
    /// Requests a grant to start a request on an engine that the receiver owns. The grant ends
    /// when the sender drops the call.
    #[serde(rename = "Place")]
    Grant(GrantRequest),
    /// Tells of requests that crash their upstreams; the reply has records that the sender lacks.
    Quarantine(QuarantineExchange),
    /// Requests the trial of a request that may crash its upstream. The trial ends when the sender
    /// drops the call.
    Trial(TrialRequest),
    /// Requests records that the sender lacks, since its own are old.
    Changes(ChangesRequest),
    /// Tells of the limit that an upstream names, and requests a permit to send it a request.
    SendPermit(SendPermitRequest),
    /// Tells at which software versions streams began.
    StreamStarts(StreamStarts),
    /// Asks at which software version a stream began.
    StreamOrigin(StreamOriginRequest),
    /// Requests a grant for a request of a workspace; otherwise as [`PeerRequest::Grant`].
    WorkspaceGrant(WorkspaceGrantRequest),
    /// Requests an instance of a plain service from the host that dispatches the service. The run ends
    /// when the sender drops the call.
    Dispatch(DispatchRequest),
    /// Reports what the sender used of quotas, and requests more from their issuer.
    Quota(QuotaRequest),
}

impl PeerRequest {
    /// Returns the oldest format of a link that knows this kind of request.
    pub fn format(&self) -> LinkFormat {
        match self {
            Self::Heartbeats(_)
            | Self::Work(_)
            | Self::OwnHeartbeat(_)
            | Self::Configuration { .. }
            | Self::LoadPermit(_)
            | Self::Witness(_)
            | Self::HeartbeatUpdates(..)
            | Self::Feed
            | Self::Config
            | Self::Grant(_)
            | Self::Quarantine(_)
            | Self::Trial(_)
            | Self::Changes(_)
            | Self::SendPermit(_)
            | Self::StreamStarts(_)
            | Self::StreamOrigin(_) => LinkFormat::V1,
            Self::WorkspaceGrant(_) | Self::Dispatch(_) | Self::Quota(_) => LinkFormat::V2,
        }
    }
}

/// Requests a grant to start a request of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceGrantRequest {
    /// The request.
    pub grant: GrantRequest,
    /// Name of its workspace.
    pub workspace: String,
}

/// Requests an instance for one run of a request to a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchRequest {
    /// Service of the request.
    pub service: ServiceId,
    /// Availability zone of the sender.
    pub zone: String,
    /// Priority of the request; 0 starts first.
    pub priority: u8,
    /// Time after which the answer is late, in milliseconds.
    pub late_in_ms: u32,
    /// Time for which the request can wait, in milliseconds.
    pub wait_ms: u32,
    /// Time after which the run has certainly ended, in milliseconds.
    pub deadline_ms: u32,
    /// Upstreams that must not run it.
    pub excluded: Vec<UpstreamId>,
}

/// Reply to a [`DispatchRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchReply {
    /// The request waits; another reply follows.
    Queued,
    /// The request may be sent to this upstream.
    Send(UpstreamId),
    /// The request can't start in time; it may be retried after this many milliseconds.
    Refused(u32),
    /// The receiver does not dispatch the service, or knows no upstream that may run the request.
    NotDispatcher,
}

/// Streams of a service that began lately, by the software version at which they began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamStarts {
    /// Service of the streams.
    pub service: ServiceId,
    /// Streams by version.
    pub streams: BTreeMap<SoftwareVersion, Vec<StreamKey>>,
}

/// Asks at which software version a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOriginRequest {
    /// Service of the stream.
    pub service: ServiceId,
    /// The stream.
    pub stream: StreamKey,
}

/// The limit of one start of an upstream, as a host knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNews {
    /// Rate that the upstream takes from all hosts together, `None` if it names none any more.
    pub rate: Option<RequestRate>,
    /// Time since the answer that says so, in milliseconds.
    pub age_ms: u32,
}

/// Requests a permit to send a request to an upstream that names a limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendPermitRequest {
    /// Identity of the upstream.
    pub upstream: String,
    /// Start of the upstream in Unix milliseconds, if known.
    pub started_unix_ms: Option<u64>,
    /// What the sender knows of the limit.
    pub limit: LimitNews,
    /// Whether a permit is requested; otherwise the message only tells of the limit.
    pub wants_permit: bool,
    /// Whether the request is urgent.
    pub is_urgent: bool,
}

/// Reply to a [`SendPermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendPermitReply {
    /// What the receiver knows of the limit.
    pub limit: LimitNews,
    /// Time after which the sender may ask again, in milliseconds; `None` if the request may be
    /// sent.
    pub refused_ms: Option<u32>,
}

/// Requests records from a host whose own are more recent. The receiver keeps the request open until
/// that is so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// Revision up to which the sender has each kind, in the order of [`RecordKind::ALL`].
    pub revisions: [Revision; 4],
    /// Ages of the sender's records.
    pub record_ages: RecordAges,
}

/// Quarantine records that one host sends to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineExchange {
    /// Records that the sender has learned lately.
    pub news: Vec<RecordNews>,
    /// Hash of all records of the sender, to which the receiver replies with its own if it differs;
    /// none if the sender wants no records.
    pub digest: Option<u64>,
}

/// Requests the trial of a request that may crash its upstream from the host that coordinates the
/// trials of the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRequest {
    /// Random ID of the call.
    pub trial_id: u64,
    /// Record of the request.
    pub record: RecordNews,
    /// Upstreams that may run the trial, the preferred one first.
    pub candidates: Vec<String>,
    /// Time for which the call can wait, in milliseconds.
    pub wait_ms: u32,
}

/// Reply to a [`TrialRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialReply {
    /// The call is queued; another reply follows.
    Queued,
    /// The trial may start on this upstream, or on any but the avoided ones.
    Start {
        /// The only upstream that may run it.
        upstream: Option<String>,
        /// Upstreams with trials that must not be disturbed.
        avoided: Vec<String>,
        /// Record of the request, which the sender may not know yet.
        record: Option<RecordNews>,
    },
    /// The request is no suspect any more.
    Run,
    /// The trial can't start in time; the caller may retry after this many milliseconds.
    Busy(u64),
    /// The request is quarantined for this many milliseconds.
    Quarantined(u64),
}

/// Requests a grant from the owner of an engine to start one request there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Identity of the request, for the owner's log.
    pub request: String,
    /// Name of the engine.
    pub upstream: String,
    /// Base model that the request needs.
    pub model: String,
    /// Adapter that the request needs; none runs on the base model itself.
    pub adapter: Option<String>,
    /// Priority of the request; 0 starts first.
    #[serde(rename = "rank")]
    pub priority: u8,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Longest estimated wait, in milliseconds, with which the owner may queue the request.
    #[serde(rename = "max_estimate_ms")]
    pub max_estimated_wait_ms: u32,
    /// Time for which the request can wait in the queue, in milliseconds.
    pub wait_ms: u32,
    /// Longest backlog of prompts that the request accepts, in milliseconds.
    pub max_backlog_ms: u32,
    /// Longest pause between two events for which the answer is in time, in milliseconds.
    pub max_event_gap_ms: Option<u32>,
    /// Time after which the first event is late, in milliseconds.
    pub late_in_ms: u32,
    /// Whether the request is queued although its first event would be late.
    pub may_be_late: bool,
    /// Hashes and lengths in tokens of the leading parts of the prompt that other requests may share.
    pub shared_parts: Vec<(u64, u32)>,
}

/// One item of a feed of the store's records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedItem {
    /// A record was created or changed.
    Put {
        /// Kind of the record.
        kind: RecordKind,
        /// Name of the record, unique within its kind.
        name: String,
        /// Store revision of the record's last change.
        revision: Revision,
        /// Content as JSON text.
        text: RecordText,
    },
    /// A record was deleted.
    Removed {
        /// Kind of the record.
        kind: RecordKind,
        /// Name of the record, unique within its kind.
        name: String,
        /// Revision of the store at which the record was gone.
        revision: Revision,
    },
    /// Every record of a kind was sent, as of this revision.
    Complete {
        /// Kind of the records.
        kind: RecordKind,
        /// Names of all records of the kind; the receiver removes any other.
        names: Vec<String>,
        /// Revision of the store at which the listing is complete.
        revision: Revision,
    },
    /// The sender has sent every change that it knows.
    Alive {
        /// Revision up to which every change of each kind was sent, in the order of
        /// [`RecordKind::ALL`].
        revisions: [Revision; 4],
        /// Ages of the records that were sent before this item.
        record_ages: RecordAges,
        /// When the sender had these ages, in milliseconds since it received the request for this
        /// feed.
        at_ms: u64,
    },
    /// The feed ends: the sender has lost the store, or already feeds enough other hosts.
    Lost,
    /// The store answers again after it was unavailable to all hosts.
    StoreRecovered {
        /// Time since its first answer, in milliseconds.
        ago_ms: u32,
    },
}

/// Reply of an engine's owner to a [`GrantRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantReply {
    /// The request is queued; another reply follows.
    Queued,
    /// The request may start, with this adapter version if one is given.
    Granted(Option<u64>),
    /// The request can't start in time; it may be retried after this many milliseconds.
    Refused(u32),
    /// The receiver does not own the engine.
    NotOwner,
}

/// How a granted request ended. It is reported as the code with which its call is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantRelease {
    /// Outcome of the request.
    pub outcome: GrantOutcome,
    /// Times of its answer, if it was a stream.
    pub timing: Option<StreamTiming>,
}

impl GrantRelease {
    /// Bits of the outcome, the lowest ones. They are zero for a call that is dropped without a code,
    /// and earlier builds send nothing else of a request that has run.
    const OUTCOME_BITS: u32 = 2;
    /// Bits of the time until the first event in milliseconds plus one; 0 without a stream.
    const FIRST_EVENT_BITS: u32 = 16;
    /// Bits of the mean time between two events in milliseconds plus one; 0 without one.
    const INTERVAL_BITS: u32 = 12;
    /// Bit that tells the end of a run from an abandoned one, which earlier builds ignore.
    const ENDED_BIT: u32 = 1 << 30;

    /// Returns the code that reports this end. Times beyond its bits are reported as the longest one.
    pub fn code(self) -> u32 {
        let outcome = match self.outcome {
            GrantOutcome::Ended => Self::ENDED_BIT,
            GrantOutcome::Abandoned => 0,
            GrantOutcome::NotReady => 1,
            GrantOutcome::Absent => 2,
        };
        let first_event = self.timing.map(|timing| timing.first_event);
        let interval = self.timing.and_then(|timing| timing.event_interval);
        let times = encode_ms(interval, Self::INTERVAL_BITS) << Self::FIRST_EVENT_BITS
            | encode_ms(first_event, Self::FIRST_EVENT_BITS);
        times << Self::OUTCOME_BITS | outcome
    }

    /// Decodes the code of a dropped call. An unknown outcome is the end of the request.
    pub fn from_code(code: u64) -> Self {
        let outcome = match code & ((1 << Self::OUTCOME_BITS) - 1) {
            0 if code & u64::from(Self::ENDED_BIT) == 0 => GrantOutcome::Abandoned,
            1 => GrantOutcome::NotReady,
            2 => GrantOutcome::Absent,
            _ => GrantOutcome::Ended,
        };
        let times = code >> Self::OUTCOME_BITS;
        let timing = decode_ms(times, Self::FIRST_EVENT_BITS).map(|first_event| StreamTiming {
            first_event,
            event_interval: decode_ms(times >> Self::FIRST_EVENT_BITS, Self::INTERVAL_BITS),
        });
        Self { outcome, timing }
    }
}

fn encode_ms(time: Option<Duration>, bits: u32) -> u32 {
    let max = (1 << bits) - 1;
    time.map_or(0, |time| u32::try_from(time.as_millis() + 1).unwrap_or(max).min(max))
}

fn decode_ms(code: u64, bits: u32) -> Option<Duration> {
    let encoded = code & ((1 << bits) - 1);
    encoded.checked_sub(1).map(Duration::from_millis)
}

/// Requests a permit for one load from the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Whether urgent work waits for the load.
    pub urgent: bool,
    /// Worth of the load (`Objective::load_worth` of `rail_place`) times 1000. Among loads of equal
    /// urgency and wait the one of greater worth is granted first.
    pub worth_milli: u64,
}

/// Progress of a request for a load permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The request is queued; another reply follows.
    Queued,
    /// The load may start.
    Granted,
    /// The receiver does not own the load budget.
    NotOwner,
}

/// A reply to a [`PeerRequest`]; some requests have several.
///
/// Variants are encoded by position: add new ones at the end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Heartbeats that the replying process has.
    Heartbeats(Vec<Heartbeat>),
    /// Progress of a request.
    Work(WorkEvent),
    /// Head of a configuration generation as JSON text.
    ConfigurationHead(String),
    /// One segment of that generation.
    ConfigurationSegment {
        /// Name of the segment, derived from its content.
        name: String,
        /// Content as JSON text.
        text: String,
    },
    /// Progress of a request for a load permit.
    LoadPermit(PermitReply),
    /// The newest update of each host that the replying process has, with the full heartbeats of
    /// the hosts that are missing from the request's updates.
    #[serde(rename = "Beats")]
    HeartbeatUpdates(Vec<HeartbeatUpdate>, Vec<HostHeartbeat>),
    /// One item of a feed.
    Feed(FeedItem),
    /// Progress of a grant request.
    #[serde(rename = "Place")]
    Grant(GrantReply),
    /// Decision of a witness.
    Witness(Result<(), WitnessRefusal>),
    /// Quarantine records that the sender of the request lacks.
    Quarantine(Vec<RecordNews>),
    /// Progress of a request for a trial.
    Trial(TrialReply),
    /// Decision on a request to an upstream that names a limit.
    SendPermit(SendPermitReply),
    /// The streams were recorded.
    StreamStarts,
    /// What the replying process knows about the origin of a stream.
    StreamOrigin(OriginKnowledge),
    /// Decision on a request to a plain service.
    Dispatch(DispatchReply),
    /// Decision on what a host used and needs of quotas.
    Quota(QuotaReply),
}

//! Event log of the process.

use rail_member::RecordAges;
use rail_request::{Fingerprint, UpstreamEnd};
use rail_revision::Revision;
use rail_runtime::{EventLog, EventPriority, MonotonicClock};
use serde::{Serialize, Serializer};

/// One line of the event log.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process started.
    Started { host: &'a str, zone: &'a str, process: u64 },
    /// Graceful shutdown began.
    Stopping { in_flight: u32 },
    /// The process exits.
    Stopped { in_flight: u32 },
    /// The settings file was reloaded.
    Reloaded { outcome: &'a str },
    /// The store became available or unavailable.
    Store { kind: &'a str, answers: bool, reason: &'a str },
    /// The store has returned from an older copy; this host keeps that many engines.
    StoreReturned { era: u32, kept_engines: usize },
    /// New links use the certificate authority that another host has written in this era.
    AuthorityChanged { era: u32 },
    /// Records are followed at another source: the store or a host.
    Source { source: &'a str },
    /// The feed of a source ended.
    SourceLost { source: &'a str, reason: &'a str },
    /// Records got old; the store and other hosts are asked for newer ones.
    Refresh {
        #[serde(serialize_with = "as_text")]
        record_ages: RecordAges,
    },
    /// All records are recent again.
    Refreshed {
        #[serde(serialize_with = "as_text")]
        record_ages: RecordAges,
    },
    /// The configuration was fetched from a host with a newer one, or the fetch failed.
    ConfigFetched { source: &'a str, reason: &'a str },
    /// A configuration was applied.
    Config { version: u64, before: u64, routes: usize },
    /// A complete listing is older than what is known, so its records are ignored.
    ListingOutdated { kind: &'a str, revision: Revision, known: Revision },
    /// A listing has a page that can't be read to its end, so it doesn't tell which records are gone.
    ListingIncomplete { kind: &'a str, revision: Revision },
    /// A record is invalid.
    BadRecord { kind: &'a str, name: &'a str, reason: String },
    /// An upstream registered, changed its state or was removed.
    Upstream { upstream: &'a str, service: &'a str, state: &'a str, revision: Revision },
    /// An upstream names another limit of requests than before, or none any more.
    UpstreamLimit { upstream: &'a str, limit_per_s: Option<f64> },
    /// The upstreams of a service say that they fall over when they turn away more requests a
    /// second than this, or don't say so any more.
    BrittleService { service: &'a str, max_refusals_per_s: Option<u32> },
    /// An instance of a plain service has become slower or faster than the others, or no longer is.
    UpstreamSpeed { upstream: &'a str, before: &'a str, class: &'a str, mean_work_ms: u64 },
    /// A new version of an adapter was announced.
    Version {
        adapter: &'a str,
        version: u64,
        /// Longest time since the announcement; none if nothing confirmed the versions before.
        #[serde(skip_serializing_if = "Option::is_none")]
        announced_within_ms: Option<u64>,
    },
    /// A request began to run on an older version of its adapter than the newest announced one.
    OldVersion {
        request: &'a str,
        upstream: &'a str,
        adapter: &'a str,
        /// Version that the upstream had to have; none if any could run the request.
        version: Option<u64>,
        newest: u64,
        /// Longest time from the announcement of the first newer version to the send and to the
        /// first part of the answer.
        sent_ms: u64,
        began_ms: u64,
    },
    /// The owner of an engine changed.
    Owner { engine: &'a str, host: &'a str, epoch: u64, fence: u64 },
    /// The lease of this host was acquired or could not be renewed.
    Lease { state: &'a str, epoch: u64, reason: &'a str },
    /// This host revoked the lease of another host.
    Revoked { host: &'a str, epoch: u64 },
    /// An order to an engine completed or failed.
    Order {
        engine: &'a str,
        order: &'a str,
        subject: &'a str,
        /// Version of the adapter that is loaded.
        #[serde(skip_serializing_if = "Option::is_none")]
        version: Option<u64>,
        expected: u64,
        fence: u64,
        outcome: &'a str,
        /// What the owner assumed about the engine's adapter slots when it sent the order.
        occupied: usize,
        proven: usize,
        report_age_ms: Option<u64>,
    },
    /// The owner of an engine refused a request, or granted it after a noticeable wait.
    Place {
        request: &'a str,
        engine: &'a str,
        adapter: &'a str,
        outcome: &'a str,
        warmth: &'a str,
        prompt_tokens: u32,
        /// Speed at which the engine seems to read prompts.
        reading_tokens_per_s: u64,
        /// Time for which a request is expected to keep a slot of the engine.
        slot_hold_ms: u64,
        waited_ms: u64,
        again_ms: u64,
        running: usize,
        waiting: usize,
    },
    /// An upstream was ejected for some time.
    Ejected { upstream: &'a str, reason: &'a str, request: &'a str },
    /// A request was sent to an upstream, and no whole answer came.
    RunLost {
        request: &'a str,
        fingerprint: Fingerprint,
        upstream: &'a str,
        sign: &'a str,
        is_trial: bool,
        /// Parts of the prompt that other requests may share.
        #[serde(skip_serializing_if = "<[_]>::is_empty")]
        prompt_parts: &'a [&'a str],
        /// Time for which the run had been answering.
        #[serde(skip_serializing_if = "Option::is_none")]
        answering_ms: Option<u64>,
    },
    /// An upstream that lost requests turned out to have ended.
    UpstreamEnded { upstream: &'a str, evidence: &'a str },
    /// No proof was found that an upstream which lost requests has ended; names the last sign.
    UpstreamEndUnproven { upstream: &'a str, sign: &'a str },
    /// An upstream ended while it ran a request, or answers nothing since.
    RequestCrashed {
        request: &'a str,
        key: &'a str,
        fingerprint: Fingerprint,
        upstream: &'a str,
        is_trial: bool,
        is_proven: bool,
        is_counted: bool,
    },
    /// The trial of a suspect starts, on any upstream if none is named.
    Trial {
        request: &'a str,
        key: &'a str,
        fingerprint: Fingerprint,
        crashes: u32,
        upstream: &'a str,
    },
    /// A suspect ran to its end.
    SuspectCleared { request: &'a str, key: &'a str, fingerprint: Fingerprint },
    /// From now on a request is refused, because the named upstreams ended while they ran it.
    Quarantined { key: &'a str, fingerprint: Fingerprint, ends: &'a [UpstreamEnd] },
    /// A request was refused because of the named ends of upstreams, or because its trial runs.
    QuarantineRefusal {
        request: &'a str,
        key: &'a str,
        fingerprint: Fingerprint,
        outcome: &'a str,
        ends: &'a [UpstreamEnd],
    },
    /// An attempt ended without a response that can be forwarded.
    Attempt {
        request: &'a str,
        fingerprint: Fingerprint,
        upstream: &'a str,
        attempt: u32,
        adapter: &'a str,
        waited_ms: u64,
        took_ms: u64,
        status: u16,
        outcome: &'a str,
        /// Who chose the upstream, and requests there that this host chose itself, this one included.
        chosen_by: &'static str,
        own_requests: u32,
        /// Ages in milliseconds of the records by which the upstream was chosen.
        #[serde(serialize_with = "as_text")]
        record_ages: RecordAges,
    },
    /// Memory for callers is short, so some requests are refused; names what holds it.
    MemoryShort {
        limit_bytes: usize,
        request_bytes: usize,
        answer_bytes: usize,
        connection_bytes: usize,
        connections: usize,
    },
    /// A caller's connection was closed to protect this host.
    CallerClosed { caller: &'a str, cause: &'a str },
    /// A request was refused before its first attempt.
    RefusedAtOnce {
        request: &'a str,
        reason: &'a str,
        status: u16,
        config: u64,
        /// Ages in milliseconds of the records by which the request was refused.
        #[serde(serialize_with = "as_text")]
        record_ages: RecordAges,
    },
    /// A request was refused because of the quota of its workspace, with what this host knows of it.
    QuotaRefusal {
        request: &'a str,
        reason: &'a str,
        status: u16,
        config: u64,
        workspace: &'a str,
        /// Units that the request costs.
        cost: u64,
        /// Units that this host may use before the issuer has deducted them, and has used so.
        credit: i64,
        credit_used: i64,
        issuer: &'a str,
        /// Time since the last reply of the issuer.
        issuer_age_ms: Option<u64>,
        again_ms: u64,
    },
    /// This host settles quotas with another issuer than before.
    QuotaIssuer { issuer: &'a str },
    /// A request ended.
    Request {
        request: &'a str,
        route: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        workspace: Option<&'a str>,
        config: u64,
        adapter: &'a str,
        upstream: &'a str,
        attempts: u32,
        status: u16,
        reason: &'a str,
        queue_ms: u64,
        first_ms: u64,
        /// Longest time between two parts of a stream.
        #[serde(skip_serializing_if = "Option::is_none")]
        longest_gap_ms: Option<u64>,
        /// Why the answer was late by the aims of its route.
        #[serde(skip_serializing_if = "Option::is_none")]
        late: Option<&'static str>,
        total_ms: u64,
        budget_ms: u64,
        /// Ages in milliseconds of the host's records when the request was last sent or refused.
        #[serde(serialize_with = "as_text")]
        record_ages: RecordAges,
        /// Requests a second that the last upstream named when a permit for it was requested.
        #[serde(skip_serializing_if = "Option::is_none")]
        limit_per_s: Option<f64>,
        /// Time since the upstream named that limit.
        #[serde(skip_serializing_if = "Option::is_none")]
        limit_age_ms: Option<u64>,
        /// Version of the software of the upstream that answered last.
        #[serde(skip_serializing_if = "Option::is_none")]
        software: Option<&'a str>,
        /// Request that began the stream which this one resumes, as the caller named it.
        #[serde(skip_serializing_if = "Option::is_none")]
        resumes: Option<&'a str>,
        /// Source that knew the software version at which the resumed stream began.
        #[serde(skip_serializing_if = "Option::is_none")]
        origin: Option<&'static str>,
        /// How the body of the upstream's response was framed, if there was one.
        #[serde(skip_serializing_if = "Option::is_none")]
        framing: Option<&'static str>,
        /// How that body ended.
        #[serde(skip_serializing_if = "Option::is_none")]
        ending: Option<&'static str>,
    },
}

fn as_text<S: Serializer>(ages: &RecordAges, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(ages)
}

/// Writes events to the log, with their time.
#[derive(Debug, Clone)]
pub struct Events {
    log: EventLog,
    clock: MonotonicClock,
}

impl Events {
    /// Opens the log.
    pub fn open(clock: MonotonicClock) -> Self {
        Self { log: EventLog::open(), clock }
    }

    /// Writes an event that explains a failure or a change of state.
    pub fn important(&self, event: &Event<'_>) {
        self.log.write(EventPriority::Important, self.clock.now(), event);
    }

    /// Writes an event of ordinary work, which is dropped first when the log is overloaded.
    pub fn routine(&self, event: &Event<'_>) {
        self.log.write(EventPriority::Routine, self.clock.now(), event);
    }

    /// Writes buffered lines to the output.
    pub fn flush(&self) {
        self.log.flush(self.clock.now());
    }

    /// Returns the number of lines that were dropped.
    pub fn dropped(&self) -> u64 {
        self.log.dropped()
    }
}

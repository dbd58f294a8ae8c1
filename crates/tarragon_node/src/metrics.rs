//! Metrics of the process: counters, histograms and table sizes.

use crate::{
    node::Node,
    service_metrics::{DispatchMetrics, QuotaMetrics},
};
use prometheus_client::metrics::{counter::Counter, gauge::Gauge};
use rail_member::RecordKind;
use rail_memory::Holder;
use rail_runtime::{
    Metrics,
    metrics::{DurationHistograms, ReasonCounters},
    resident_memory_bytes,
};

/// Metrics of the process.
#[derive(Debug, Clone)]
pub struct NodeMetrics {
    /// Registry from which the metrics are rendered.
    pub registry: Metrics,
    /// Requests by the reason of their end.
    pub requests: ReasonCounters,
    /// Requests that this host answered itself instead of an upstream, by reason.
    pub refusals: ReasonCounters,
    /// Requests by workspace.
    pub workspace_requests: ReasonCounters,
    /// Requests by workspace that an upstream answered.
    pub workspace_answers: ReasonCounters,
    /// Retries by the reason of the failed attempt.
    pub retries: ReasonCounters,
    /// Second attempts beside slow ones: sent, and by how they ended or why none was sent.
    pub hedges: ReasonCounters,
    /// Retries that the retry budget did not allow.
    pub retries_denied: Counter,
    /// Attempts by outcome.
    pub attempts: ReasonCounters,
    /// Grants for requests to engines, by the wait that the request accepted there.
    pub grants: ReasonCounters,
    /// Permits for requests to upstreams that name a limit, by decision.
    pub send_permits: ReasonCounters,
    /// Requests that upstreams turned away with 503, by who had chosen them.
    pub upstream_refusals: ReasonCounters,
    /// Requests to plain services that one host dispatches.
    pub dispatch: DispatchMetrics,
    /// Quotas of workspaces.
    pub quota: QuotaMetrics,
    /// Requests passed on to other hosts, by outcome.
    pub detours: ReasonCounters,
    /// Streams that callers resumed, by the source that knew the software version.
    pub stream_origins: ReasonCounters,
    /// Bodies of upstreams' responses by framing, end and completeness.
    pub body_ends: ReasonCounters,
    /// Calls to the store by outcome.
    pub store_calls: ReasonCounters,
    /// Records received from the store or from other hosts, by their effect.
    pub records: ReasonCounters,
    /// Questions to other hosts for newer records, by result.
    pub refreshes: ReasonCounters,
    /// Orders to engines by outcome.
    pub orders: ReasonCounters,
    /// Requests that began on an older adapter version than the newest announced one, by whether its
    /// time had passed.
    pub old_version_runs: ReasonCounters,
    /// Runs without a whole answer, by its sign.
    pub lost_runs: ReasonCounters,
    /// Upstreams that ended while they ran requests, by evidence.
    pub upstream_ends: ReasonCounters,
    /// Trials, records and refusals of requests that crash their upstreams.
    pub quarantine: ReasonCounters,
    /// Connections of callers that were closed to protect this host, by cause.
    pub caller_closes: ReasonCounters,
    /// Ejections of upstreams by reason.
    pub ejections: ReasonCounters,
    /// Caller requests in progress.
    pub in_flight: Gauge,
    /// Log lines that were dropped.
    pub log_dropped: Gauge,
    /// Version of the applied configuration.
    pub config_version: Gauge,
    /// Milliseconds since the store confirmed the configuration, -1 if it never did.
    pub config_age_ms: Gauge,
    /// Era of the store.
    pub store_era: Gauge,
    /// Time from the arrival of a request to its first attempt, by kind of route.
    pub queue_time: DurationHistograms,
    /// Time from the arrival of a request to the first part of its response, by kind of route.
    pub first_part_time: DurationHistograms,
    /// Streamed responses that were late by the aims of their route, by cause.
    pub late_streams: ReasonCounters,
    /// Time between two parts of a streamed response, by kind of route.
    pub part_gap_time: DurationHistograms,
    /// Time from the start of an attempt to its response head, by outcome.
    pub attempt_time: DurationHistograms,
    /// Time for which a request waited for a grant on an owned engine, by the status of its
    /// adapter.
    pub grant_wait_time: DurationHistograms,
    tables: TableSizes,
}

/// Sizes of the tables in memory, updated when the metrics are rendered.
#[derive(Debug, Clone)]
struct TableSizes {
    hosts: Gauge,
    upstreams: Gauge,
    owned_engines: Gauge,
    adapter_versions: Gauge,
    routes: Gauge,
    quarantine_records: Gauge,
    quarantined: Gauge,
    links: Gauge,
    fed_hosts: Gauge,
    memory_bytes: Gauge,
    caller_connections: Gauge,
    /// Memory by holder, in the order of [`Holder::ALL`].
    held_bytes: [Gauge; Holder::ALL.len()],
    held_limit_bytes: Gauge,
}

impl TableSizes {
    fn open(registry: &Metrics) -> Self {
        Self {
            hosts: registry.gauge("hosts", "Hosts that were heard of lately"),
            upstreams: registry.gauge("upstreams", "Registered upstreams"),
            owned_engines: registry.gauge("owned_engines", "Engines that this host owns"),
            adapter_versions: registry.gauge("adapter_versions", "Announced adapter versions"),
            routes: registry.gauge("routes", "Routes of the configuration in force"),
            quarantine_records: registry.gauge(
                "quarantine_records",
                "Requests known to have run on an upstream that ended",
            ),
            quarantined: registry.gauge("quarantined_requests", "Requests that are refused"),
            links: registry.gauge("links", "Links to other hosts"),
            fed_hosts: registry.gauge("fed_hosts", "Hosts that take records from this one"),
            memory_bytes: registry.gauge("memory_bytes", "Memory in use"),
            caller_connections: registry.gauge("caller_connections", "Connections of callers"),
            held_bytes: Holder::ALL.map(|holder| {
                let name = format!("held_{}_bytes", holder.name());
                registry.gauge(&name, "Memory that is held for callers, by what holds it")
            }),
            held_limit_bytes: registry
                .gauge("held_limit_bytes", "Most memory that may be held for callers"),
        }
    }
}

impl NodeMetrics {
    /// Registers all metrics.
    pub fn open() -> Self {
        let registry = Metrics::default();
        Self {
            requests: registry.reason_counters("requests", "Requests by how they ended"),
            refusals: registry.reason_counters("refusals", "Refused requests by reason"),
            workspace_requests: registry
                .reason_counters("workspace_requests", "Requests by workspace"),
            workspace_answers: registry
                .reason_counters("workspace_answers", "Requests that were answered, by workspace"),
            retries: registry.reason_counters("retries", "Repeated sends by reason"),
            hedges: registry.reason_counters("hedges", "Second attempts beside slow ones"),
            retries_denied: registry
                .counter("retries_denied", "Repeats that the shared budget did not allow"),
            grants: registry.reason_counters(
                "grants",
                "Grants for requests to engines, by the wait that the request accepted there",
            ),
            upstream_refusals: registry.reason_counters(
                "upstream_refusals",
                "Requests that upstreams turned away with 503, by who had chosen them",
            ),
            send_permits: registry.reason_counters(
                "send_permits",
                "Permits for requests to upstreams that name a limit, by decision",
            ),
            dispatch: DispatchMetrics::open(&registry),
            quota: QuotaMetrics::open(&registry),
            detours: registry
                .reason_counters("detours", "Requests passed on to other hosts, by outcome"),
            stream_origins: registry.reason_counters(
                "stream_origins",
                "Streams that callers resumed, by the source that knew their software version",
            ),
            body_ends: registry.reason_counters(
                "body_ends",
                "Bodies of upstreams' responses by framing, end and completeness",
            ),
            attempts: registry
                .reason_counters("attempts", "Attempts at upstreams by how they ended"),
            store_calls: registry.reason_counters("store_calls", "Store calls by outcome"),
            records: registry.reason_counters(
                "records",
                "Records received from the store or from other hosts, by their effect",
            ),
            refreshes: registry.reason_counters(
                "refreshes",
                "Questions to other hosts for newer records, by result",
            ),
            orders: registry.reason_counters("orders", "Orders to engines by outcome"),
            old_version_runs: registry.reason_counters(
                "old_version_runs",
                "Requests that began on an older adapter version than the newest announced one",
            ),
            lost_runs: registry
                .reason_counters("lost_runs", "Runs without a whole answer, by its sign"),
            upstream_ends: registry.reason_counters(
                "upstream_ends",
                "Upstreams that ended while they ran requests, by evidence",
            ),
            quarantine: registry.reason_counters(
                "quarantine",
                "Trials, records and refusals of requests that crash their upstreams",
            ),
            caller_closes: registry.reason_counters(
                "caller_closes",
                "Connections of callers that were closed to protect this host, by cause",
            ),
            ejections: registry.reason_counters("ejections", "Ejections of upstreams by reason"),
            in_flight: registry.gauge("in_flight", "Requests in progress"),
            log_dropped: registry.gauge("log_dropped", "Log lines that were left out"),
            config_version: registry
                .gauge("config_version", "Version of the configuration in force"),
            config_age_ms: registry.gauge(
                "config_age_ms",
                "Milliseconds since the store confirmed the configuration, -1 if it never did",
            ),
            store_era: registry
                .gauge("store_era", "Number of times that the store returned from an older copy"),
            queue_time: registry
                .duration_histograms("queue", "Time until the first send, by kind of route"),
            first_part_time: registry.duration_histograms(
                "first_part",
                "Time until the first part of the answer, by kind of route",
            ),
            late_streams: registry
                .reason_counters("late_streams", "Streams that were late, by first part or pause"),
            part_gap_time: registry
                .duration_histograms("gap", "Time between parts of a stream, by kind of route"),
            attempt_time: registry.duration_histograms(
                "attempt",
                "Time of an attempt until the head of its answer, by its end",
            ),
            grant_wait_time: registry.duration_histograms(
                "place",
                "Wait for a place on an owned engine, by where the adapter was",
            ),
            tables: TableSizes::open(&registry),
            registry,
        }
    }

    /// Counts the end of a request of a workspace with this label.
    pub fn record_workspace_end(&self, label: &str, reason: &str) {
        self.workspace_requests.count(label);
        if reason == "answered" {
            self.workspace_answers.count(label);
        }
    }

    /// Renders all metrics, with the current sizes of the tables.
    pub fn render(&self, node: &Node) -> String {
        let set = |gauge: &Gauge, size: usize| {
            gauge.set(size as i64);
        };
        let tables = &self.tables;
        set(&tables.hosts, node.hosts.borrow().live(node.now()).count());
        set(&tables.upstreams, node.upstreams.borrow().iter().count());
        set(&tables.owned_engines, node.engines.len());
        set(&tables.adapter_versions, node.versions.borrow().len());
        let routes = node.routes.borrow().as_ref().map_or(0, |routes| routes.routes().count());
        set(&tables.routes, routes);
        let quarantine = node.quarantine.table.borrow();
        set(&tables.quarantine_records, quarantine.len());
        set(&tables.quarantined, quarantine.quarantined_count());
        drop(quarantine);
        set(&tables.links, node.peers.mesh().map_or(0, |mesh| mesh.link_count()));
        set(&tables.fed_hosts, node.registry.follower_count());
        set(&tables.memory_bytes, resident_memory_bytes().unwrap_or(0));
        self.dispatch.set_gauges(node);
        set(&tables.caller_connections, node.caller_connections.len());
        for (gauge, holder) in tables.held_bytes.iter().zip(Holder::ALL) {
            set(gauge, node.memory.held_bytes(holder));
        }
        set(&tables.held_limit_bytes, node.memory.limits().total_bytes);
        self.log_dropped.set(node.events.dropped() as i64);
        let config_age = node.record_ages().of(RecordKind::Config);
        self.config_age_ms.set(config_age.map_or(-1, |age| age.as_millis() as i64));
        self.quota.share_milli.set((node.quotas.issued_share() * 1000.0) as i64);
        self.in_flight.set(i64::from(node.in_flight.get()));
        self.registry.render()
    }
}

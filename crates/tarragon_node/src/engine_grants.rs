//! Obtains grants to run on engines from their owners.

use crate::{
    brittle_services,
    engines::{GrantDecision, LocalGrant},
    node::SharedNode,
    peers::{GrantRefusal, RemoteGrant},
    quarantine::Admission,
    request::CallerRequest,
};
use rail_dispatch::LoadGuard;
use rail_peer::{GrantRelease, GrantRequest};
use rail_place::{GrantOutcome, GrantSearch, StreamTiming, WaitLimits, rank_engines};
use rail_route::{AdapterVersion, ChosenBy, Upstream, UpstreamId};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_64;

/// Engines that the replicas of one adapter may use.
const MAX_PREFERRED_ENGINES: usize = 16;
/// Share of the time left until the deadline that a request may wait for a grant.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Age of a request, in target latencies, after which it stops waiting for a grant, since a later
/// answer is of no use to the caller.
const MAX_WAIT_TARGET_LATENCIES: f64 = 3.0;

/// Right of a request to run on an engine; dropping it releases the slot.
#[derive(Debug)]
pub enum Grant {
    /// Granted by this host, which owns the engine.
    Local(LocalGrant),
    /// Granted by the engine's owner on another host.
    Remote(RemoteGrant),
    /// Not granted: no owner can be reached, and the adapter is presumed resident on the engine.
    Assumed {
        /// Counts the request on the engine.
        _load: LoadGuard,
    },
    /// Another host serves the request.
    OtherHost,
}

impl Grant {
    /// Returns who chose the engine.
    pub fn chosen_by(&self) -> ChosenBy {
        match self {
            Self::Local(_) | Self::Remote(_) => ChosenBy::Owner,
            Self::Assumed { .. } | Self::OtherHost => ChosenBy::HostWithoutOwner,
        }
    }

    /// Releases the grant and tells the owner how the request ended.
    pub fn release(self, outcome: GrantOutcome, timing: Option<StreamTiming>) {
        let release = GrantRelease { outcome, timing };
        match self {
            Self::Local(grant) => grant.release(release),
            Self::Remote(grant) => grant.release(release),
            Self::Assumed { .. } | Self::OtherHost => {}
        }
    }
}

/// Why no engine granted the request.
#[derive(Debug, Clone, Copy)]
pub enum NoGrant {
    /// Every engine refused; the shortest time after which to retry.
    Refused(Duration),
    /// No owner could be reached.
    NoOwner,
    /// No usable engine of the service is known.
    NoEngine,
}

/// Asks the owners of the preferred engines for a grant, as [`GrantSearch`] decides.
pub async fn acquire_grant(
    node: &SharedNode,
    request: &CallerRequest,
    excluded: &[String],
    admission: &Admission,
) -> Result<(Arc<Upstream>, Grant, Option<u64>), NoGrant> {
    let preferred_engines = preferred_engines(node, request, excluded);
    let preferred_engines: Vec<Arc<Upstream>> =
        admission.filter(preferred_engines.iter().collect()).into_iter().cloned().collect();
    if preferred_engines.is_empty() {
        return Err(NoGrant::NoEngine);
    }
    let target = request.route.target_latency;
    let max_useful_wait =
        target.mul_f64(MAX_WAIT_TARGET_LATENCIES).saturating_sub(request.arrived_at.elapsed());
    let total_wait = request.time_left().mul_f64(MAX_WAIT_SHARE).min(max_useful_wait);
    let wait_deadline = Instant::now() + total_wait;
    let model = request.model();
    let order = {
        let id = &request.parsed_headers.request_id;
        node.replica_spread.borrow().order(model, id, preferred_engines.len(), node.now())
    };
    let mut search = GrantSearch::new(order);
    let mut without_owner = Vec::new();
    while let Some((rank, patience)) = search.next_engine() {
        let engine = &preferred_engines[rank];
        let useful_wait = wait_deadline.saturating_duration_since(Instant::now());
        let wait_limits = patience.limits(target, useful_wait);
        match request_grant(node, request, engine, wait_limits).await {
            Ok((grant, version)) => {
                let mut replica_spread = node.replica_spread.borrow_mut();
                replica_spread.record_start(model, rank, search.refusals(), node.now());
                node.metrics.grants.count(patience.name());
                return Ok((Arc::clone(engine), grant, version));
            }
            Err(GrantRefusal::Refused(wait)) => search.record_refusal(rank, wait),
            Err(GrantRefusal::NoOwner) => without_owner.push(engine),
        }
    }
    if without_owner.is_empty() {
        node.replica_spread.borrow_mut().record_all_refused(model, search.refusals(), node.now());
    }
    // A refusal by an owner is authoritative. An engine is used without a grant only if its owner
    // can't be reached.
    let mut without_owner = without_owner.into_iter();
    let may_send_without_grant = |engine: &Upstream| {
        let observed_adapters = node.observed_adapters.borrow();
        observed_adapters.may_send_without_grant(&engine.id, node.now())
            && brittle_services::may_send_alone(node, engine)
    };
    if let Some(engine) = without_owner.find(|engine| {
        may_send_without_grant(engine) && is_probably_resident(node, engine, request.model())
    }) {
        node.metrics.grants.count("assumed");
        let grant = Grant::Assumed { _load: node.upstream_loads.track(&engine.id) };
        return Ok((Arc::clone(engine), grant, None));
    }
    node.metrics.grants.count("none");
    Err(search.shortest_wait().map_or(NoGrant::NoOwner, NoGrant::Refused))
}

/// Asks the owner of an engine for a grant: this host itself or the host named in the owner record.
async fn request_grant(
    node: &SharedNode,
    request: &CallerRequest,
    engine: &Upstream,
    wait_limits: WaitLimits,
) -> Result<(Grant, Option<u64>), GrantRefusal> {
    let (model, adapter) = split_model(request.model());
    let time_until_late = request.route.target_latency.saturating_sub(request.arrived_at.elapsed());
    let call = GrantRequest {
        request: request.parsed_headers.request_id.clone(),
        upstream: engine.id.clone(),
        model,
        adapter,
        priority: request.priority(),
        prompt_tokens: request.parsed_headers.prompt_tokens,
        max_estimated_wait_ms: wait_limits.estimated_wait.as_millis() as u32,
        wait_ms: wait_limits.actual_wait.as_millis() as u32,
        max_backlog_ms: wait_limits.backlog.as_millis() as u32,
        shared_parts: shared_parts(request),
        may_be_late: wait_limits.may_be_late || time_until_late.is_zero(),
        late_in_ms: time_until_late.as_millis() as u32,
        max_event_gap_ms: request.route.max_event_gap.map(|gap| gap.as_millis() as u32),
    };
    let workspace = request.workspace.as_ref().map(|workspace| &*workspace.name);
    let share = workspace.map(|workspace| node.quotas.work_share(workspace));
    if let Some(local) = node.engines.request_grant(node, &call, share) {
        let mut grant = local.map_err(GrantRefusal::Refused)?;
        return match grant.decision().await {
            GrantDecision::Granted(version) => Ok((Grant::Local(grant), version)),
            GrantDecision::Refused(retry_after) => Err(GrantRefusal::Refused(retry_after)),
        };
    }
    let peer = {
        let (owners, hosts) = (node.owners.borrow(), node.hosts.borrow());
        let owner = owners.get(&engine.id).ok_or(GrantRefusal::NoOwner)?;
        let host = &owner.record.host;
        match hosts.find(host) {
            Some(heartbeat) if hosts.is_live(host, node.now()) => heartbeat.peer_address,
            Some(_silent) => return Err(GrantRefusal::NoOwner),
            // No heartbeat received yet, for example after all hosts restarted at once.
            None => node.peers.registered_address(host).ok_or(GrantRefusal::NoOwner)?,
        }
    };
    let (grant, version) = node.peers.request_grant(peer, call, workspace).await?;
    Ok((Grant::Remote(grant), version))
}

/// Returns the hashes and lengths of the leading parts of a prompt that other requests may share.
fn shared_parts(request: &CallerRequest) -> Vec<(u64, u32)> {
    let parts = request.parsed_headers.shared_prompt_parts.iter();
    parts.map(|part| (xxh3_64(part.id.as_bytes()), part.tokens)).collect()
}

/// Returns the usable engines in the rendezvous order of the request's adapter, the most preferred
/// first.
fn preferred_engines(
    node: &SharedNode,
    request: &CallerRequest,
    excluded: &[String],
) -> Vec<Arc<Upstream>> {
    let upstreams = node.upstreams.borrow();
    let outlier_detector = node.outlier_detector.borrow();
    let now = node.now();
    let is_usable = |upstream: &&Arc<Upstream>| {
        request.may_run_on(upstream)
            && !outlier_detector.is_ejected(&upstream.id, now)
            && !excluded.contains(&upstream.id)
            && !node.upstream_ends.is_silent(upstream)
            && node.send_permits.pause(upstream, now).is_none()
    };
    let mut usable: Vec<&Arc<Upstream>> =
        upstreams.ready(&request.service).filter(is_usable).collect();
    let model = request.model();
    let (base, _adapter) = split_model(model);
    let has_base_model = |upstream: &&Arc<Upstream>| {
        upstream.resident_models.iter().any(|resident| resident.model == base)
    };
    // Engines that have just started have no base model loaded yet.
    if usable.iter().any(has_base_model) {
        usable.retain(has_base_model);
    }
    // A request for the base model alone can run on any engine, so its request id spreads the load.
    let key = if model.contains('/') { model } else { &request.parsed_headers.request_id };
    let ranked = rank_engines(key, usable.iter().map(|upstream| upstream.id.as_str()));
    let ranked = ranked.into_iter().take(MAX_PREFERRED_ENGINES);
    ranked.filter_map(|id| upstreams.find(id).cloned()).collect()
}

/// Returns the engines that may run the trial of a request, the most preferred first.
pub fn candidates(
    node: &SharedNode,
    request: &CallerRequest,
    excluded: &[String],
) -> Vec<UpstreamId> {
    let engines = preferred_engines(node, request, excluded);
    engines.into_iter().map(|engine| engine.id.clone()).collect()
}

fn split_model(model: &str) -> (String, Option<String>) {
    match model.split_once('/') {
        Some((model, adapter)) => (model.to_owned(), Some(adapter.to_owned())),
        None => (model.to_owned(), None),
    }
}

/// Returns whether an adapter is presumed resident, from earlier responses or the engine's record.
fn is_probably_resident(node: &SharedNode, upstream: &Upstream, model: &str) -> bool {
    node.observed_adapters.borrow().is_presumed_resident(&upstream.id, model, node.now())
        || is_registered_resident(upstream, model)
}

/// Returns whether the engine's record in the store lists the adapter as resident.
fn is_registered_resident(upstream: &Upstream, model: &str) -> bool {
    let (base, adapter) = split_model(model);
    let has_base = || upstream.resident_models.iter().any(|resident| resident.model == base);
    adapter.map_or_else(has_base, |_| registered_version(upstream, model).is_some())
}

/// Returns the version of an adapter that the engine's record in the store lists.
pub fn registered_version(upstream: &Upstream, model: &str) -> Option<AdapterVersion> {
    let (base, adapter) = split_model(model);
    let resident = upstream.resident_models.iter().filter(|resident| resident.model == base);
    let mut adapters = resident.flat_map(|resident| &resident.adapters);
    adapters.find(|(name, _)| Some(name) == adapter.as_ref()).map(|(_, version)| *version)
}

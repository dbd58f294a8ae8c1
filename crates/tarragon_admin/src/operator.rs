//! Implementation of the operator RPC.

use crate::{
    accept::{Acceptor, Error},
    quarantine::{self, Quarantine},
};
use rail_api::operator::{self as api, operator_server::Operator};
use rail_config::{Change, Fleet, StoreBudget, Upstream, UpstreamKind, Urgency};
use rail_peer::Gossip;
use rail_runtime::{KeyRole, Metrics, metrics::ReasonCounters};
use tonic::{Request, Response, Status};

/// Metadata key of the accepted generation in the status of a conflict.
const GENERATION_KEY: &str = "tarragon-generation";

type Reply<T> = Result<Response<T>, Status>;

/// Operator RPC service of this process.
#[derive(Debug)]
pub struct OperatorRpc {
    acceptor: Acceptor,
    quarantine: Quarantine,
    gossip: Gossip,
    refused_calls: ReasonCounters,
}

impl OperatorRpc {
    /// Creates the service; `status` is answered from the heartbeats in `gossip`.
    pub fn new(
        acceptor: Acceptor,
        quarantine: Quarantine,
        gossip: Gossip,
        metrics: &Metrics,
    ) -> Self {
        let refused_calls =
            metrics.reason_counters("admin_calls_not_allowed", "Calls refused by role");
        Self { acceptor, quarantine, gossip, refused_calls }
    }

    /// Returns the message of a call that changes something, if the caller's role permits it.
    fn authorize_change<T>(&self, request: Request<T>) -> Result<T, Status> {
        match caller_role(&request) {
            Some(KeyRole::Operator) => Ok(request.into_inner()),
            role => Err(self.refuse(role)),
        }
    }

    /// Returns the message of a call that only reads, if the caller's role permits it.
    fn authorize_read<T>(&self, request: Request<T>) -> Result<T, Status> {
        match caller_role(&request) {
            Some(KeyRole::Operator | KeyRole::ReadOnly) => Ok(request.into_inner()),
            role => Err(self.refuse(role)),
        }
    }

    fn refuse(&self, role: Option<KeyRole>) -> Status {
        self.refused_calls.count(role.map_or("no_role", KeyRole::name));
        Status::permission_denied("this certificate has no right to the call")
    }

    async fn accept_changes(
        &self,
        changes: Vec<Change>,
        expected: Option<api::Expected>,
    ) -> Reply<api::ChangeReply> {
        let accepted =
            self.acceptor.accept(changes, expected.map(|expected| expected.generation)).await;
        let generation = accepted.map_err(|error| accept_status(&error))?;
        Ok(Response::new(api::ChangeReply { generation }))
    }
}

#[tonic::async_trait]
impl Operator for OperatorRpc {
    async fn register_base(
        &self,
        request: Request<api::RegisterBaseRequest>,
    ) -> Reply<api::ChangeReply> {
        let request = self.authorize_change(request)?;
        let expected = request.expected;
        self.accept_changes(vec![base_change(request)?], expected).await
    }

    async fn register_adapter(
        &self,
        request: Request<api::RegisterAdapterRequest>,
    ) -> Reply<api::ChangeReply> {
        let request = self.authorize_change(request)?;
        let expected = request.expected;
        self.accept_changes(vec![adapter_change(request)], expected).await
    }

    async fn register_version(
        &self,
        request: Request<api::RegisterVersionRequest>,
    ) -> Reply<api::ChangeReply> {
        let request = self.authorize_change(request)?;
        let expected = request.expected;
        self.accept_changes(vec![version_change(request)], expected).await
    }

    async fn register_upstream(
        &self,
        request: Request<api::RegisterUpstreamRequest>,
    ) -> Reply<api::ChangeReply> {
        let request = self.authorize_change(request)?;
        let expected = request.expected;
        self.accept_changes(vec![upstream_change(request)?], expected).await
    }

    async fn set_urgency_default(
        &self,
        request: Request<api::SetUrgencyDefaultRequest>,
    ) -> Reply<api::ChangeReply> {
        let request = self.authorize_change(request)?;
        let expected = request.expected;
        self.accept_changes(vec![urgency_change(request)?], expected).await
    }

    async fn drain_upstream(
        &self,
        request: Request<api::DrainUpstreamRequest>,
    ) -> Reply<api::ChangeReply> {
        let request = self.authorize_change(request)?;
        let expected = request.expected;
        self.accept_changes(vec![drain_change(request)], expected).await
    }

    async fn set_store_budget(
        &self,
        request: Request<api::SetStoreBudgetRequest>,
    ) -> Reply<api::ChangeReply> {
        let request = self.authorize_change(request)?;
        let expected = request.expected;
        self.accept_changes(vec![budget_change(&request)?], expected).await
    }

    async fn list_quarantine(
        &self,
        request: Request<api::ListQuarantineRequest>,
    ) -> Reply<api::ListQuarantineReply> {
        self.authorize_read(request)?;
        let listed = self.quarantine.list().await;
        let entries = listed.map_err(|error| Status::unavailable(error.to_string()))?;
        let entries = entries.into_iter().map(entry_message).collect();
        Ok(Response::new(api::ListQuarantineReply { entries }))
    }

    async fn release_quarantine(
        &self,
        request: Request<api::ReleaseQuarantineRequest>,
    ) -> Reply<api::ReleaseQuarantineReply> {
        let request = self.authorize_change(request)?;
        let released = self.quarantine.release(request.fingerprint).await;
        let released = released.map_err(|error| quarantine_status(&error))?;
        Ok(Response::new(api::ReleaseQuarantineReply { released }))
    }

    async fn apply(&self, request: Request<api::ApplyRequest>) -> Reply<api::ChangeReply> {
        let request = self.authorize_change(request)?;
        let changes = request.changes.into_iter().map(to_change).collect::<Result<_, _>>()?;
        self.accept_changes(changes, request.expected).await
    }

    async fn list(&self, request: Request<api::ListRequest>) -> Reply<api::ListReply> {
        self.authorize_read(request)?;
        let fleet = self.acceptor.read().await.map_err(|error| accept_status(&error))?;
        Ok(Response::new(list_reply(&fleet)))
    }

    async fn status(&self, request: Request<api::StatusRequest>) -> Reply<api::StatusReply> {
        self.authorize_read(request)?;
        let fleet = self.acceptor.read().await.map_err(|error| accept_status(&error))?;
        let members = self.gossip.members().into_iter();
        let processes = members.map(|(heartbeat, age)| api::ProcessStatus {
            host: heartbeat.host,
            role: heartbeat.role.name().to_owned(),
            incarnation: heartbeat.incarnation,
            generation: heartbeat.generation,
            leaving: heartbeat.leaving,
            age_ms: age.as_millis() as u64,
            owned_engines: heartbeat.owned,
        });
        Ok(Response::new(api::StatusReply {
            accepted_generation: fleet.generation,
            processes: processes.collect(),
        }))
    }
}

fn caller_role<T>(request: &Request<T>) -> Option<KeyRole> {
    let chain = request.peer_certs()?;
    KeyRole::from_certificate(chain.first()?)
}

fn entry_message(entry: quarantine::Entry) -> api::QuarantineEntry {
    api::QuarantineEntry { fingerprint: entry.fingerprint, record_json: entry.record_json }
}

fn quarantine_status(error: &quarantine::Error) -> Status {
    let text = error.to_string();
    match error {
        quarantine::Error::Fingerprint(_) => Status::invalid_argument(text),
        quarantine::Error::Platform(cause) if cause.is_effect_unknown() => Status::unknown(text),
        quarantine::Error::Platform(_) | quarantine::Error::Stopping => Status::unavailable(text),
    }
}

fn to_change(change: api::Change) -> Result<Change, Status> {
    match change.change {
        Some(api::change::Change::Base(request)) => base_change(request),
        Some(api::change::Change::Adapter(request)) => Ok(adapter_change(request)),
        Some(api::change::Change::Version(request)) => Ok(version_change(request)),
        Some(api::change::Change::Upstream(request)) => upstream_change(request),
        Some(api::change::Change::UrgencyDefault(request)) => urgency_change(request),
        Some(api::change::Change::Drain(request)) => Ok(drain_change(request)),
        Some(api::change::Change::StoreBudget(request)) => budget_change(&request),
        None => Err(Status::invalid_argument("change is missing or not known to this server")),
    }
}

fn base_change(request: api::RegisterBaseRequest) -> Result<Change, Status> {
    let urgency_default = match request.urgency_default() {
        api::Urgency::Unspecified => Urgency::Urgent,
        other => urgency_from(other)?,
    };
    Ok(Change::RegisterBase { base: request.base, urgency_default })
}

fn adapter_change(request: api::RegisterAdapterRequest) -> Change {
    Change::RegisterAdapter { base: request.base, adapter: request.adapter }
}

fn version_change(request: api::RegisterVersionRequest) -> Change {
    let api::RegisterVersionRequest { base, adapter, version, .. } = request;
    Change::RegisterVersion { base, adapter, version }
}

fn urgency_change(request: api::SetUrgencyDefaultRequest) -> Result<Change, Status> {
    let urgency = urgency_from(request.urgency())?;
    Ok(Change::SetUrgencyDefault { base: request.base, urgency })
}

fn drain_change(request: api::DrainUpstreamRequest) -> Change {
    Change::DrainUpstream { name: request.name, leaving: request.leaving }
}

fn budget_change(request: &api::SetStoreBudgetRequest) -> Result<Change, Status> {
    let budget = request.budget.ok_or_else(|| Status::invalid_argument("budget is missing"))?;
    let api::StoreBudget { loads_per_s, at_once, in_flight } = budget;
    let store_budget = StoreBudget { loads_per_s, at_once, in_flight };
    Ok(Change::SetStoreBudget { store_budget })
}

fn upstream_change(request: api::RegisterUpstreamRequest) -> Result<Change, Status> {
    let upstream =
        request.upstream.ok_or_else(|| Status::invalid_argument("upstream is missing"))?;
    let kind = match upstream.kind() {
        api::UpstreamKind::Engine => UpstreamKind::Engine,
        api::UpstreamKind::Service => UpstreamKind::Service,
        api::UpstreamKind::Unspecified => {
            return Err(Status::invalid_argument("upstream kind is missing"));
        }
    };
    let address = upstream
        .address
        .parse()
        .map_err(|_error| Status::invalid_argument("upstream address must be IP:port"))?;
    Ok(Change::RegisterUpstream {
        name: upstream.name,
        upstream: Upstream {
            kind,
            group: upstream.group,
            address,
            zone: upstream.zone,
            slots: upstream.slots,
            batch: upstream.batch,
            checks_fencing: upstream.checks_fencing,
            leaving: upstream.leaving,
        },
    })
}

fn urgency_from(urgency: api::Urgency) -> Result<Urgency, Status> {
    match urgency {
        api::Urgency::Urgent => Ok(Urgency::Urgent),
        api::Urgency::Deferrable => Ok(Urgency::Deferrable),
        api::Urgency::Unspecified => Err(Status::invalid_argument("urgency is missing")),
    }
}

fn urgency_message(urgency: Urgency) -> api::Urgency {
    match urgency {
        Urgency::Urgent => api::Urgency::Urgent,
        Urgency::Deferrable => api::Urgency::Deferrable,
    }
}

fn list_reply(fleet: &Fleet) -> api::ListReply {
    let bases = fleet.bases.iter().map(|(base, entry)| api::Base {
        base: base.clone(),
        urgency_default: urgency_message(entry.urgency_default).into(),
    });
    let adapters = fleet.adapters.iter().flat_map(|(base, adapters)| {
        adapters.iter().map(|(adapter, entry)| api::Adapter {
            base: base.clone(),
            adapter: adapter.clone(),
            versions: entry
                .versions
                .iter()
                .map(|version| api::Version { version: version.clone() })
                .collect(),
        })
    });
    let upstreams = fleet.upstreams.iter().map(|(name, upstream)| api::Upstream {
        name: name.clone(),
        kind: match upstream.kind {
            UpstreamKind::Engine => api::UpstreamKind::Engine.into(),
            UpstreamKind::Service => api::UpstreamKind::Service.into(),
        },
        group: upstream.group.clone(),
        address: upstream.address.to_string(),
        zone: upstream.zone.clone(),
        slots: upstream.slots,
        batch: upstream.batch,
        checks_fencing: upstream.checks_fencing,
        leaving: upstream.leaving,
    });
    api::ListReply {
        generation: fleet.generation,
        bases: bases.collect(),
        adapters: adapters.collect(),
        upstreams: upstreams.collect(),
        store_budget: Some(api::StoreBudget {
            loads_per_s: fleet.store_budget.loads_per_s,
            at_once: fleet.store_budget.at_once,
            in_flight: fleet.store_budget.in_flight,
        }),
    }
}

fn accept_status(error: &Error) -> Status {
    let text = error.to_string();
    match error {
        Error::Change(_) => Status::invalid_argument(text),
        Error::Conflict { current, .. } => {
            let mut status = Status::failed_precondition(text);
            if let Ok(value) = current.to_string().parse() {
                status.metadata_mut().insert(GENERATION_KEY, value);
            }
            status
        }
        Error::Contended => Status::aborted(text),
        Error::Platform(_) | Error::Stopping => Status::unavailable(text),
        Error::OutcomeUnknown(_) => Status::unknown(text),
    }
}

//! Conversions between the messages of the operator RPC and the types of the configuration.

use crate::error::{Error, Result};
use rail_api::operator as api;
use rail_config::{Adapter, Base, Change, Fleet, StoreBudget, Upstream, UpstreamKind, Urgency};

/// Builds the configuration that a reply to `List` describes.
pub fn fleet_from(reply: api::ListReply) -> Result<Fleet> {
    let mut fleet = Fleet { generation: reply.generation, ..Fleet::default() };
    if let Some(budget) = reply.store_budget {
        let api::StoreBudget { loads_per_s, at_once, in_flight } = budget;
        fleet.store_budget = StoreBudget { loads_per_s, at_once, in_flight };
    }
    for base in reply.bases {
        let urgency_default = urgency_from(base.urgency_default());
        fleet.bases.insert(base.base, Base { urgency_default });
    }
    for adapter in reply.adapters {
        let versions = adapter.versions.into_iter().map(|version| version.version).collect();
        let adapters = fleet.adapters.entry(adapter.base).or_default();
        adapters.insert(adapter.adapter, Adapter { versions });
    }
    for upstream in reply.upstreams {
        let name = upstream.name.clone();
        fleet.upstreams.insert(name, upstream_from(upstream)?);
    }
    Ok(fleet)
}

/// Converts a change into the message for `Apply`.
pub fn change_message(change: Change) -> api::Change {
    let expected = None;
    let message = match change {
        Change::RegisterBase { base, urgency_default } => {
            let urgency_default = urgency_message(urgency_default).into();
            api::change::Change::Base(api::RegisterBaseRequest { base, urgency_default, expected })
        }
        Change::RegisterAdapter { base, adapter } => {
            api::change::Change::Adapter(api::RegisterAdapterRequest { base, adapter, expected })
        }
        Change::RegisterVersion { base, adapter, version } => {
            let request = api::RegisterVersionRequest { base, adapter, version, expected };
            api::change::Change::Version(request)
        }
        Change::RegisterUpstream { name, upstream } => {
            let upstream = Some(upstream_message(name, upstream));
            api::change::Change::Upstream(api::RegisterUpstreamRequest { upstream, expected })
        }
        Change::SetUrgencyDefault { base, urgency } => {
            let urgency = urgency_message(urgency).into();
            let request = api::SetUrgencyDefaultRequest { base, urgency, expected };
            api::change::Change::UrgencyDefault(request)
        }
        Change::DrainUpstream { name, leaving } => {
            api::change::Change::Drain(api::DrainUpstreamRequest { name, leaving, expected })
        }
        Change::SetStoreBudget { store_budget } => {
            let StoreBudget { loads_per_s, at_once, in_flight } = store_budget;
            let budget = Some(api::StoreBudget { loads_per_s, at_once, in_flight });
            api::change::Change::StoreBudget(api::SetStoreBudgetRequest { budget, expected })
        }
    };
    api::Change { change: Some(message) }
}

fn urgency_from(urgency: api::Urgency) -> Urgency {
    match urgency {
        api::Urgency::Deferrable => Urgency::Deferrable,
        api::Urgency::Urgent | api::Urgency::Unspecified => Urgency::Urgent,
    }
}

fn urgency_message(urgency: Urgency) -> api::Urgency {
    match urgency {
        Urgency::Urgent => api::Urgency::Urgent,
        Urgency::Deferrable => api::Urgency::Deferrable,
    }
}

fn upstream_from(upstream: api::Upstream) -> Result<Upstream> {
    let invalid_address =
        |_error| Error::Invalid { flag: "address", value: upstream.address.clone() };
    Ok(Upstream {
        kind: match upstream.kind() {
            api::UpstreamKind::Service => UpstreamKind::Service,
            api::UpstreamKind::Engine | api::UpstreamKind::Unspecified => UpstreamKind::Engine,
        },
        address: upstream.address.parse().map_err(invalid_address)?,
        group: upstream.group,
        zone: upstream.zone,
        slots: upstream.slots,
        batch: upstream.batch,
        checks_fencing: upstream.checks_fencing,
        leaving: upstream.leaving,
    })
}

fn upstream_message(name: String, upstream: Upstream) -> api::Upstream {
    let kind = match upstream.kind {
        UpstreamKind::Engine => api::UpstreamKind::Engine,
        UpstreamKind::Service => api::UpstreamKind::Service,
    };
    api::Upstream {
        name,
        kind: kind.into(),
        group: upstream.group,
        address: upstream.address.to_string(),
        zone: upstream.zone,
        slots: upstream.slots,
        batch: upstream.batch,
        checks_fencing: upstream.checks_fencing,
        leaving: upstream.leaving,
    }
}

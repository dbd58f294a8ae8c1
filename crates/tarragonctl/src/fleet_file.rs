//! The fleet file and its difference from the accepted configuration.

use crate::error::{Error, Result};
use rail_config::{Adapter, Change, Fleet, StoreBudget, Upstream, UpstreamKind, Urgency};
use serde::Deserialize;
use std::{collections::BTreeMap, fs, net::SocketAddr};

/// Desired configuration, as written by an operator.
///
/// Applying a file never removes anything: what the file does not name stays as it is.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetFile {
    store_budget: Option<StoreBudget>,
    bases: BTreeMap<String, BaseEntry>,
    upstreams: BTreeMap<String, UpstreamEntry>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct BaseEntry {
    urgency_default: Urgency,
    /// Versions of each adapter of the base model.
    #[serde(default)]
    adapters: BTreeMap<String, Vec<String>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct UpstreamEntry {
    kind: UpstreamKind,
    group: String,
    address: SocketAddr,
    zone: String,
    #[serde(default)]
    slots: u32,
    batch: u32,
    #[serde(default)]
    checks_fencing: bool,
    /// If absent, the current value stays, so that applying the file does not undo a drain.
    leaving: Option<bool>,
}

impl FleetFile {
    /// Reads a fleet file; an unknown key is an error.
    pub fn open(path: &str) -> Result<Self> {
        let read = fs::read_to_string(path);
        let text = read.map_err(|source| Error::Read { path: path.to_owned(), source })?;
        Ok(toml::from_str(&text)?)
    }

    /// Returns the changes from `current` to this file, validated as the server validates them.
    pub fn changes_from(self, current: &Fleet) -> Result<Vec<Change>> {
        let mut changes = Vec::new();
        changes.extend(self.store_budget.and_then(|desired| budget_change(desired, current)));
        for (base, entry) in self.bases {
            changes.extend(base_change(&base, entry.urgency_default, current));
            for (adapter, versions) in entry.adapters {
                let registered = current.adapters.get(&base).and_then(|a| a.get(&adapter));
                changes.extend(adapter_changes(&base, &adapter, versions, registered));
            }
        }
        for (name, entry) in self.upstreams {
            changes.extend(upstream_change(name, entry, current));
        }
        current.apply(&changes)?;
        Ok(changes)
    }
}

fn budget_change(store_budget: StoreBudget, current: &Fleet) -> Option<Change> {
    (store_budget != current.store_budget).then_some(Change::SetStoreBudget { store_budget })
}

fn base_change(base: &str, urgency_default: Urgency, current: &Fleet) -> Option<Change> {
    let is_current = current.bases.get(base).is_some_and(|b| b.urgency_default == urgency_default);
    (!is_current).then(|| Change::RegisterBase { base: base.to_owned(), urgency_default })
}

fn adapter_changes(
    base: &str,
    adapter: &str,
    versions: Vec<String>,
    registered: Option<&Adapter>,
) -> Vec<Change> {
    let register = Change::RegisterAdapter { base: base.to_owned(), adapter: adapter.to_owned() };
    let mut changes: Vec<Change> = registered.is_none().then_some(register).into_iter().collect();
    for version in versions {
        if !registered.is_some_and(|registered| registered.versions.contains(&version)) {
            let (base, adapter) = (base.to_owned(), adapter.to_owned());
            changes.push(Change::RegisterVersion { base, adapter, version });
        }
    }
    changes
}

fn upstream_change(name: String, entry: UpstreamEntry, current: &Fleet) -> Option<Change> {
    let registered = current.upstreams.get(&name);
    let upstream = Upstream {
        kind: entry.kind,
        group: entry.group,
        address: entry.address,
        zone: entry.zone,
        slots: entry.slots,
        batch: entry.batch,
        checks_fencing: entry.checks_fencing,
        leaving: entry
            .leaving
            .unwrap_or_else(|| registered.is_some_and(|registered| registered.leaving)),
    };
    (registered != Some(&upstream)).then_some(Change::RegisterUpstream { name, upstream })
}

/// Describes a change in one line, marked `+` for an addition and `~` for a replacement.
pub fn describe(change: &Change, current: &Fleet) -> String {
    let mark = |is_replaced: bool| if is_replaced { '~' } else { '+' };
    match change {
        Change::RegisterBase { base, urgency_default } => {
            let is_replaced = current.bases.contains_key(base);
            format!("{} base {base} urgency_default={urgency_default:?}", mark(is_replaced))
        }
        Change::RegisterAdapter { base, adapter } => format!("+ adapter {base}:{adapter}"),
        Change::RegisterVersion { base, adapter, version } => {
            format!("+ version {base}:{adapter}@{version}")
        }
        Change::RegisterUpstream { name, upstream } => match current.upstreams.get(name) {
            Some(registered) => {
                format!(
                    "~ upstream {name} {} -> {}",
                    upstream_fields(registered),
                    upstream_fields(upstream)
                )
            }
            None => format!("+ upstream {name} {}", upstream_fields(upstream)),
        },
        Change::SetUrgencyDefault { base, urgency } => format!("~ base {base} {urgency:?}"),
        Change::DrainUpstream { name, leaving } => format!("~ upstream {name} leaving={leaving}"),
        Change::SetStoreBudget { store_budget } => {
            format!(
                "~ store_budget {} -> {}",
                budget_fields(current.store_budget),
                budget_fields(*store_budget)
            )
        }
    }
}

fn upstream_fields(upstream: &Upstream) -> String {
    let Upstream { kind, group, address, zone, slots, batch, checks_fencing, leaving } = upstream;
    format!(
        "[{kind:?} group={group} address={address} zone={zone} slots={slots} batch={batch} \
         checks_fencing={checks_fencing} leaving={leaving}]"
    )
}

fn budget_fields(budget: StoreBudget) -> String {
    let StoreBudget { loads_per_s, at_once, in_flight } = budget;
    format!("[loads_per_s={loads_per_s} at_once={at_once} in_flight={in_flight}]")
}

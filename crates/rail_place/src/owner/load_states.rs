//! States of loaded adapters over time, and loads of newer versions.

use super::{
    EngineOwner,
    adapter::{AdapterEntry, LoadState},
    message::{AdapterPath, OrderKind},
};
use crate::versions::AdapterVersion;
use std::time::Duration;

/// Share of the version timeout, from the announcement of a new version, after which it is loaded
/// even while the adapter is in use.
const FORCED_REPLACEMENT_SHARE: f64 = 0.4;

impl EngineOwner {
    /// Advances adapters whose load should have ended from loading to unconfirmed to resident.
    pub(super) fn update_load_states(&mut self, now: Duration) {
        let is_queued = |path: &str, orders: &[OrderKind], sent: &Option<OrderKind>| {
            orders
                .iter()
                .chain(sent)
                .any(|order| matches!(order, OrderKind::Load(p, _) if p == path))
        };
        for (path, entry) in &mut self.adapters {
            if let LoadState::Loading { ready_at } = entry.state
                && now >= ready_at
                && !is_queued(path, &self.orders, &self.sent)
            {
                entry.state = LoadState::Unconfirmed { until: now };
                entry.was_tried = false;
            }
            if let LoadState::Unconfirmed { until } = entry.state
                && entry.was_tried
                && now >= until
            {
                entry.not_ready_count = 0;
                entry.state = LoadState::Resident;
            }
        }
    }

    /// Orders a load of the newest version of each resident adapter that is outdated: at once if it is
    /// idle, else when the next newer version has been announced for some time.
    pub(super) fn replace_versions(&mut self, now: Duration) {
        if self.accepted_orders.is_none() {
            return;
        }
        let is_due = |path: &str, entry: &AdapterEntry| {
            let forced_at = self.forced_replacement_at(path, entry);
            forced_at.is_some_and(|forced_at| entry.in_use == 0 || now >= forced_at)
        };
        let due = self.adapters.iter().filter(|(path, entry)| is_due(path, entry));
        let stale: Vec<(AdapterPath, AdapterVersion)> = due
            .filter_map(|(path, _)| Some((path.clone(), self.announced.newest(path)?)))
            .collect();
        for (path, version) in stale {
            let ready_at = now + self.cold_load_estimate;
            if let Some(entry) = self.adapters.get_mut(&path) {
                entry.state = LoadState::Loading { ready_at };
                entry.was_recent = false;
                entry.version = Some(version);
            }
            self.counts.cold_loads += 1;
            self.orders.push(OrderKind::Load(path, Some(version)));
        }
    }

    /// Returns the time of the next replacement of an adapter in use.
    pub(super) fn next_replacement(&self) -> Option<Duration> {
        self.accepted_orders?;
        let forced = self
            .adapters
            .iter()
            .filter_map(|(path, entry)| self.forced_replacement_at(path, entry));
        forced.min()
    }

    /// Returns the time at which a resident adapter is replaced although it is in use; `None` if it
    /// has the newest version.
    fn forced_replacement_at(&self, path: &str, entry: &AdapterEntry) -> Option<Duration> {
        let force_after = self.version_timeout.mul_f64(FORCED_REPLACEMENT_SHARE);
        let forced_at = self.announced.outdated_at(path, entry.version, force_after)?;
        (entry.state == LoadState::Resident).then_some(forced_at)
    }
}

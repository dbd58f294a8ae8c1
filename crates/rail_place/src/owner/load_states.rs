//! States of loaded adapters over time, and loads of newer versions.

use super::{
    EngineOwner, UNTRIED_LOAD_TIME,
    adapter::{AdapterEntry, LoadState},
    message::{AdapterPath, OrderKind},
};
use crate::versions::AdapterVersion;
use std::time::Duration;

/// Share of the version timeout, from the time after which a new version was announced, when it is
/// loaded even while the adapter is in use. Hosts know that time to 0.3 of the timeout, so it comes
/// before any of them stops using the old version, at 0.85.
const FORCED_REPLACEMENT_SHARE: f64 = 0.55;

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

    /// Orders a load of the newest version of each loaded adapter that is outdated: at once if it is
    /// idle, else when the next newer version has been announced for some time.
    pub(super) fn replace_versions(&mut self, now: Duration) {
        if self.accepted_orders.is_none() {
            return;
        }
        let is_due = |path: &str, entry: &AdapterEntry| {
            self.replacement_at(path, entry).is_some_and(|replacement_at| now >= replacement_at)
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

    /// Returns the time of the next replacement of an adapter.
    pub(super) fn next_replacement(&self) -> Option<Duration> {
        self.accepted_orders?;
        let times = self.adapters.iter();
        times.filter_map(|(path, entry)| self.replacement_at(path, entry)).min()
    }

    /// Returns the time from which an adapter is not granted and is replaced although it is in use;
    /// `None` if it has the newest version.
    pub(super) fn forced_replacement_at(
        &self,
        path: &str,
        entry: &AdapterEntry,
    ) -> Option<Duration> {
        let force_after = self.version_timeout.mul_f64(FORCED_REPLACEMENT_SHARE);
        self.announced.outdated_at(path, entry.version, force_after)
    }

    /// Returns the time at which an adapter is replaced; `None` if it has the newest version or its
    /// load may not have ended.
    fn replacement_at(&self, path: &str, entry: &AdapterEntry) -> Option<Duration> {
        let forced_at = self.forced_replacement_at(path, entry)?;
        let free_at = if entry.in_use == 0 { Duration::ZERO } else { forced_at };
        match entry.state {
            LoadState::Resident => Some(free_at),
            // No request may ever try it, which would show that its load has ended.
            LoadState::Unconfirmed { until } if !entry.was_tried => {
                Some(free_at.max(until + UNTRIED_LOAD_TIME))
            }
            LoadState::Unconfirmed { .. } | LoadState::Loading { .. } | LoadState::Unloading => {
                None
            }
        }
    }
}

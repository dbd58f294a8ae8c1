//! Load of instances, as far as one host has seen it.

use crate::pace::LoadReport;
use rail_route::UpstreamId;
use std::{cell::RefCell, collections::HashMap, rc::Rc};

#[derive(Debug, Clone, Copy, Default)]
struct Load {
    in_flight: u32,
    reported: u32,
    in_flight_at_report: u32,
    last_report: Option<LoadReport>,
    reports_pace: bool,
}

impl Load {
    fn estimate(&self) -> f64 {
        let reported = (self.reported + self.in_flight).saturating_sub(self.in_flight_at_report);
        // The reported load of other hosts ages quickly, so only half of it is counted.
        f64::from(self.in_flight) + f64::from(reported.saturating_sub(self.in_flight)) / 2.0
    }
}

/// Requests of this host on each upstream, and the load that the upstream last reported. Clones
/// share the same state.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLoads {
    entries: Rc<RefCell<HashMap<UpstreamId, Load>>>,
}

/// Counts a request on an upstream until it is dropped.
#[derive(Debug)]
pub struct LoadGuard {
    upstream_loads: UpstreamLoads,
    id: UpstreamId,
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        if let Some(load) = self.upstream_loads.entries.borrow_mut().get_mut(&self.id) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }
}

impl UpstreamLoads {
    /// Counts a request on an upstream until the returned guard is dropped.
    pub fn track(&self, id: &str) -> LoadGuard {
        self.entries.borrow_mut().entry(id.to_owned()).or_default().in_flight += 1;
        LoadGuard { upstream_loads: self.clone(), id: id.to_owned() }
    }

    /// Records the load that an upstream reported with a response.
    pub fn record_report(&self, id: &str, report: LoadReport) {
        let mut entries = self.entries.borrow_mut();
        let load = entries.entry(id.to_owned()).or_default();
        load.reported = report.requests;
        load.in_flight_at_report = load.in_flight;
        load.last_report = Some(report);
        load.reports_pace |= report.pace.is_some();
    }

    /// Returns the number of this host's requests on an upstream.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.entries.borrow().get(id).map_or(0, |load| load.in_flight)
    }

    /// Returns the last report of an upstream.
    pub fn last_report(&self, id: &str) -> Option<LoadReport> {
        self.entries.borrow().get(id).and_then(|load| load.last_report)
    }

    /// Returns whether an upstream has reported its pace.
    pub fn reports_pace(&self, id: &str) -> bool {
        self.entries.borrow().get(id).is_some_and(|load| load.reports_pace)
    }

    /// Estimates the number of requests on an upstream, including those of other hosts.
    pub fn estimate(&self, id: &str) -> f64 {
        self.entries.borrow().get(id).map_or(0.0, Load::estimate)
    }

    /// Removes upstreams that are unknown to `is_known` and have no request in progress.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.entries.borrow_mut().retain(|id, load| load.in_flight > 0 || is_known(id));
    }
}

//! Requests on plain upstreams as this host knows them.

use rail_route::UpstreamId;
use std::{cell::RefCell, collections::HashMap, rc::Rc};

#[derive(Debug, Clone, Copy, Default)]
struct Load {
    in_flight: u32,
    reported: u32,
    in_flight_at_report: u32,
}

/// Own requests on each upstream and what it last told of its load; clones share them.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLoads {
    entries: Rc<RefCell<HashMap<UpstreamId, Load>>>,
}

/// Counts a request on an upstream until dropped.
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
    /// Counts a request on an upstream.
    pub fn track(&self, id: &str) -> LoadGuard {
        self.entries.borrow_mut().entry(id.to_owned()).or_default().in_flight += 1;
        LoadGuard { upstream_loads: self.clone(), id: id.to_owned() }
    }

    /// Takes the load that an answer told.
    pub fn record_report(&self, id: &str, requests: u32) {
        let mut entries = self.entries.borrow_mut();
        let load = entries.entry(id.to_owned()).or_default();
        load.reported = requests;
        load.in_flight_at_report = load.in_flight;
    }

    /// Estimates the requests on an upstream.
    pub fn estimate(&self, id: &str) -> f64 {
        self.entries.borrow().get(id).map_or(0.0, |load| {
            let reported =
                (load.reported + load.in_flight).saturating_sub(load.in_flight_at_report);
            // What others send ages quickly; half of it is taken to be there still.
            f64::from(load.in_flight) + f64::from(reported.saturating_sub(load.in_flight)) / 2.0
        })
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.entries.borrow_mut().retain(|id, load| load.in_flight > 0 || is_known(id));
    }
}

//! Services whose upstreams fall over when they turn many requests away: what answers say of them,
//! and requests that nobody counts for all hosts.

use crate::{events::Event, node::Node};
use rail_dispatch::may_send_uncounted;
use rail_route::{ServiceId, Upstream};

/// Records the refusals a second that an upstream of a service says to survive, `None` if it says
/// nothing of that.
pub fn record_answer(node: &Node, service: &ServiceId, max_refusals_per_s: Option<u32>) {
    let mut services = node.brittle_services.borrow_mut();
    if services.record_answer(service, max_refusals_per_s, node.now()) {
        let max_refusals_per_s = services.max_refusals_per_s(service);
        node.events.important(&Event::BrittleService { service, max_refusals_per_s });
    }
}

/// Returns whether a request may be sent to an upstream where nobody counts the requests of all hosts.
pub fn may_send_alone(node: &Node, upstream: &Upstream) -> bool {
    let services = node.brittle_services.borrow();
    if services.max_refusals_per_s(&upstream.service).is_none() {
        return true;
    }
    let own_requests = node.upstream_loads.in_flight(&upstream.id);
    may_send_uncounted(own_requests, upstream.slots, node.hosts.borrow().len())
}

/// Removes services that the configuration does not contain.
pub fn prune(node: &Node) {
    let Some(routes) = node.routes.borrow().clone() else { return };
    let is_known = |service: &str| routes.services.contains_key(service);
    node.brittle_services.borrow_mut().prune(is_known);
}

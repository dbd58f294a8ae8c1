//! Observes requests that run on an older version of their adapter than the newest announced one.

use crate::{events::Event, node::SharedNode, request::CallerRequest};
use rail_place::AdapterVersion;
use rail_route::Upstream;
use rail_runtime::time_since_boot;
use std::time::Duration;

/// Adapter version that an upstream must have to run a request.
#[derive(Debug, Clone, Copy)]
pub enum SentVersion {
    /// Any may run it.
    Any,
    /// Only this one.
    Only(AdapterVersion),
}

impl SentVersion {
    /// Returns the version, unless any may run the request.
    pub fn only(self) -> Option<AdapterVersion> {
        match self {
            Self::Any => None,
            Self::Only(version) => Some(version),
        }
    }
}

/// Records that a request began to run, if a newer version of its adapter is known than it was sent
/// for.
pub fn record_start(node: &SharedNode, request: &CallerRequest, upstream: &Upstream) {
    // Another host that served the request has recorded it.
    let Some(sent_version) = request.sent_version.get() else { return };
    let (adapter, version) = (request.model(), sent_version.only());
    let versions = node.versions.borrow();
    let Some(newest) = versions.newest(adapter) else { return };
    let Some(announced_after) = versions.outdated_at(adapter, version, Duration::ZERO) else {
        return;
    };
    let age = time_since_boot().saturating_sub(announced_after);
    let is_late = age >= node.bounds().version_rollout_timeout;
    node.metrics.old_version_runs.count(if is_late { "late" } else { "in_time" });
    let event = Event::OldVersion {
        request: &request.parsed_headers.request_id,
        upstream: &upstream.id,
        adapter,
        version,
        newest,
        sent_ms: age.saturating_sub(request.sent_at.get().elapsed()).as_millis() as u64,
        began_ms: age.as_millis() as u64,
    };
    if is_late {
        node.events.important(&event);
    } else {
        node.events.routine(&event);
    }
}

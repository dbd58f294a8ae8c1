//! Observes requests that run on an older version of their adapter than the newest announced one.

use crate::{events::Event, node::SharedNode, request::CallerRequest};
use rail_route::Upstream;
use rail_runtime::time_since_boot;
use std::time::Duration;

/// Records that a request began to run, if a newer version of its adapter is known than it was sent
/// for.
pub fn record_start(node: &SharedNode, request: &CallerRequest, upstream: &Upstream) {
    let (adapter, version) = (request.model(), request.sent_version.get());
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

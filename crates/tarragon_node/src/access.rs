//! Finds the workspace of a request when it arrives, and checks its key again before each send.

use crate::{
    node::{Node, SharedNode},
    reply::Failure,
    request::{CallerRequest, fail_request},
};
use actix_http::{Response, body::BoxBody, header::AUTHORIZATION};
use rail_member::RecordKind;
use rail_route::{Route, RouteTable};
use rail_runtime::time_since_boot;
use rail_workspace::{
    Key, KeyBounds, KeyRefusal, Workspace,
    access::{check_proof, decide, decide_again},
};
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

/// Longest time for which requests wait for a proof of their keys after this host has started or
/// stood still. By then it has asked the store and other hosts.
const MAX_PROOF_WAIT: Duration = Duration::from_millis(400);

/// Waits for a recent configuration if this host has just started or stood still, where keys need a
/// proof. Without the wait a host that goes on would refuse every request that arrived meanwhile.
pub async fn wait_for_proof(node: &Node) {
    let needs_proof = || {
        let has_workspaces = |routes: &Arc<RouteTable>| routes.workspaces.is_some();
        node.routes.borrow().as_ref().is_some_and(has_workspaces)
            && check_proof(config_age(node), &key_bounds(node)).is_err()
    };
    while needs_proof() {
        let running = node.running_time.get().at(time_since_boot());
        let wait = MAX_PROOF_WAIT.saturating_sub(running);
        if wait.is_zero() || timeout(wait, node.records_confirmed.notified()).await.is_err() {
            return;
        }
    }
}

/// Returns the workspace for which a request runs, by the values of its `Authorization` headers.
/// Returns `None` on a public route, and if the configuration has no workspaces.
///
/// # Errors
/// Returns why the request does not run.
pub fn identify<'a>(
    node: &Node,
    routes: &RouteTable,
    route: &Route,
    authorization: impl IntoIterator<Item = &'a [u8]>,
) -> Result<Option<Arc<Workspace>>, KeyRefusal> {
    let Some(table) = routes.workspaces.as_ref().filter(|_| !route.is_public) else {
        return Ok(None);
    };
    let key = Key::read(authorization);
    let workspace = decide(table, key, config_age(node), &key_bounds(node))?;
    Ok(Some(Arc::clone(workspace)))
}

/// Checks before a send that the key of a request still belongs to its workspace, by the
/// configuration that is applied now and by its age.
///
/// # Errors
/// Returns why the request does not run any more.
pub fn check_again(node: &Node, request: &CallerRequest) -> Result<(), KeyRefusal> {
    let Some(workspace) = &request.workspace else { return Ok(()) };
    let (age, bounds) = (config_age(node), key_bounds(node));
    let routes = node.routes.borrow();
    let newer = routes.as_ref().filter(|routes| routes.version != request.config_version);
    let Some(table) = newer.and_then(|routes| routes.workspaces.as_ref()) else {
        return check_proof(age, &bounds);
    };
    let is_key = |name: &str| name == AUTHORIZATION.as_str();
    let headers = request.headers.iter().filter(|(name, _)| is_key(name));
    let key = Key::read(headers.map(|(_, value)| value.as_slice()));
    decide_again(table, key, age, &bounds, workspace)
}

/// Ends a request whose key does not count any more. If an earlier attempt may have run, the
/// response must not state that the request did not run.
pub fn refusal_response(
    node: &SharedNode,
    request: &CallerRequest,
    refusal: KeyRefusal,
    may_have_run: bool,
) -> Response<BoxBody> {
    if may_have_run {
        return fail_request(node, request, Failure::UpstreamLost, None, "");
    }
    fail_request(node, request, Failure::Key(refusal), refusal.retry_after(), "")
}

fn config_age(node: &Node) -> Option<Duration> {
    node.record_ages().of(RecordKind::Config)
}

fn key_bounds(node: &Node) -> KeyBounds {
    let bounds = node.bounds();
    let age_error = node.record_bounds().budget(RecordKind::Config).longest_watch_wait();
    KeyBounds::new(bounds.config_apply_timeout, bounds.revocation_timeout, age_error)
}

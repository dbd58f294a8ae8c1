//! Which call a response of an upstream belongs to, by its headers.

use rail_site::UpstreamResponseHeaders;
use rail_upstream::{Attribution, UpstreamResponse};

/// Decides which call a response with these headers belongs to. Servers repeat the id of a request, so
/// an empty one is that of a call without an id.
pub fn attribute(
    response: &mut UpstreamResponse,
    headers: &UpstreamResponseHeaders,
) -> Attribution {
    let id = headers.request_id.as_deref().filter(|id| !id.is_empty());
    response.attribute(id, headers.is_not_run)
}

/// Returns whether a response belongs to the call without an id that awaited it.
pub fn is_own(response: &mut UpstreamResponse) -> bool {
    let headers = UpstreamResponseHeaders::read(&response.head);
    attribute(response, &headers) == Attribution::Own
}

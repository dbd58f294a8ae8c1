//! Which heads a response can have.

use http::StatusCode;

/// Returns whether a status is that of a final response. No call asks to switch protocols, and a status
/// without a class tells nothing of what happened to the request.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

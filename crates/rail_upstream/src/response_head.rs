//! Which heads a response can have.

use http::{HeaderMap, StatusCode, header::TRANSFER_ENCODING, response::Parts};

/// Returns whether a response with this head can be the response to a call.
pub(crate) fn is_usable(head: &Parts) -> bool {
    is_final(head.status) && has_known_framing(&head.headers)
}

/// Returns whether a status is that of a final response. No call asks to switch protocols, and a status
/// without a class tells nothing of what happened to the request.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether a body comes as it is or in chunks: no call asks for another transfer coding.
fn has_known_framing(headers: &HeaderMap) -> bool {
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    match (encodings.next(), encodings.next()) {
        (None, _) => true,
        (Some(encoding), None) => encoding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        (Some(_), Some(_)) => false,
    }
}

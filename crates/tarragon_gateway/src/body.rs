//! Reads request bodies with limits on size and time.

use crate::problem::{Problem, Result};
use actix_web::web;
use bytes::Bytes;
use std::time::Duration;

/// Maximum size of a request body, in bytes; also limits responses of plain services.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Time within which a caller must send the request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a complete request body.
///
/// # Errors
/// Returns a problem if the body is too large, arrives too slowly or can't be read.
pub async fn read_bytes(body: web::Payload) -> Result<Bytes> {
    tokio::time::timeout(BODY_TIMEOUT, body.to_bytes_limited(MAX_BODY_BYTES))
        .await
        .map_err(|_elapsed| Problem::Body("it did not arrive in time".to_owned()))?
        .map_err(|_limit| Problem::TooLarge)?
        .map_err(|error| Problem::Body(error.to_string()))
}

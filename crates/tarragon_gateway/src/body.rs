//! Reads request bodies within limits of size and time.

use crate::problem::{Problem, Result};
use actix_web::web;
use bytes::Bytes;
use std::time::Duration;

/// Largest body of a caller's request in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Time in which a caller must send its request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a whole body.
///
/// # Errors
/// Refuses bodies that are too large or arrive too slowly.
pub async fn read_bytes(body: web::Payload) -> Result<Bytes> {
    tokio::time::timeout(BODY_TIMEOUT, body.to_bytes_limited(MAX_BODY_BYTES))
        .await
        .map_err(|_elapsed| Problem::Body("it did not arrive in time".to_owned()))?
        .map_err(|_limit| Problem::TooLarge)?
        .map_err(|error| Problem::Body(error.to_string()))
}

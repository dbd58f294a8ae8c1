//! HTTP clients of engines and plain services.
//!
//! [`EngineClient`] calls engines over the OpenAI-compatible API with dynamic
//! adapter loading. Streams are server-sent events whose identifiers are
//! offsets. Orders carry the fencing number of the engine's owner.
//!
//! [`ConnectionPool`] serves plain HTTP upstreams where the caller must know
//! whether a request was sent: a connection carries one request at a time and is
//! reused only after a complete response. [`EventSplitter`] splits a stream into
//! whole events, after any of which another attempt can resume it. [`proof`] decides which call a
//! response belongs to.

pub mod body;
mod connection_stream;
pub mod engine;
pub mod error;
pub mod events;
mod head_limit;
pub mod pool;
pub mod proof;
mod refused_ids;
mod request_progress;
mod response_head;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        body::{BodyContent, BodyEnd, Completeness, Framing},
        engine::{Completion, EngineClient, LoadReport, StreamPart},
        error::{Error, Result},
        events::{EventSplitter, max_stream_bytes},
        pool::{ConnectionPool, ConnectionTimeouts, SendError, UpstreamResponse},
        proof::Attribution,
    };
}
pub use prelude::*;

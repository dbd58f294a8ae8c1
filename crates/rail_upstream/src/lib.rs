//! HTTP clients of engines and plain services.
//!
//! Engines are met through the published OpenAI-compatible API with dynamic
//! adapter loading; streams are server-sent events whose identifiers are
//! offsets. Orders carry the fencing number of the engine's owner.
//!
//! [`ConnectionPool`] keeps connections to plain HTTP upstreams of which a caller
//! must know exactly what was sent: one request at a time a connection, and a
//! connection is used again only after a whole answer. [`EventSplitter`] cuts a
//! stream into whole events, after any of which another run can go on.

pub mod engine;
pub mod error;
pub mod events;
pub mod link;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        engine::{Completion, EngineClient, LoadReport, StreamPart},
        error::{Error, Result, is_unsent},
        events::EventSplitter,
        link::{ConnectionPool, ConnectionTimeouts, SendError, UpstreamResponse},
    };
}
pub use prelude::*;

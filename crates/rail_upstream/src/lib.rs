//! HTTP clients of engines and plain services.
//!
//! Engines are met through the published OpenAI-compatible API with dynamic
//! adapter loading; streams are server-sent events whose identifiers are
//! offsets. Orders carry the fencing number of the engine's owner.

pub mod engine;
pub mod error;

/// Commonly used items.
pub mod prelude {
    pub use crate::{
        engine::{Completion, EngineClient, LoadReport, StreamPart},
        error::{Error, Result, is_unsent},
    };
}
pub use prelude::*;

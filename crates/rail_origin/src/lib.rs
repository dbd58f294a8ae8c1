//! The software version at which each stream began, and at which it has to go on.
//!
//! Upstreams of several software versions may serve side by side. What two versions write does not
//! fit together, so all events of a stream come from one version. Nothing here does I/O or reads a
//! clock.

pub mod pin;

/// Commonly used items.
pub mod prelude {
    pub use crate::pin::SoftwarePin;
}
pub use prelude::*;

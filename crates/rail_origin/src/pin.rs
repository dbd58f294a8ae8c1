//! Which software versions may answer a request.

use rail_route::SoftwareVersion;

/// Software versions whose upstreams may answer a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum SoftwarePin {
    /// Any version, as nothing of the answer was passed on yet.
    #[default]
    Any,
    /// The version that began the answer.
    Only(SoftwareVersion),
}

impl SoftwarePin {
    /// Returns whether an upstream with this software may answer.
    pub fn admits(&self, software: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(version) => version == software,
        }
    }
}

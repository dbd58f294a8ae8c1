//! What a host knows about the origin of a stream.

use rail_route::SoftwareVersion;
use serde::{Deserialize, Serialize};

/// What a host knows about the origin of a stream.
///
/// Variants are encoded by position: add new ones at the end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginKnowledge {
    /// The stream began at this version.
    Began(SoftwareVersion),
    /// The stream is not recorded, and several versions began streams lately.
    Unrecorded,
    /// Every stream that may still be resumed began at this version.
    Only(SoftwareVersion),
    /// The host has not run for long enough to know.
    Unaware,
}

impl OriginKnowledge {
    /// Returns what two hosts know together. Where they contradict each other, neither is believed.
    pub fn combine(self, other: Self) -> Self {
        use OriginKnowledge::{Began, Only, Unaware, Unrecorded};
        match (self, other) {
            (Began(version), Began(other)) if version != other => Unrecorded,
            (Began(version), _) | (_, Began(version)) => Began(version),
            (Unrecorded, _) | (_, Unrecorded) => Unrecorded,
            (Only(version), Only(other)) if version != other => Unrecorded,
            (Only(version), _) | (_, Only(version)) => Only(version),
            (Unaware, Unaware) => Unaware,
        }
    }
}

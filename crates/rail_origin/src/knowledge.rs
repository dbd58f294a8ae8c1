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

/// Source that knew the version of a stream, as it appears in logs and metrics.
pub type OriginSource = &'static str;

/// Why a stream can't go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginUnknown {
    /// A source did not answer, and may know.
    SourceSilent,
    /// Nobody knows the stream.
    NotRecorded,
}

/// Decides at which version a stream goes on: by what the hosts know together, what the store says
/// (`None` if it does not answer or was not asked), and the version of all registered upstreams of
/// the service, if they have the same.
///
/// # Errors
/// Returns why no version may continue the stream. A joined text is worse than a refusal.
pub fn decide(
    told: OriginKnowledge,
    is_host_silent: bool,
    stored: Option<OriginKnowledge>,
    registered: Option<SoftwareVersion>,
) -> Result<(SoftwareVersion, OriginSource), OriginUnknown> {
    use OriginKnowledge::{Began, Only, Unaware, Unrecorded};
    match (told, stored) {
        (Began(version), _) => Ok((version, "hosts")),
        (Only(version), _) => Ok((version, "only_version")),
        (Unrecorded | Unaware, None) => Err(OriginUnknown::SourceSilent),
        (Unrecorded | Unaware, Some(Began(version))) => Ok((version, "store")),
        (Unaware, Some(Unaware | Only(_))) => {
            registered.map(|version| (version, "registered")).ok_or(OriginUnknown::NotRecorded)
        }
        (Unrecorded, Some(_)) | (Unaware, Some(Unrecorded)) => Err(if is_host_silent {
            OriginUnknown::SourceSilent
        } else {
            OriginUnknown::NotRecorded
        }),
    }
}

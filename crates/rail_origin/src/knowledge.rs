//! What a host knows about the origin of a stream.

use rail_route::SoftwareVersion;
use serde::{Deserialize, Serialize};

/// Hosts whose replies confirm a version that is known by old records only.
const MIN_CONFIRMING_HOSTS: usize = 2;

/// What a host knows about the origin of a stream.
///
/// Variants are encoded by position: add new ones at the end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginKnowledge {
    /// The stream began at this version.
    Began(SoftwareVersion),
    /// The stream is not recorded, and several versions began streams lately.
    Unrecorded,
    /// Every stream that may still be resumed began at this version, by recent records.
    Only(SoftwareVersion),
    /// The host has not run for long enough to know.
    Unaware,
    /// The same as [`OriginKnowledge::Only`], by records that may be too old to show a version that
    /// has joined since.
    Presumed(SoftwareVersion),
}

impl OriginKnowledge {
    /// Returns what two hosts know together. Where they contradict each other, neither is believed.
    pub fn combine(self, other: Self) -> Self {
        use OriginKnowledge::{Began, Only, Presumed, Unaware, Unrecorded};
        match (self, other) {
            (Began(version), Began(other)) if version != other => Unrecorded,
            (Began(version), _) | (_, Began(version)) => Began(version),
            (Unrecorded, _) | (_, Unrecorded) => Unrecorded,
            (Only(version) | Presumed(version), Only(other) | Presumed(other))
                if version != other =>
            {
                Unrecorded
            }
            (Only(version), _) | (_, Only(version)) => Only(version),
            (Presumed(version), _) | (_, Presumed(version)) => Presumed(version),
            (Unaware, Unaware) => Unaware,
        }
    }
}

/// Other hosts that were asked for the origin of a stream, by how they replied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AskedHosts {
    /// Hosts that replied.
    pub replied: usize,
    /// Hosts that replied and have not run for long enough to know.
    pub unaware: usize,
    /// Hosts that did not reply, and may know.
    pub silent: usize,
    /// Whether no other host is known that could be asked.
    pub is_alone: bool,
}

impl AskedHosts {
    /// Returns whether other hosts would have told of another version. A host that was cut off or
    /// stood still has not heard of one either, so its own knowledge alone doesn't count.
    fn confirm_only_version(self) -> bool {
        self.is_alone || (self.replied > 0 && self.replied >= self.silent)
    }

    /// Returns whether other hosts would have told of another version although the records of all
    /// are old, as while the store is away.
    fn confirm_presumed_version(self) -> bool {
        self.replied >= MIN_CONFIRMING_HOSTS && self.replied > self.silent && self.unaware == 0
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

impl OriginUnknown {
    /// Returns the name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::SourceSilent => "source_silent",
            Self::NotRecorded => "not_recorded",
        }
    }
}

/// Decides at which version a stream goes on: by what the hosts know together, how other hosts
/// replied, what the store says (`None` if it does not answer or was not asked), and the version of
/// all registered upstreams of the service, if they have the same by recent records.
///
/// # Errors
/// Returns why no version may continue the stream. A joined text is worse than a refusal.
pub fn decide(
    told: OriginKnowledge,
    asked: AskedHosts,
    stored: Option<OriginKnowledge>,
    registered: Option<SoftwareVersion>,
) -> Result<(SoftwareVersion, OriginSource), OriginUnknown> {
    use OriginKnowledge::{Began, Only, Presumed, Unaware, Unrecorded};
    match (told, stored) {
        (Began(version), _) => Ok((version, "hosts")),
        (Only(version), _) if asked.confirm_only_version() => Ok((version, "only_version")),
        (Presumed(version), _) if asked.confirm_presumed_version() => {
            Ok((version, "presumed_version"))
        }
        (_, Some(Began(version))) => Ok((version, "store")),
        // What is too old to count is confirmed soon, or shows another version.
        (Presumed(_), Some(_)) | (_, None) => Err(OriginUnknown::SourceSilent),
        (Unaware | Only(_), Some(Unaware | Only(_) | Presumed(_))) => {
            registered.map(|version| (version, "registered")).ok_or(OriginUnknown::NotRecorded)
        }
        (Unrecorded, Some(_)) | (Unaware | Only(_), Some(Unrecorded)) => Err(if asked.silent > 0 {
            OriginUnknown::SourceSilent
        } else {
            OriginUnknown::NotRecorded
        }),
    }
}

/// Returns whether the store is to be asked too.
pub fn needs_store(told: &OriginKnowledge, asked: AskedHosts) -> bool {
    match told {
        OriginKnowledge::Began(_) => false,
        OriginKnowledge::Only(_) => !asked.confirm_only_version(),
        OriginKnowledge::Presumed(_) => !asked.confirm_presumed_version(),
        OriginKnowledge::Unaware | OriginKnowledge::Unrecorded => true,
    }
}

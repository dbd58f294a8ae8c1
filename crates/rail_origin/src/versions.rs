//! Software versions that served lately.

use crate::{OriginKnowledge, RETENTION};
use rail_route::{ServiceId, SoftwareVersion};
use std::{collections::BTreeMap, time::Duration};

/// Time after the start of a process in which it learns the upstreams that are registered.
const LEARNING_TIME: Duration = Duration::from_secs(3);

/// Software versions that this host knows of, by service, with the last time of each.
#[derive(Debug, Clone, Default)]
pub struct SeenVersions {
    seen: BTreeMap<ServiceId, BTreeMap<SoftwareVersion, Duration>>,
}

impl SeenVersions {
    /// Records that an upstream with this software serves, or served when a stream began.
    pub fn observe(&mut self, service: &str, software: &str, now: Duration) {
        let versions = self.seen.entry(service.to_owned()).or_default();
        versions.insert(software.to_owned(), now);
    }

    /// Returns whether streams of a service may have begun at several versions lately.
    pub fn is_mixed(&self, service: &str) -> bool {
        self.seen.get(service).is_some_and(|versions| versions.len() > 1)
    }

    /// Returns what follows for a stream that is not recorded, at a time since the start of this
    /// process. `are_records_recent` is whether the records of upstreams would show a version that
    /// has joined.
    pub fn knowledge(
        &self,
        service: &str,
        now: Duration,
        are_records_recent: bool,
    ) -> OriginKnowledge {
        let Some(versions) = self.seen.get(service) else { return OriginKnowledge::Unaware };
        match versions.first_key_value() {
            Some(_several) if versions.len() > 1 => OriginKnowledge::Unrecorded,
            Some((version, _)) if now >= RETENTION + LEARNING_TIME => {
                if are_records_recent {
                    OriginKnowledge::Only(version.clone())
                } else {
                    OriginKnowledge::Presumed(version.clone())
                }
            }
            Some(_) | None => OriginKnowledge::Unaware,
        }
    }

    /// Forgets versions at which no stream began for as long as streams may be resumed.
    pub fn prune(&mut self, now: Duration) {
        self.seen.retain(|_, versions| {
            versions.retain(|_, seen_at| now.saturating_sub(*seen_at) < RETENTION);
            !versions.is_empty()
        });
    }
}

//! What a quarantine record is about: one request, or a part of prompts that many requests share.

use crate::fingerprint::Fingerprint;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;

/// Kind of what is held back.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum KeyKind {
    /// Equal requests.
    #[default]
    Request,
    /// Requests whose prompts contain one part, whatever else they hold.
    PromptPart,
}

impl KeyKind {
    /// Returns the name of the kind in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::PromptPart => "prompt_part",
        }
    }
}

/// Key of a quarantine record. A request has several: its own, and one for each part of its prompt
/// that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct QuarantineKey {
    /// Kind of what is held back.
    pub kind: KeyKind,
    /// Hash of what is held back.
    pub fingerprint: Fingerprint,
}

impl QuarantineKey {
    /// Returns the key of a part of prompts with this id.
    pub fn prompt_part(id: &str) -> Self {
        let fingerprint = Fingerprint::of([b"prompt part".as_slice(), id.as_bytes()]);
        Self { kind: KeyKind::PromptPart, fingerprint }
    }
}

impl From<Fingerprint> for QuarantineKey {
    fn from(fingerprint: Fingerprint) -> Self {
        Self { kind: KeyKind::Request, fingerprint }
    }
}

/// Parts of prompts with which requests ran to their end, so that they crash nothing. Of more parts
/// than it keeps, those that were not used lately are forgotten.
#[derive(Debug, Clone, Default)]
pub struct SoundParts {
    recent: HashSet<Fingerprint>,
    earlier: HashSet<Fingerprint>,
}

/// Parts in each of the two generations.
const MAX_PARTS_PER_GENERATION: usize = 2048;

impl SoundParts {
    /// Records that a request with this part ran to its end.
    pub fn insert(&mut self, part: Fingerprint) {
        if self.recent.len() >= MAX_PARTS_PER_GENERATION {
            self.earlier = std::mem::take(&mut self.recent);
        }
        self.recent.insert(part);
    }

    /// Returns whether requests with this part ran to their end.
    pub fn contains(&self, part: Fingerprint) -> bool {
        self.recent.contains(&part) || self.earlier.contains(&part)
    }
}

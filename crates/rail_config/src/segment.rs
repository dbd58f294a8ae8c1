//! Stored form of a generation: write-once segments and one head.

use crate::fleet::{
    Adapter, AdapterId, Base, BaseId, Fleet, Generation, StoreBudget, Upstream, UpstreamId,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Number of segments that hold adapters.
pub const ADAPTER_SEGMENTS: u64 = 64;

/// Acceptances that a head remembers.
const MAX_PREVIOUS_NONCES: usize = 64;

/// Segments that are kept after the last head that named them, for readers of older heads.
pub const KEPT_RETIRED_SEGMENTS: usize = 64;

/// Result of joining segments.
pub type Result<T> = std::result::Result<T, SegmentError>;

/// Reasons why stored configuration is refused.
#[derive(Debug, thiserror::Error)]
pub enum SegmentError {
    /// The stored text is not a segment.
    #[error("segment is not readable: {0}")]
    Json(#[from] serde_json::Error),
}

/// Root of one generation; its conditional update accepts the generation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Number of the generation.
    pub generation: Generation,
    /// Names of all segments.
    pub segments: Vec<String>,
    /// Random number of the acceptance, by which a lost reply is settled.
    pub nonce: u64,
    /// Random numbers of the acceptances before it, newest first.
    #[serde(default)]
    pub previous_nonces: Vec<u64>,
    /// Segments that earlier heads named and that may still be stored, oldest first.
    #[serde(default)]
    pub retired: Vec<String>,
}

impl Head {
    /// Links a head to the one that it replaces, and names the segments that it has to write.
    ///
    /// A segment that the replaced head names keeps its name; every other one gets a name that no
    /// head had before. So a segment that one head drops is named by none after it.
    pub fn link_to_previous(&mut self, replaced: &Self) {
        for name in &mut self.segments {
            match replaced.segments.iter().find(|stored| has_content_name(stored, name)) {
                Some(stored) => name.clone_from(stored),
                None => *name = format!("{name}-{:016x}", self.nonce),
            }
        }
        let dropped = replaced.segments.iter().filter(|name| !self.segments.contains(name));
        self.retired = replaced.retired.iter().chain(dropped).cloned().collect();
        let before = replaced.previous_nonces.iter().copied();
        self.previous_nonces =
            std::iter::once(replaced.nonce).chain(before).take(MAX_PREVIOUS_NONCES).collect();
    }

    /// Lists the segments that may be deleted: no later head names them.
    pub fn deletable(&self) -> &[String] {
        &self.retired[..self.retired.len().saturating_sub(KEPT_RETIRED_SEGMENTS)]
    }

    /// Tells whether an acceptance came before this head or is it; unknown when too long ago.
    pub fn includes_acceptance(&self, generation: Generation, nonce: u64) -> Option<bool> {
        let Some(age) = self.generation.checked_sub(generation) else {
            return Some(false);
        };
        let accepted = if age == 0 {
            Some(self.nonce)
        } else {
            self.previous_nonces.get(age as usize - 1).copied()
        };
        accepted.map(|accepted| accepted == nonce)
    }
}

/// Part of a generation, stored under a name made from its content and its first acceptance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Segment {
    /// Base models, upstreams and the weight store's budget.
    Core {
        /// Base models by name.
        bases: BTreeMap<BaseId, Base>,
        /// Upstreams by name.
        upstreams: BTreeMap<UpstreamId, Upstream>,
        /// What the weight store allows.
        store_budget: StoreBudget,
    },
    /// Adapters whose hash falls into one segment.
    Adapters(BTreeMap<BaseId, BTreeMap<AdapterId, Adapter>>),
}

/// A segment in its stored form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredSegment {
    /// Name made from the content.
    pub name: String,
    /// JSON text.
    pub text: String,
}

impl Fleet {
    /// Splits a generation into its head, under this nonce, and stored segments.
    ///
    /// # Errors
    /// Fails when a segment can't be written as JSON.
    pub fn split(&self, nonce: u64) -> Result<(Head, Vec<StoredSegment>)> {
        let core = Segment::Core {
            bases: self.bases.clone(),
            upstreams: self.upstreams.clone(),
            store_budget: self.store_budget,
        };
        let mut stored = vec![store(&core)?];
        let mut parts = BTreeMap::<u64, BTreeMap<BaseId, BTreeMap<AdapterId, Adapter>>>::new();
        for (base, adapters) in &self.adapters {
            for (adapter, entry) in adapters {
                let part = parts.entry(segment_of(base, adapter)).or_default();
                part.entry(base.clone()).or_default().insert(adapter.clone(), entry.clone());
            }
        }
        for part in parts.into_values() {
            stored.push(store(&Segment::Adapters(part))?);
        }
        let segments = stored.iter().map(|s| s.name.clone()).collect();
        let head = Head { generation: self.generation, segments, nonce, ..Head::default() };
        Ok((head, stored))
    }

    /// Joins the segments of a head.
    ///
    /// # Errors
    /// Refuses text that is not a segment.
    pub fn join<'a>(
        generation: Generation,
        texts: impl IntoIterator<Item = &'a str>,
    ) -> Result<Self> {
        let mut fleet = Self { generation, ..Self::default() };
        for text in texts {
            match serde_json::from_str(text)? {
                Segment::Core { bases, upstreams, store_budget } => {
                    fleet.store_budget = store_budget;
                    fleet.bases = bases;
                    fleet.upstreams = upstreams;
                }
                Segment::Adapters(part) => {
                    for (base, adapters) in part {
                        fleet.adapters.entry(base).or_default().extend(adapters);
                    }
                }
            }
        }
        Ok(fleet)
    }
}

fn segment_of(base: &str, adapter: &str) -> u64 {
    xxh3_64(format!("{base}:{adapter}").as_bytes()) % ADAPTER_SEGMENTS
}

fn store(segment: &Segment) -> Result<StoredSegment> {
    let text = serde_json::to_string(segment)?;
    Ok(StoredSegment { name: segment_name(&text), text })
}

/// Names a segment by its content.
pub fn segment_name(text: &str) -> String {
    format!("segment-{:032x}", xxh3_128(text.as_bytes()))
}

/// Reports whether a stored segment's name belongs to this text.
pub fn matches_content(name: &str, text: &str) -> bool {
    has_content_name(name, &segment_name(text))
}

fn has_content_name(name: &str, content_name: &str) -> bool {
    let rest = name.strip_prefix(content_name);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('-'))
}

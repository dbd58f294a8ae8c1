//! Stored form of a generation: segments that are written once, and a head that names them.

use crate::fleet::{
    Adapter, AdapterId, Base, BaseId, Fleet, Generation, StoreBudget, Upstream, UpstreamId,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Number of segments over which the adapters are distributed by hash.
pub const ADAPTER_SEGMENTS: u64 = 64;

/// Maximum number of earlier acceptances whose nonces a head keeps.
const MAX_PREVIOUS_NONCES: usize = 64;

/// Number of retired segments that are kept, for readers that still use an older head.
pub const KEPT_RETIRED_SEGMENTS: usize = 64;

/// Result of encoding or decoding segments.
pub type Result<T> = std::result::Result<T, SegmentError>;

/// Reason why a segment can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum SegmentError {
    /// The text is not the JSON form of a segment.
    #[error("segment is not readable: {0}")]
    Json(#[from] serde_json::Error),
}

/// Root of one generation, which names its segments; the conditional update of the stored head
/// accepts the generation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Number of the generation.
    pub generation: Generation,
    /// Names of all segments of the generation.
    pub segments: Vec<String>,
    /// Random number of the acceptance. After a lost reply, the writer reads the head back and
    /// finds out by this number whether its own write was accepted.
    pub nonce: u64,
    /// Nonces of the preceding acceptances, newest first.
    #[serde(default)]
    pub previous_nonces: Vec<u64>,
    /// Names of segments that an earlier head used and that this head does not name, oldest first;
    /// a segment is removed from this list when it is deleted.
    #[serde(default)]
    pub retired: Vec<String>,
}

impl Head {
    /// Sets the history of this head from the head that it replaces, and the names under which its
    /// segments are stored.
    ///
    /// A segment with the same content as one of the replaced head gets the name of that segment.
    /// Every other one gets a new name, which ends with the nonce of this head, and must be
    /// written.
    /// A later head therefore never uses the name of a retired segment again.
    pub fn link_to_previous(&mut self, replaced: &Self) {
        for name in &mut self.segments {
            match replaced.segments.iter().find(|stored| has_content_name(stored, name)) {
                Some(stored) => name.clone_from(stored),
                None => *name = format!("{name}-{:016x}", self.nonce),
            }
        }
        let dropped = replaced.segments.iter().filter(|name| !self.segments.contains(name));
        self.retired = replaced.retired.iter().chain(dropped).cloned().collect();
        let earlier_nonces = replaced.previous_nonces.iter().copied();
        self.previous_nonces = std::iter::once(replaced.nonce)
            .chain(earlier_nonces)
            .take(MAX_PREVIOUS_NONCES)
            .collect();
    }

    /// Returns the names of the segments that may be deleted, since no later head names them.
    pub fn deletable(&self) -> &[String] {
        &self.retired[..self.retired.len().saturating_sub(KEPT_RETIRED_SEGMENTS)]
    }

    /// Reports whether `generation` was accepted with `nonce` in the history of this head, which
    /// includes this head.
    ///
    /// Returns `None` if the generation is older than the nonces that the head keeps.
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

/// Part of a generation. Its stored name consists of the hash of its content and the nonce of the
/// acceptance that wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Segment {
    /// Base models, upstreams and the limits of the weight store.
    Core {
        /// Base models by name.
        bases: BTreeMap<BaseId, Base>,
        /// Upstreams by name.
        upstreams: BTreeMap<UpstreamId, Upstream>,
        /// Limits of loads from the weight store.
        store_budget: StoreBudget,
    },
    /// Adapters, by base model and name, whose hash selects this segment.
    Adapters(BTreeMap<BaseId, BTreeMap<AdapterId, Adapter>>),
}

/// A segment as JSON text, named by its content only.
///
/// [`Head::link_to_previous`] determines the name under which it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedSegment {
    /// Name by the hash of the content.
    pub name: String,
    /// Content as JSON text.
    pub text: String,
}

impl Fleet {
    /// Splits a generation into a head with the given nonce and its segments.
    ///
    /// # Errors
    /// Fails when a segment can't be encoded as JSON.
    pub fn split(&self, nonce: u64) -> Result<(Head, Vec<EncodedSegment>)> {
        let core = Segment::Core {
            bases: self.bases.clone(),
            upstreams: self.upstreams.clone(),
            store_budget: self.store_budget,
        };
        let mut encoded_segments = vec![encode(&core)?];
        let mut adapter_segments =
            BTreeMap::<u64, BTreeMap<BaseId, BTreeMap<AdapterId, Adapter>>>::new();
        for (base, adapters) in &self.adapters {
            for (adapter, entry) in adapters {
                let segment =
                    adapter_segments.entry(adapter_segment_index(base, adapter)).or_default();
                segment.entry(base.clone()).or_default().insert(adapter.clone(), entry.clone());
            }
        }
        for segment in adapter_segments.into_values() {
            encoded_segments.push(encode(&Segment::Adapters(segment))?);
        }
        let segments = encoded_segments.iter().map(|segment| segment.name.clone()).collect();
        let head = Head { generation: self.generation, segments, nonce, ..Head::default() };
        Ok((head, encoded_segments))
    }

    /// Joins the texts of all segments of a head into the generation.
    ///
    /// # Errors
    /// Fails when a text is not the JSON form of a segment.
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
                Segment::Adapters(segment) => {
                    for (base, adapters) in segment {
                        fleet.adapters.entry(base).or_default().extend(adapters);
                    }
                }
            }
        }
        Ok(fleet)
    }
}

fn adapter_segment_index(base: &str, adapter: &str) -> u64 {
    xxh3_64(format!("{base}:{adapter}").as_bytes()) % ADAPTER_SEGMENTS
}

fn encode(segment: &Segment) -> Result<EncodedSegment> {
    let text = serde_json::to_string(segment)?;
    Ok(EncodedSegment { name: segment_name(&text), text })
}

/// Returns the name of a segment by the hash of its content.
pub fn segment_name(text: &str) -> String {
    format!("segment-{:032x}", xxh3_128(text.as_bytes()))
}

/// Reports whether the name of a stored segment contains the hash of this text.
pub fn matches_content(name: &str, text: &str) -> bool {
    has_content_name(name, &segment_name(text))
}

fn has_content_name(name: &str, content_name: &str) -> bool {
    let suffix = name.strip_prefix(content_name);
    suffix.is_some_and(|suffix| suffix.is_empty() || suffix.starts_with('-'))
}

//! Parts of prompts that an engine keeps, so that it needn't read them again.
//!
//! An engine keeps what it has read for one adapter, in the order of the prompt: a part is kept if all
//! parts before it are. It drops what it hasn't used for long when it needs the memory, and all that it
//! kept for an adapter with the adapter.

use std::{collections::HashMap, time::Duration};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time after its last use for which a part counts as kept.
const KEEP_TIME: Duration = Duration::from_secs(10);
/// Parts of one adapter beyond which those are forgotten that don't count as kept any more.
const MAX_PARTS: usize = 64;

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedPart {
    /// Hash of the identity of the part.
    pub key: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// Parts that one engine should keep.
#[derive(Debug, Clone, Default)]
pub struct KeptParts {
    /// Last use of each prefix, by the model or adapter that it was read for.
    used_at: HashMap<String, HashMap<u64, Duration>>,
}

impl KeptParts {
    /// Returns how many tokens of a prompt with these leading parts the engine keeps.
    pub fn kept_tokens(&self, path: &str, parts: &[SharedPart], now: Duration) -> u32 {
        let Some(used_at) = self.used_at.get(path) else { return 0 };
        let is_kept =
            |prefix: &u64| used_at.get(prefix).is_some_and(|used_at| now < *used_at + KEEP_TIME);
        let kept = prefixes(parts).zip(parts).take_while(|(prefix, _)| is_kept(prefix));
        kept.map(|(_, part)| part.tokens).fold(0, u32::saturating_add)
    }

    /// Records that the engine reads a prompt with these leading parts.
    pub fn record(&mut self, path: &str, parts: &[SharedPart], now: Duration) {
        if parts.is_empty() {
            return;
        }
        let used_at = self.used_at.entry(path.to_owned()).or_default();
        used_at.extend(prefixes(parts).map(|prefix| (prefix, now)));
        if used_at.len() > MAX_PARTS {
            used_at.retain(|_, used_at| now < *used_at + KEEP_TIME);
        }
    }

    /// Forgets leading parts of a prompt that the engine was to read from a time on and has not read.
    /// What other prompts have used since stays.
    pub fn withdraw(&mut self, path: &str, parts: &[SharedPart], recorded_at: Duration) {
        let Some(used_at) = self.used_at.get_mut(path) else { return };
        for prefix in prefixes(parts) {
            if used_at.get(&prefix) == Some(&recorded_at) {
                used_at.remove(&prefix);
            }
        }
    }

    /// Forgets what was read for a model or adapter.
    pub fn forget(&mut self, path: &str) {
        self.used_at.remove(path);
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.used_at.clear();
    }
}

/// Returns a hash of each part together with all parts before it.
fn prefixes(parts: &[SharedPart]) -> impl Iterator<Item = u64> {
    parts.iter().scan(0, |prefix, part| {
        *prefix = xxh3_64_with_seed(&part.key.to_le_bytes(), *prefix);
        Some(*prefix)
    })
}

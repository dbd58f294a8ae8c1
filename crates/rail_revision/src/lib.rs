//! Revisions of a store that may return from an older copy of itself.
//!
//! The store counts its changes. When it returns from an older copy, the count goes back, and the
//! store enters a new era. A revision of a later era is newer whatever its number, so revisions are
//! compared by their order only, never by their numbers.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of times that the store returned from an older copy.
pub type Era = u32;

/// Bits of a fencing number below the era.
const FENCE_NUMBER_BITS: u32 = 32;

/// Revision of the store, or of the last change of one record.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Era of the store in which the revision was read.
    pub era: Era,
    /// Changes that the store has counted in this copy.
    pub number: u64,
}

impl Revision {
    /// Creates a revision.
    pub fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns whether nothing was read yet.
    pub fn is_unknown(self) -> bool {
        self == Self::default()
    }

    /// Returns a fencing number, which grows with the revision over all eras. In era 0 it is the
    /// number of the revision.
    pub fn fence(self) -> u64 {
        (u64::from(self.era) << FENCE_NUMBER_BITS) + self.number
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

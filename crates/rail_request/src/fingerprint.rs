//! Hashes that identify the content of a request.

use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};
use xxhash_rust::xxh3::Xxh3;

/// 128-bit xxh3 hash that identifies the content of a request.
///
/// Its text form, which is also the stored form, has 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Fingerprint(u128);

/// Error of parsing a text that is not a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("text is not a fingerprint of 32 hexadecimal digits")]
pub struct FingerprintError;

impl Fingerprint {
    /// Hashes each part with its length, so that a boundary at another position changes the hash.
    ///
    /// ```
    /// use rail_request::Fingerprint;
    /// assert_ne!(
    ///     Fingerprint::of([b"ab", b"c".as_slice()]),
    ///     Fingerprint::of([b"a", b"bc".as_slice()])
    /// );
    /// ```
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Xxh3::new();
        for part in parts {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest128())
    }
}

impl From<Fingerprint> for [u8; 16] {
    fn from(fingerprint: Fingerprint) -> Self {
        fingerprint.0.to_le_bytes()
    }
}

impl From<[u8; 16]> for Fingerprint {
    fn from(bytes: [u8; 16]) -> Self {
        Self(u128::from_le_bytes(bytes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 32 {
            return Err(FingerprintError);
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_error| FingerprintError)
    }
}

impl From<Fingerprint> for String {
    fn from(fingerprint: Fingerprint) -> Self {
        fingerprint.to_string()
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = FingerprintError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

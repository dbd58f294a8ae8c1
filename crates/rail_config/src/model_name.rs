//! The name by which a caller selects base, adapter and version.

use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Result of reading a model name.
pub type Result<T> = std::result::Result<T, ModelNameError>;

/// Longest accepted part of a model name in bytes.
pub const MAX_PART_BYTES: usize = 128;

/// Base, adapter and version, written `base:adapter@version`.
///
/// ```
/// use rail_config::ModelName;
/// let name: ModelName = "llama:alerts@v3".parse().unwrap();
/// assert_eq!(name.adapter, "alerts");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelName {
    /// Base model.
    pub base: String,
    /// Adapter of the base model.
    pub adapter: String,
    /// Version of the adapter.
    pub version: String,
}

/// Reasons why text is not a model name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ModelNameError {
    /// The separators are missing.
    #[error("expected base:adapter@version")]
    MissingSeparator,
    /// A part is empty, too long or holds a character that is not allowed.
    #[error("each part needs 1 to {MAX_PART_BYTES} characters of a-z, A-Z, 0-9, '-', '_' and '.'")]
    InvalidPart,
}

/// Checks one part of a name: base, adapter, version or upstream.
///
/// # Errors
/// Refuses empty and long parts, and characters outside the allowed set.
pub fn check_part(part: &str) -> Result<()> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let valid = !part.is_empty() && part.len() <= MAX_PART_BYTES && part.chars().all(allowed);
    if valid { Ok(()) } else { Err(ModelNameError::InvalidPart) }
}

impl FromStr for ModelName {
    type Err = ModelNameError;

    fn from_str(s: &str) -> Result<Self> {
        let (base, rest) = s.split_once(':').ok_or(ModelNameError::MissingSeparator)?;
        let (adapter, version) = rest.split_once('@').ok_or(ModelNameError::MissingSeparator)?;
        for part in [base, adapter, version] {
            check_part(part)?;
        }
        Ok(Self { base: base.into(), adapter: adapter.into(), version: version.into() })
    }
}

impl fmt::Display for ModelName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}@{}", self.base, self.adapter, self.version)
    }
}

//! Model name with which a caller selects base model, adapter and version.

use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Result of parsing a model name.
pub type Result<T> = std::result::Result<T, ModelNameError>;

/// Maximum length of one part of a model name, in bytes.
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
    /// Name of the base model.
    pub base: String,
    /// Name of the adapter within the base model.
    pub adapter: String,
    /// Name of the version of the adapter.
    pub version: String,
}

/// Reason why a text is not a valid model name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ModelNameError {
    /// The separator `:` or `@` is missing.
    #[error("expected base:adapter@version")]
    MissingSeparator,
    /// A part is empty, too long or contains a character that is not allowed.
    #[error("each part needs 1 to {MAX_PART_BYTES} characters of a-z, A-Z, 0-9, '-', '_' and '.'")]
    InvalidPart,
}

/// Checks the name of a base model, adapter, version or upstream.
///
/// # Errors
/// Returns [`ModelNameError::InvalidPart`] for an empty or too long name, and for characters
/// outside the allowed set.
pub fn check_part(part: &str) -> Result<()> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let is_valid = !part.is_empty() && part.len() <= MAX_PART_BYTES && part.chars().all(is_allowed);
    if is_valid { Ok(()) } else { Err(ModelNameError::InvalidPart) }
}

impl FromStr for ModelName {
    type Err = ModelNameError;

    fn from_str(text: &str) -> Result<Self> {
        let (base, rest) = text.split_once(':').ok_or(ModelNameError::MissingSeparator)?;
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

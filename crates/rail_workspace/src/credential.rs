//! The key that a request carries.

use std::fmt;

/// Longest key in bytes.
pub const MAX_KEY_BYTES: usize = 512;
/// Scheme of the `Authorization` header, compared without case.
const SCHEME: &str = "bearer";

/// Result of reading a key.
pub type Result<T> = std::result::Result<T, CredentialError>;

/// Why a request has no usable key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CredentialError {
    /// The request has no `Authorization` header.
    #[error("no key")]
    Missing,
    /// The request has several `Authorization` headers.
    #[error("several keys")]
    Several,
    /// The header has another scheme, or a key that no workspace can have.
    #[error("malformed key")]
    Malformed,
}

/// A key of a workspace, as a caller sends it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Key<'a>(&'a str);

impl<'a> Key<'a> {
    /// Returns the key if it consists of visible ASCII characters and is not too long.
    ///
    /// # Errors
    /// [`CredentialError::Malformed`] if it does not.
    pub fn new(text: &'a str) -> Result<Self> {
        let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        let is_valid = is_visible && !text.is_empty() && text.len() <= MAX_KEY_BYTES;
        is_valid.then_some(Self(text)).ok_or(CredentialError::Malformed)
    }

    /// Reads the key from the values of all `Authorization` headers of a request.
    ///
    /// # Errors
    /// Fails unless there is one value, of the form `Bearer KEY`.
    pub fn read(values: impl IntoIterator<Item = &'a [u8]>) -> Result<Self> {
        let mut values = values.into_iter();
        let value = values.next().ok_or(CredentialError::Missing)?;
        if values.next().is_some() {
            return Err(CredentialError::Several);
        }
        let text = std::str::from_utf8(value).map_err(|_error| CredentialError::Malformed)?;
        let (scheme, key) = text.split_once(' ').ok_or(CredentialError::Malformed)?;
        if !scheme.eq_ignore_ascii_case(SCHEME) {
            return Err(CredentialError::Malformed);
        }
        Self::new(key.trim_matches(' '))
    }

    pub(crate) fn as_bytes(self) -> &'a [u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Key<'_> {
    /// Keys must not appear in logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}

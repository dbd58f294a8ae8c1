//! Compression of record texts that hosts send to each other.
//!
//! A configuration of thousands of routes is half a megabyte of repetitive text, and many hosts
//! have links of a few Mbit/s. A long text is therefore compressed once and forwarded in that form.

use flate2::{
    Compression,
    read::{DeflateDecoder, DeflateEncoder},
};
use serde::{Deserialize, Serialize};
use std::io::Read;

/// Result of decompressing a record text.
pub type Result<T> = std::result::Result<T, UnpackError>;

/// Length from which a text is compressed, in bytes.
const MIN_COMPRESSED_TEXT_BYTES: usize = 2048;
/// Maximum length of a decompressed text, in bytes; several times the limit of the store for one
/// object.
const MAX_TEXT_BYTES: u64 = 8 << 20;

/// Reason why a text can't be decompressed.
#[derive(Debug, thiserror::Error)]
pub enum UnpackError {
    /// The bytes are not valid deflate data or not UTF-8 text.
    #[error("compressed record can't be decompressed: {0}")]
    Read(#[from] std::io::Error),
    /// The decompressed text exceeds the maximum length of a record.
    #[error("decompressed record exceeds {MAX_TEXT_BYTES} bytes")]
    TooLong,
}

/// Text of a record in the form in which hosts send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordText {
    /// Uncompressed text.
    Plain(String),
    /// Text compressed with deflate.
    Packed(Vec<u8>),
}

impl RecordText {
    /// Compresses a text of 2048 bytes or more; keeps a shorter one as it is.
    pub fn pack(text: &str) -> Self {
        if text.len() < MIN_COMPRESSED_TEXT_BYTES {
            return Self::Plain(text.to_owned());
        }
        let mut packed = Vec::new();
        let read =
            DeflateEncoder::new(text.as_bytes(), Compression::fast()).read_to_end(&mut packed);
        match read {
            Ok(_) => Self::Packed(packed),
            // Reading from memory does not fail; uncompressed text is always a valid fallback.
            Err(_) => Self::Plain(text.to_owned()),
        }
    }

    /// Returns the decompressed text.
    ///
    /// # Errors
    /// Fails when the bytes are not compressed text, or the text exceeds the maximum length.
    pub fn unpack(self) -> Result<String> {
        let packed = match self {
            Self::Plain(text) => return Ok(text),
            Self::Packed(packed) => packed,
        };
        let mut text = String::new();
        let mut reader = DeflateDecoder::new(packed.as_slice()).take(MAX_TEXT_BYTES + 1);
        reader.read_to_string(&mut text)?;
        if text.len() as u64 > MAX_TEXT_BYTES {
            return Err(UnpackError::TooLong);
        }
        Ok(text)
    }

    /// Returns the number of bytes that are sent between hosts.
    pub fn len(&self) -> usize {
        match self {
            Self::Plain(text) => text.len(),
            Self::Packed(packed) => packed.len(),
        }
    }

    /// Reports whether the text is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

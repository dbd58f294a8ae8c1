//! Memory of this process.

use crate::Result;
use std::fs;

/// Reads the resident memory in bytes.
pub fn resident_bytes() -> Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
    Ok(kib.unwrap_or(0) * 1024)
}

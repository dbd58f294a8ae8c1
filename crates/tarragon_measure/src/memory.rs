//! Memory use of this process.

use crate::Result;
use std::fs;

/// Returns the resident memory in bytes, as `/proc/self/status` reports it; 0 if it does not.
pub fn resident_bytes() -> Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = resident.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
    Ok(kib.unwrap_or(0) * 1024)
}

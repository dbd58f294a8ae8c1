//! Memory use of this process.

/// Returns the resident memory of this process in bytes, or `None` if the system does not report
/// it.
pub fn resident_memory_bytes() -> Option<usize> {
    const STATUS_PATH: &str = "/proc/self/status";
    let text = std::fs::read_to_string(STATUS_PATH).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kibibytes << 10)
}

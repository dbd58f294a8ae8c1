//! Memory of this process.

/// Gives the resident memory in bytes; none where the system does not tell.
pub fn resident_memory_bytes() -> Option<usize> {
    const STATUS: &str = "/proc/self/status";
    let text = std::fs::read_to_string(STATUS).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kibibytes << 10)
}

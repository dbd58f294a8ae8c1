//! Clock that keeps running while the host is suspended.

use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Returns the time since the host booted, including time in suspension.
///
/// Lease deadlines use this clock: the monotonic clock stops during a suspension, and the time of
/// day can jump.
pub fn time_since_boot() -> Duration {
    // CLOCK_BOOTTIME exists on every Linux. If it fails, zero ends every lease, which is safe.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

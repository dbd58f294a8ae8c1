//! Time that goes on while the host is suspended.

use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Reads the time since the host's boot, suspension included.
///
/// Leases are counted on it: the monotonic clock stands still during a suspension, and the time of
/// day jumps.
pub fn time_since_boot() -> Duration {
    // The clock exists on every Linux; zero would end every lease, which is the safe side.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

//! Times of sessions, and how often they are renewed.

use std::time::Duration;

/// Renewals in one time to live, in a fleet that stays under the write budget.
pub const RENEWALS_PER_TTL: u32 = 3;
/// Fewest renewals in one time to live, in a fleet of any size.
const MIN_RENEWALS_PER_TTL: f64 = 1.5;
/// Writes a second that the renewals of a whole fleet may take.
pub const RENEWAL_WRITES_PER_S: f64 = 50.0;
/// Attempts to renew in one period while renewals fail.
const ATTEMPTS_PER_PERIOD: u32 = 2;

/// Times that holders and revokers agree on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// Longest gap between two ticks of a holder that is not a pause.
    pub pause_margin: Duration,
    /// Longest time past the time to live for which witnesses keep a session in force.
    pub max_outage: Duration,
}

/// Gives the renewal period of a fleet: all renewals together stay under the write budget.
///
/// A fleet too large for its time to live renews at two thirds of it; a longer time to live must
/// then be set.
pub fn renewal_period(ttl: Duration, live_sessions: usize) -> Duration {
    let budgeted = Duration::from_secs_f64(live_sessions as f64 / RENEWAL_WRITES_PER_S);
    budgeted.max(ttl / RENEWALS_PER_TTL).min(ttl.div_f64(MIN_RENEWALS_PER_TTL))
}

/// Gives the pause after a renewal that failed.
pub(crate) fn retry_pause(period: Duration) -> Duration {
    period / ATTEMPTS_PER_PERIOD
}

//! Time limits of sessions, and the renewal period.

use std::time::Duration;

/// Number of renewals within one time to live, in a fleet that stays under the write budget.
pub const RENEWALS_PER_TTL: u32 = 3;
/// Minimum number of renewals within one time to live, in a fleet of any size.
const MIN_RENEWALS_PER_TTL: f64 = 1.5;
/// Maximum number of writes per second for the renewals of a whole fleet.
pub const RENEWAL_WRITES_PER_S: f64 = 50.0;
/// Number of attempts to renew within one period while renewals fail.
const ATTEMPTS_PER_PERIOD: u32 = 2;

/// Time limits that must be the same for holders and revokers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// Maximum gap between two ticks of a holder; a longer one counts as a pause of the process.
    pub pause_margin: Duration,
    /// Maximum time beyond the time to live for which witnesses keep a session valid.
    pub max_outage: Duration,
}

/// Returns the renewal period with which all renewals of a fleet stay under the write budget.
///
/// A fleet that is too large for its time to live renews after two thirds of it, which exceeds the
/// budget; such a fleet needs a longer time to live.
pub fn renewal_period(ttl: Duration, live_sessions: usize) -> Duration {
    let budgeted = Duration::from_secs_f64(live_sessions as f64 / RENEWAL_WRITES_PER_S);
    budgeted.max(ttl / RENEWALS_PER_TTL).min(ttl.div_f64(MIN_RENEWALS_PER_TTL))
}

/// Returns the delay after a failed renewal.
pub(crate) fn retry_delay(period: Duration) -> Duration {
    period / ATTEMPTS_PER_PERIOD
}

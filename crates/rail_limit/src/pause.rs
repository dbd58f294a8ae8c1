//! Upstreams that turn requests away, and get none from this host for some time.

use crate::LimitKey;
use std::{collections::HashMap, time::Duration};

/// Longest pause that an upstream may ask for.
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Shortest and longest pause of an upstream that falls over when it turns away too many requests.
const BRITTLE_PAUSE: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(10)];
/// Share of the refusals that such an upstream survives which all hosts together may cause.
const BRITTLE_SHARE: f64 = 0.5;

/// What an upstream states when it turns a request away for want of room.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Refusal {
    /// Time for which it wants nothing from this host.
    pub retry_after: Option<Duration>,
    /// Requests a second beyond which it falls over if it has to turn them away.
    pub max_refusals_per_s: Option<u32>,
}

impl Refusal {
    /// Returns for how long this host sends the upstream nothing, if it has to pause. Each of the
    /// live hosts may cause one refusal in a pause.
    pub fn pause(self, live_hosts: usize) -> Option<Duration> {
        let [min_pause, max_pause] = BRITTLE_PAUSE;
        let asked = self.retry_after.map(|time| time.min(MAX_PAUSE));
        let spared = self.max_refusals_per_s.map(|refusals| {
            let pause_s = live_hosts.max(1) as f64 / (f64::from(refusals) * BRITTLE_SHARE);
            Duration::try_from_secs_f64(pause_s).unwrap_or(max_pause).clamp(min_pause, max_pause)
        });
        asked.max(spared)
    }
}

/// Upstreams that pause.
#[derive(Debug, Clone, Default)]
pub struct UpstreamPauses {
    until: HashMap<LimitKey, Duration>,
}

impl UpstreamPauses {
    /// Lets an upstream pause until a time.
    pub fn pause_until(&mut self, start: LimitKey, until: Duration) {
        let known = self.until.entry(start).or_default();
        *known = (*known).max(until);
    }

    /// Returns how long an upstream still pauses; `None` if it doesn't.
    pub fn remaining(&self, start: &LimitKey, now: Duration) -> Option<Duration> {
        let until = self.until.get(start)?;
        Some(until.saturating_sub(now)).filter(|remaining| !remaining.is_zero())
    }

    /// Forgets pauses that have ended.
    pub fn prune(&mut self, now: Duration) {
        self.until.retain(|_, until| now < *until);
    }
}

//! How far a dispatcher fills the instances of its service.

use std::time::Duration;

/// Time without a request after which a dispatcher may have been replaced or stood still, so that
/// others may have started runs.
const QUIET_TIME: Duration = Duration::from_millis(300);
/// Time in which nearly all runs end that others have started.
const SETTLING_TIME: Duration = Duration::from_secs(1);
/// Share of the slots that a dispatcher fills while others may have started runs.
const UNSETTLED_SHARE: f64 = 0.25;
/// Pause of an instance that turned a request away, and can turn many away.
const SHORT_REFUSAL_PAUSE: Duration = Duration::from_millis(50);
/// Shortest and longest pause of one that can't.
const REFUSAL_PAUSES: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(10)];
/// Share of the refusals that an instance survives which a dispatcher may cause.
const REFUSAL_SHARE: f64 = 0.5;

/// How many runs a dispatcher starts on one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum RoomRule {
    /// As many as it has slots, and a surplus that starts while ends of runs are being reported.
    #[default]
    Surplus,
    /// No more than this share of its slots, since it can't turn many requests away. Runs that may
    /// go on although nobody waits for them are counted.
    Certain {
        /// Share of the slots, from 0 to 1.
        share: f64,
        /// Time for which the instance gets no request after it has turned one away.
        refusal_pause: Duration,
    },
}

impl RoomRule {
    /// Returns the share of its slots that an instance can use.
    pub(crate) fn share(self) -> f64 {
        match self {
            Self::Surplus => 1.0,
            Self::Certain { share, .. } => share,
        }
    }

    /// Returns for how long an instance gets no request after it has turned one away.
    pub(crate) fn refusal_pause(self) -> Duration {
        match self {
            Self::Surplus => SHORT_REFUSAL_PAUSE,
            Self::Certain { refusal_pause, .. } => refusal_pause,
        }
    }
}

/// Returns whether a host may send a request to a brittle upstream where nobody counts the requests of
/// all hosts. It keeps to its part of the slots, and has one request there at most if that is less.
pub fn may_send_uncounted(own_requests: u32, slots: u32, hosts: usize) -> bool {
    let part = slots / u32::try_from(hosts).unwrap_or(u32::MAX).max(1);
    own_requests < part.max(1)
}

/// Hosts that may start runs, as a dispatcher knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatcherStanding {
    /// Whether this host is the dispatcher; otherwise it stands in for the one that does not reply.
    pub is_first: bool,
    /// Hosts that this one hears, itself included.
    pub live_hosts: usize,
    /// Hosts that it knows; those that it doesn't hear may have a dispatcher of their own.
    pub known_hosts: usize,
}

impl DispatcherStanding {
    /// Returns the share of the slots that this dispatcher may use.
    fn share(self) -> f64 {
        let known_hosts = self.known_hosts.max(self.live_hosts).max(1);
        let heard = self.live_hosts as f64 / known_hosts as f64;
        if self.is_first { heard } else { heard * UNSETTLED_SHARE }
    }
}

/// Tells whether all runs on the instances of a service are those that this dispatcher has started.
#[derive(Debug, Clone, Default)]
pub struct RunKnowledge {
    last_request_at: Option<Duration>,
    settled_at: Duration,
    /// Whether a run has ended since others may have started some.
    has_answer: bool,
}

impl RunKnowledge {
    /// Records that a request arrived.
    pub fn record_request(&mut self, now: Duration) {
        let is_quiet = |at: Duration| now > at + QUIET_TIME;
        if self.last_request_at.is_none_or(is_quiet) {
            self.settled_at = now + SETTLING_TIME;
            self.has_answer = false;
        }
        self.last_request_at = Some(now);
    }

    /// Records the answer to a run, which tells whether the service is brittle.
    pub fn record_answer(&mut self) {
        self.has_answer = true;
    }

    /// Returns how many runs may start on an instance. `max_refusals_per_s` are the refusals that
    /// each survives, if the service says that it is brittle. One of which no answer is known yet
    /// may be brittle.
    pub fn room_rule(
        &self,
        max_refusals_per_s: Option<u32>,
        standing: impl FnOnce() -> DispatcherStanding,
        now: Duration,
    ) -> RoomRule {
        if max_refusals_per_s.is_none() && self.has_answer {
            return RoomRule::Surplus;
        }
        let share = standing().share();
        let is_settled = now >= self.settled_at;
        let share = if is_settled { share } else { share.min(UNSETTLED_SHARE) };
        RoomRule::Certain { share, refusal_pause: refusal_pause(max_refusals_per_s.unwrap_or(1)) }
    }
}

fn refusal_pause(max_refusals_per_s: u32) -> Duration {
    let [min_pause, max_pause] = REFUSAL_PAUSES;
    let pause_s = 1.0 / (f64::from(max_refusals_per_s) * REFUSAL_SHARE);
    Duration::try_from_secs_f64(pause_s).unwrap_or(max_pause).clamp(min_pause, max_pause)
}
